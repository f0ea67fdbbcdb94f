package emul

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// ChainPath is the prefix of the paths of call chains: a call of ChainPath + N makes a call of
// ChainPath + (N-1) with the same query through the daemon beside the backend server,
// until N is zero.
const ChainPath = "/chain/"

// forwardedHeaders lists the headers that a backend server copies to the calls that it makes.
var forwardedHeaders = []string{
	"Marjoramcroft-Member", "Marjoramcroft-Depth", "Marjoramcroft-Deadline", "Marjoramcroft-Retried", HeaderRequest,
}

// isChain reports whether r makes a further call.
func isChain(r *http.Request) bool {
	rest, ok := strings.CutPrefix(r.URL.Path, ChainPath)
	return ok && rest != "0"
}

// serveChain makes the next call of a chain and relays its response with all headers except
// headerCall, which differs for each call.
func (b *Backend) serveChain(w http.ResponseWriter, r *http.Request) {
	resp, err := b.nextCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, vs := range resp.Header {
		if k != headerCall {
			w.Header()[k] = vs
		}
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (b *Backend) nextCall(r *http.Request) (*http.Response, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, ChainPath))
	if err != nil {
		return nil, fmt.Errorf("chain: %w", err)
	}
	url := "http://" + string(b.cfg.Announce) + ChainPath + strconv.Itoa(n-1) + "?" + r.URL.RawQuery
	req, err := http.NewRequestWithContext(r.Context(), r.Method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("chain: %w", err)
	}
	for _, k := range forwardedHeaders {
		if v := r.Header.Get(k); v != "" {
			req.Header.Set(k, v)
		}
	}
	resp, err := b.chain.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("chain: %w", err)
	}
	return resp, nil
}
