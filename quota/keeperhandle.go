package quota

import (
	"context"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Handle handles TypeSync, TypeLeave and TypeRetire messages.
func (k *Keeper) Handle(ctx context.Context, _ *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	switch t {
	case TypeSync:
		return wire.HandleRequest(body, k.handleSync)
	case TypeLeave:
		return wire.HandleRequest(body, k.handleLeave)
	case TypeRetire:
		return wire.HandleRequest(body, func(m Retire) (struct{}, error) { return struct{}{}, k.handleRetire(ctx, m) })
	}
	return nil, fmt.Errorf("keeper: %w: %s", wire.ErrUnknownType, t)
}
