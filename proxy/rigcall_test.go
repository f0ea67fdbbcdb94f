package proxy

import (
	"context"
	"io"
	"net/http"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// reply is the result of a call as its caller sees it.
type reply struct {
	status int
	reason refuse.Reason
	ran    refuse.Ran
	body   string
	err    error // the connection broke
}

// call sends a request to the entry daemon as the member office, with id in the header
// emul.HeaderRequest.
func (g *rig) call(ctx context.Context, method, path, id string, body io.Reader, header ...string) reply {
	return g.callAt(ctx, "entry", method, path, id, body, header...)
}

func (g *rig) callAt(ctx context.Context, daemon, method, path, id string, body io.Reader, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+daemon+path, body)
	if err != nil {
		g.tb.Error(err)
		return reply{err: err}
	}
	req.Header.Set(HeaderMember, "office")
	req.Header.Set(emul.HeaderRequest, id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := g.client.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, body: string(b), err: err}
	if ref := refuse.FromResponse(resp.Header); ref != nil {
		out.reason, out.ran = ref.Reason, ref.Ran
	}
	return out
}
