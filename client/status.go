package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// statusReport is the output of the command status.
type statusReport struct {
	Accepted   ident.Version
	StoreError string `json:",omitempty"`
	Damage     string `json:",omitempty"` // of the head in the store
	Daemons    []daemonReport
}

// daemonReport holds the status of one daemon. Lag says why the daemon is not up to date or not reachable.
type daemonReport struct {
	Addr   string
	Status *admin.Status `json:",omitempty"`
	Lag    string        `json:",omitempty"`
}

func (c *Client) statusCommand() command {
	return command{
		name:  "status",
		short: "Show the accepted Version and that of each daemon, who lags and why.",
		long: "The daemons are those of the setting Daemons. The exit code is 7 if one is behind or not ready,\n" +
			"9 if the head in the store is damaged.",
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			ctx, cancel := c.withTimeout(ctx)
			defer cancel()
			r := c.collectStatus(ctx)
			if err := c.print(r, r.write); err != nil {
				return err
			}
			return r.err()
		},
	}
}

// collectStatus reads the head in the store and the status of all daemons. The accepted Version is the
// highest that the store or a daemon reports.
func (c *Client) collectStatus(ctx context.Context) statusReport {
	var r statusReport
	a, err := c.newAcceptor()
	if err == nil {
		head, herr := a.Examine(ctx, 0)
		r.Accepted, err = head.Version, herr
		if derr := damageError(head); herr == nil && derr != nil {
			r.Damage = derr.Error()
		}
	}
	if err != nil {
		r.StoreError = err.Error()
	}
	r.Daemons = make([]daemonReport, len(c.settings.Daemons))
	var wg sync.WaitGroup
	for i, addr := range c.settings.Daemons {
		wg.Go(func() { r.Daemons[i] = c.fetchStatus(ctx, addr) })
	}
	wg.Wait()
	stored := r.Accepted
	for _, d := range r.Daemons {
		if d.Status != nil {
			r.Accepted = max(r.Accepted, d.Status.Version)
		}
	}
	if r.StoreError == "" && r.Damage == "" && stored < r.Accepted {
		r.Damage = describeLostVersions(ctx, a, r.Accepted)
	}
	for i := range r.Daemons {
		r.Daemons[i].setLag(r.Accepted)
	}
	return r
}

// describeLostVersions describes a store that has lost Versions up to served, which a daemon still serves.
// It reads the head again and returns an empty string if the head has reached served in the meantime.
func describeLostVersions(ctx context.Context, a *accept.Acceptor, served ident.Version) string {
	head, err := a.Head(ctx)
	if err != nil || head.Version >= served {
		return ""
	}
	return fmt.Sprintf("head is Version %d, daemons serve Version %d, see marjoramcroft restore -dry-run", head.Version, served)
}

func (c *Client) fetchStatus(ctx context.Context, addr string) daemonReport {
	d := daemonReport{Addr: addr}
	var st admin.Status
	if err := c.getJSON(ctx, addr, "status", nil, &st); err != nil {
		d.Lag = err.Error()
		return d
	}
	d.Status = &st
	return d
}

// setLag sets Lag if the daemon is not ready or is behind the accepted Version.
func (d *daemonReport) setLag(accepted ident.Version) {
	switch {
	case d.Status == nil:
	case !d.Status.Ready:
		d.Lag = "not ready: " + d.Status.Reason
	case d.Status.Version < accepted:
		d.Lag = fmt.Sprintf("behind by %d", accepted-d.Status.Version)
	}
}

func (r statusReport) err() error {
	if r.StoreError != "" {
		return fmt.Errorf("%w: %s", store.ErrUnavailable, r.StoreError)
	}
	if r.Damage != "" {
		return fmt.Errorf("%w: %s", accept.ErrCorrupt, r.Damage)
	}
	for _, d := range r.Daemons {
		if d.Lag != "" {
			return errLagging
		}
	}
	return nil
}

func (r statusReport) write(w io.Writer) {
	reachable := "reachable"
	if r.StoreError != "" {
		reachable = "not reachable: " + r.StoreError
	}
	_, _ = fmt.Fprintf(w, "accepted Version %d, store %s\n", r.Accepted, reachable)
	if r.Damage != "" {
		_, _ = fmt.Fprintln(w, r.Damage)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "DAEMON\tDATA CENTRE\tVERSION\tSERVICE\tSTATE\tIN USE\tROLES\tLAG")
	for _, d := range r.Daemons {
		if d.Status == nil {
			_, _ = fmt.Fprintf(tw, "%s\t-\t-\t-\t-\t-\t-\t%s\n", d.Addr, d.Lag)
			continue
		}
		service, state, use := "-", "-", "-"
		if s := d.Status.Server; s != nil {
			service, state, use = string(s.Service), s.State, fmt.Sprintf("%d/%d", s.InUse, s.Slots)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", d.Addr, d.Status.Place.DataCentre, d.Status.Version,
			service, state, use, strings.Join(d.Status.Roles, ","), d.Lag)
	}
	_ = tw.Flush()
}

// getJSON sends a GET request to a daemon and decodes the JSON response into out.
func (c *Client) getJSON(ctx context.Context, addr, page string, q url.Values, out any) error {
	body, err := c.request(ctx, http.MethodGet, addr, page, q)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("daemon %s: decode %s: %w", addr, page, err)
	}
	return nil
}

// request sends a request to an admin page of a daemon and returns the response body.
func (c *Client) request(ctx context.Context, method, addr, page string, q url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: addr, Path: admin.Prefix + page, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("daemon %s: %w", addr, err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: daemon %s: %w", store.ErrUnavailable, addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("daemon %s: %w", addr, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("daemon %s: %s: %s", addr, resp.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}
