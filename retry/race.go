package retry

import "context"

// attemptGroup is the set of concurrent attempts of a call.
type attemptGroup[T any] struct {
	results chan result[T]
	cancels []context.CancelFunc
	running int
}

// result is the result of one attempt.
type result[T any] struct {
	n     int
	value T
	err   error
}

func (g *attemptGroup[T]) start(ctx context.Context, send AttemptFunc[T]) {
	ctx, cancel := context.WithCancel(ctx)
	n := len(g.cancels)
	g.cancels = append(g.cancels, cancel)
	g.running++
	go func() {
		v, err := send(ctx)
		g.results <- result[T]{n, v, err}
	}()
}

// cancelOthers cancels all attempts but the winner, whose context ends with the call, and
// releases their late responses.
func (g *attemptGroup[T]) cancelOthers(winner int, drop func(T)) {
	for n, cancel := range g.cancels {
		if n != winner {
			cancel()
		}
	}
	if g.running == 0 {
		return
	}
	go func() {
		for range g.running {
			if a := <-g.results; a.err == nil {
				drop(a.value)
			}
		}
	}()
}
