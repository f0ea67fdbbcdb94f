package fanout_test

import (
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func ExampleHolder() {
	h := fanout.NewHolder(stats.New(), event.Discard())
	h.Watch(func(old, cur *agree.Agreement) {
		fmt.Printf("version %d replaces %d\n", cur.Version(), old.Version())
	})
	v1, _ := agree.New(1, []agree.Row{{Kind: agree.KindMember, Member: "riga-school"}})
	v2, _ := agree.New(2, []agree.Row{{Kind: agree.KindMember, Member: "dgp-school"}})
	d, _ := fanout.NewDelta(v1, v2)

	_ = h.Install(v1)
	h.RaiseFloor(2) // a peer has received version 2 from this address
	h.AllowServing()
	fmt.Println("serving:", h.Serving())
	_ = h.ApplyDelta(d)
	fmt.Println(h.ApplyDelta(d))
	// Output:
	// serving: false
	// version 2 replaces 0
	// update to version 2 dropped at version 2: Duplicate
}
