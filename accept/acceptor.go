package accept

import (
	"context"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// Deps are the dependencies of an Acceptor.
type Deps struct {
	Store  *store.Client
	Config Config
	Stats  *stats.Set
	Log    *event.Log
	Rand   func() float64 // in [0, 1); safe for concurrent use
}

// Acceptor accepts changes of the agreement, stores them and loads accepted Versions. Its methods
// are safe for concurrent use.
type Acceptor struct {
	Deps
	codec *codec

	mu             sync.Mutex
	recent         []*agree.Agreement // the last loaded agreements, newest last; at most Config.KeepLoaded
	chunks         map[ChunkID][]byte // cache of compressed chunks: those of lastLoaded and some of earlier Versions
	lastLoaded     Record             // only Version, Hash and Chunks are set
	lastHistoryKey string             // key of the last history record known to be in the store
	lastHistoryEra store.Era          // of the store when that record was written
	// unresolved has the IDs of changes whose last submission to this Acceptor ended with ErrUnknown.
	unresolved map[ident.ChangeID]struct{}
}

// New returns an Acceptor.
func New(d Deps) (*Acceptor, error) {
	if err := d.Config.Validate(); err != nil {
		return nil, err
	}
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &Acceptor{Deps: d, codec: c, chunks: map[ChunkID][]byte{}, unresolved: map[ident.ChangeID]struct{}{}}, nil
}

// Head returns the current Head, or the zero Head if the key is absent.
func (a *Acceptor) Head(ctx context.Context) (Head, error) {
	v, err := a.Store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, err
	}
	h, err := DecodeHead(v)
	if err != nil {
		a.Log.Emit(event.AgreementCorrupt, "Error", err)
	}
	return h, err
}
