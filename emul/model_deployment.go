package emul

import (
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

// Deployment describes where the backend servers of one service run.
type Deployment struct {
	Name   string
	Places []ident.Place // one backend server each
	Slots  ident.Units
	Client time.Duration // one-way latency between a client and its entry daemon

	// Daemons is the number of entry daemons at the place of each backend server; zero means one.
	Daemons int
}

// Future is the deployment of one service at the sizes expected in two years: 32 backend servers
// in 4 regions and 10 data centres, each place with several daemons that do not know each other's
// calls.
func Future() Deployment {
	d := Deployment{Name: "two years", Slots: 12, Client: time.Millisecond, Daemons: 6}
	for i := range 32 {
		region, centres := i/8, 3
		if region >= 2 {
			centres = 2
		}
		d.Places = append(d.Places, ident.Place{
			Region:     ident.Region(fmt.Sprint("region-", region)),
			DataCentre: ident.DataCentre(fmt.Sprint("dc-", region, "-", i%centres)),
		})
	}
	return d
}

// School is the school's deployment.
func School() Deployment {
	return Deployment{
		Name: "school", Slots: 9, Client: time.Millisecond,
		Places: []ident.Place{
			{Region: "Riga", DataCentre: "riga-a"},
			{Region: "Riga", DataCentre: "riga-b"},
			{Region: "Daugavpils", DataCentre: "dgp-a"},
			{Region: "Daugavpils", DataCentre: "dgp-b"},
		},
	}
}

// Laundry is the laundry's deployment.
func Laundry() Deployment {
	return Deployment{
		Name: "laundry", Slots: 12, Client: 8 * time.Millisecond,
		Places: []ident.Place{
			{Region: "rw-east", DataCentre: "kigali-a"},
			{Region: "rw-east", DataCentre: "kigali-b"},
			{Region: "rw-west", DataCentre: "rubavu-a"},
			{Region: "rw-west", DataCentre: "rusizi-a"},
		},
	}
}

// Servers returns the backend servers of service, ordered by address.
func (d Deployment) Servers(service ident.ServiceID) []peers.Server {
	out := make([]peers.Server, len(d.Places))
	for i, p := range d.Places {
		out[i] = peers.Server{
			Service: service,
			Addr:    ident.Addr(fmt.Sprintf("127.0.1.%03d:80", i+1)),
			Place:   p, Slots: d.Slots, State: peers.Ready, Incarnation: 1,
		}
	}
	return out
}

// oneWay returns the one-way latency between two places.
func oneWay(a, b ident.Place) time.Duration {
	return [3]time.Duration{0, 500 * time.Microsecond, 20 * time.Millisecond}[a.Distance(b)]
}
