package daemon

import (
	"context"
	"fmt"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/dedup"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// handle dispatches a control message of the service to the component that handles it.
func (s *service) handle(ctx context.Context, c *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	switch t {
	case typeIssue:
		return wire.HandleRequest(body, s.issueKey)
	case quota.TypeSync, quota.TypeLeave, quota.TypeRetire:
		return s.keeper.Handle(ctx, c, t, body)
	case quota.TypeSeal, quota.TypeList, quota.TypeFree:
		return s.holder.Handle(ctx, c, t, body)
	}
	if strings.HasPrefix(string(t), "dedup.") {
		return s.table.Handle(ctx, c, t, body)
	}
	return nil, fmt.Errorf("%w: %s", wire.ErrUnknownType, t)
}

// typeIssue is a request to a daemon of a service to issue a bound idempotency key.
const typeIssue wire.Type = "daemon.Issue"

func (s *service) issueKey(id ident.ServiceID) (dedup.Key, error) {
	if id != s.id {
		return "", fmt.Errorf("daemon serves %s, not %s", id, s.id)
	}
	return s.table.Issue()
}
