package dedup

import (
	"context"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Handle dispatches a message of this package and returns the encoded reply.
func (t *Table) Handle(ctx context.Context, _ *wire.Conn, typ wire.Type, body []byte) ([]byte, error) {
	switch typ {
	case TypeClaim:
		return wire.HandleRequest(body, func(m Claim) (Reply, error) { return t.claim(ctx, m), nil })
	case TypeFinish:
		return wire.HandleRequest(body, func(m Finish) (Finished, error) { return t.finish(m), nil })
	case TypeHandover:
		return wire.HandleRequest(body, func(m Handover) (struct{}, error) { return struct{}{}, t.handover(m) })
	case TypeCustody:
		return wire.HandleRequest(body, func(m Custody) (struct{}, error) { return struct{}{}, t.storeCustody(m) })
	case TypeReclaim:
		return wire.HandleRequest(body, func(m Reclaim) (Reclaimed, error) { return t.returnCustody(m), nil })
	}
	return nil, fmt.Errorf("table: %w: %s", wire.ErrUnknownType, typ)
}
