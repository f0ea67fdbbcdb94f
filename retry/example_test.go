package retry_test

import (
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func ExamplePolicy_Next() {
	budget := retry.NewBudget(retry.DefaultShare, stats.New())
	budget.Call("lessons")
	d, kind := retry.DefaultPolicy().Next(retry.Attempt{
		Number: 1, Refusal: refuse.NotRun(refuse.QueueFull, "the member's queue is full"), Remaining: time.Second,
	})
	fmt.Println(d.Retry && budget.Take("lessons", kind), kind)
	// Output: true NotRun
}
