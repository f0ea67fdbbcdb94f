package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Answers of a backend server or a daemon; %s is the id of the call.
const (
	okAnswer      = "HTTP/1.1 200 OK\r\nMarjoramcroft-Call: %s\r\nContent-Length: 2\r\n\r\nok"
	emptyAnswer   = "HTTP/1.1 200 OK\r\nMarjoramcroft-Call: %s\r\nContent-Length: 0\r\n\r\n"
	failedAnswer  = "HTTP/1.1 500 X\r\nMarjoramcroft-Call: %s\r\nContent-Length: 2\r\n\r\nno"
	shedAnswer    = "HTTP/1.1 503 X\r\nMarjoramcroft-Call: %s\r\nMarjoramcroft-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	refusedAnswer = "HTTP/1.1 503 X\r\nMarjoramcroft-Call: %s\r\nMarjoramcroft-Reason: CapReached\r\nMarjoramcroft-Ran: no\r\nContent-Length: 0\r\n\r\n"
)

func withoutID(answer string) string {
	return strings.Replace(answer, "Marjoramcroft-Call: %s\r\n", "", 1)
}

// repeatingServer answers calls. With the third one, it writes its previous answer on the same connection once more.
type repeatingServer struct {
	second string // answer to the second call
	others string
	extra  string        // written instead of the previous answer; empty: that one
	sound  bool          // writes nothing once more
	pause  time.Duration // between the repeated answer and that to the third call

	mu       sync.Mutex
	calls    int
	previous map[net.Conn]string
}

// serve makes s the backend server or daemon at addr.
func (s *repeatingServer) serve(g *rig, addr string) {
	s.previous = map[net.Conn]string{}
	g.script(addr, func(c net.Conn, r *http.Request) {
		id := r.Header.Get(HeaderCall)
		if hop, err := DecodeHop(r.Header.Get(HeaderHop)); err == nil {
			id = hop.Call.String()
		}
		repeated, answer := s.answers(c, id)
		if repeated != "" {
			_, _ = io.WriteString(c, repeated)
			time.Sleep(s.pause)
		}
		_, _ = io.WriteString(c, answer)
	})
}

// answers returns the answer to the call id on c, and the repeated one before it.
func (s *repeatingServer) answers(c net.Conn, id string) (repeated, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	answer = s.others
	if s.calls == 2 {
		answer = s.second
	}
	if s.calls == 3 && !s.sound {
		if repeated = s.previous[c]; repeated != "" && s.extra != "" {
			repeated = s.extra
		}
	}
	answer = strings.ReplaceAll(answer, "%s", id)
	s.previous[c] = answer
	return repeated, answer
}

// served returns the number of calls that have arrived.
func (s *repeatingServer) served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// TestEarlierAnswerRepeated guards against an earlier answer that a backend server or a daemon writes once more on a
// kept connection: a later call is refused as not run although it runs, gets an answer that is not its own, or is
// lost as it uses the connection after it.
func TestEarlierAnswerRepeated(t *testing.T) {
	tests := map[string]struct {
		addr   string
		server *repeatingServer
	}{
		"refusal":                        {"b0", &repeatingServer{second: shedAnswer, others: okAnswer}},
		"refusal, empty answers":         {"b0", &repeatingServer{second: shedAnswer, others: emptyAnswer}},
		"refusal, slow call":             {"b0", &repeatingServer{second: shedAnswer, others: okAnswer, pause: time.Second}},
		"answer":                         {"b0", &repeatingServer{second: failedAnswer, others: okAnswer}},
		"answer, slow call":              {"b0", &repeatingServer{second: failedAnswer, others: okAnswer, pause: time.Second}},
		"empty answer, slow call":        {"b0", &repeatingServer{second: emptyAnswer, others: okAnswer, pause: time.Second}},
		"refusal of a daemon":            {"d0", &repeatingServer{second: refusedAnswer, others: okAnswer}},
		"refusal of a daemon, slow":      {"d0", &repeatingServer{second: refusedAnswer, others: okAnswer, pause: time.Second}},
		"answer from a daemon":           {"d0", &repeatingServer{second: failedAnswer, others: okAnswer}},
		"empty answer of a daemon, slow": {"d0", &repeatingServer{second: emptyAnswer, others: okAnswer, pause: time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := tt.server
				defer time.Sleep(2 * s.pause) // the server ends
				g := newRig(t, 1, nil)
				defer g.close()
				_ = g.backends[0].Close()
				if tt.addr == "d0" {
					_ = g.servers[1].Close()
				}
				s.serve(g, tt.addr)
				call := func() reply { return g.call(t.Context(), http.MethodPost, "/", fmt.Sprint("r", s.served()), nil) }
				is.Equal(call().status, http.StatusOK)
				call()
				third := call()
				is.Equal(third.reason, refuse.AnswerLost)
				is.Equal(third.ran, refuse.RanUnknown)
				synctest.Wait()
				is.Equal(call().status, http.StatusOK) // on another connection
				time.Sleep(2 * s.pause)
				synctest.Wait()
				is.Equal(s.served(), 4) // no call is sent twice
				is.Equal(g.unitsInUse(), 0)
			})
		})
	}
}

// TestAnswersWithoutID guards against the same failures if the repeated answer has no call id, and against refusing
// all answers of a backend server that never repeats the id.
func TestAnswersWithoutID(t *testing.T) {
	lost := refuse.AnswerLost
	tests := map[string]struct {
		server        *repeatingServer
		second, third refuse.Reason
	}{
		"refusal":            {&repeatingServer{second: okAnswer, others: okAnswer, extra: withoutID(shedAnswer)}, "", lost},
		"slow refusal":       {&repeatingServer{second: okAnswer, others: okAnswer, extra: withoutID(shedAnswer), pause: time.Second}, "", lost},
		"answer":             {&repeatingServer{second: okAnswer, others: okAnswer, extra: withoutID(failedAnswer)}, "", lost},
		"refusal, no ids":    {&repeatingServer{second: withoutID(okAnswer), others: withoutID(okAnswer), extra: withoutID(shedAnswer)}, "", lost},
		"server without ids": {&repeatingServer{second: withoutID(okAnswer), others: withoutID(okAnswer), sound: true}, "", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := tt.server
				defer time.Sleep(2 * s.pause) // the server ends
				g := newRig(t, 1, nil)
				defer g.close()
				_ = g.backends[0].Close()
				s.serve(g, "b0")
				call := func() reply { return g.call(t.Context(), http.MethodPost, "/", fmt.Sprint("r", s.served()), nil) }
				is.Equal(call().status, http.StatusOK)
				is.Equal(call().reason, tt.second)
				third := call()
				is.Equal(third.reason, tt.third)
				if tt.third == "" {
					is.Equal(third.status, http.StatusOK)
				}
				synctest.Wait()
				is.Equal(call().status, http.StatusOK)
				time.Sleep(2 * s.pause)
				synctest.Wait()
				is.Equal(s.served(), 4)
				is.Equal(g.unitsInUse(), 0)
			})
		})
	}
}
