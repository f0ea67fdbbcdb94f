package quota

import (
	"context"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Handle handles TypeSeal, TypeList and TypeFree messages.
func (h *Holder) Handle(_ context.Context, _ *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	switch t {
	case TypeSeal:
		return wire.HandleRequest(body, h.handleSeal)
	case TypeList:
		return wire.HandleRequest(body, h.handleList)
	case TypeFree:
		return wire.HandleRequest(body, h.handleFree)
	}
	return nil, fmt.Errorf("holder: %w: %s", wire.ErrUnknownType, t)
}

// handleFree requests an exchange, since the keeper expects to grant or take back units.
func (h *Holder) handleFree(m Free) (struct{}, error) {
	if m.Service != h.d.Service {
		return struct{}{}, fmt.Errorf("holder serves %s, not %s", h.d.Service, m.Service)
	}
	h.requestExchange()
	return struct{}{}, nil
}

func (h *Holder) handleList(m ListRequest) (List, error) {
	if m.Service != h.d.Service {
		return List{}, fmt.Errorf("holder serves %s, not %s", h.d.Service, m.Service)
	}
	return h.List(), nil
}
