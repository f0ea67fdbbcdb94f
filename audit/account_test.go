package audit

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testLog = `time=2026-01-15T22:40:00.000Z level=info msg="daemon started" VM=vm-1 Event=830 Links=10.1.0.1:7000 DataCentre=a Region=r
time=2026-01-15T22:40:00.000Z level=info msg="daemon started" VM=vm-2 Event=830 Links=10.1.0.2:7000 DataCentre=b Region=r
  1.25 vm-1 time=2026-01-15T22:40:01.250Z level=info msg="call answered" VM=vm-1 Event=801 Call=c1 Took=3ms Route=get Service=s Attempts=10.1.0.1:7000:Bounced(QueueFull)@1ms,10.1.0.2:7000:Answered@2ms Status=200
time=2026-01-15T22:40:02.000Z level=info msg="call answered" VM=vm-1 Event=801 Call=c2 Took=3ms Route=get Service=s Attempts=10.1.0.1:7000:Answered@2ms Status=504
time=2026-01-15T22:40:03.000Z level=warn msg="call refused" VM=vm-2 Event=802 Call=c3 Route=buy Service=s Attempts=10.9.0.9:7000:NoAnswer@327ms Reason=AnswerLost Ran=unknown Detail="no answer"
time=2026-01-15T22:40:04.000Z level=warn msg="call refused" VM=vm-2 Event=802 Call=c4 Route=buy Service=s Attempts="" Reason=NoServer Ran=no Detail="none \"here\""
time=2026-01-15T22:40:05.000Z level=info msg="caller left" VM=vm-2 Event=803 Call=c5 Route=buy Service=s
some other text, with no event
time=yesterday VM=vm-2 Event=801 Status=200
time=2026-01-15T22:40:05.000Z level=info msg="cut VM=vm-2 Event=801
`

// TestAccount guards against an account that misses calls, or that hides lines which it could not read.
func TestAccount(t *testing.T) {
	is := is.New(t)
	c := New(time.Time{}, time.Time{})
	is.NoErr(c.Read(strings.NewReader(testLog)))
	a := c.Account()
	is.Equal(a.Lines, 5)
	is.Equal(a.Damaged, 2)
	is.Equal(a.Routes, []Route{
		{Route: "buy", Calls: 3, NotRun: 1, Unknown: 1, CallerLeft: 1},
		{Route: "get", Calls: 2, Answered: 1, ServerError: 1},
	})
	is.Equal(a.Causes, []Cause{
		{Route: "buy", Reason: "AnswerLost", Ran: "unknown", LastAttempt: "NoAnswer", Calls: 1},
		{Route: "buy", Reason: "NoServer", Ran: "no", Calls: 1},
	})
	is.Equal(a.Attempts, []Attempt{
		{Distance: "data centre", Outcome: "Answered", Attempts: 1},
		{Distance: "data centre", Outcome: "Bounced(QueueFull)", Attempts: 1},
		{Distance: "region", Outcome: "Answered", Attempts: 1},
		{Distance: "unknown", Outcome: "NoAnswer", Attempts: 1},
	})
}

// TestAccountOfATime guards against calls outside of the requested time.
func TestAccountOfATime(t *testing.T) {
	is := is.New(t)
	from := time.Date(2026, 1, 15, 22, 40, 2, 0, time.UTC)
	c := New(from, from.Add(2*time.Second))
	is.NoErr(c.Read(strings.NewReader(testLog)))
	is.Equal(c.Account().Lines, 2)
}

// FuzzRead guards against logs that end the command, such as a file that is cut off.
func FuzzRead(f *testing.F) {
	f.Add(testLog)
	f.Add(testLog[:len(testLog)/3])
	f.Fuzz(func(t *testing.T, s string) {
		c := New(time.Time{}, time.Time{})
		_ = c.Read(strings.NewReader(s))
		n := 0
		for _, r := range c.Account().Routes {
			n += r.Calls
		}
		if n != c.lines {
			t.Fatalf("%d calls from %d lines", n, c.lines)
		}
	})
}
