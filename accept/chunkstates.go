package accept

import (
	"context"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// maxChunkReads is the number of chunks that are read one by one. If more are needed, listing all
// chunks of the store takes fewer calls: 256, however many records are checked.
const maxChunkReads = 100

// chunkStates caches which chunks are intact in the store, so that a chunk shared by several records
// is read once. It keeps the states only, not the data.
type chunkStates struct {
	a        *Acceptor
	states   map[ChunkID]error // nil: intact
	complete bool              // states covers every chunk in the store
}

func (a *Acceptor) newChunkStates() *chunkStates {
	return &chunkStates{a: a, states: map[ChunkID]error{}}
}

// readAll reads and checks every chunk in the store, listing the same 256 key prefixes as a collection.
func (c *chunkStates) readAll(ctx context.Context) error {
	for part := range 256 {
		vs, err := c.a.Store.List(ctx, fmt.Sprintf("%s%02x", chunkPrefix, part))
		if err != nil {
			return err
		}
		for _, v := range vs {
			c.add(ChunkID(v.Key[len(chunkPrefix):]), v)
		}
	}
	c.complete = true
	return nil
}

func (c *chunkStates) add(id ChunkID, v store.Value) {
	if v.Revision == 0 {
		c.states[id] = fmt.Errorf("%w: %s", ErrMissing, id)
		return
	}
	err := c.a.codec.decode(id, v.Data, func(agree.Row) {})
	c.states[id] = err
}

// check returns an error for the first chunk of rec that is missing, damaged or cannot be read, and
// nil if all chunks are intact.
func (c *chunkStates) check(ctx context.Context, rec Record) error {
	for _, id := range rec.Chunks {
		if err := c.read(ctx, id); err != nil {
			return err
		}
		if err := c.states[id]; err != nil {
			return err
		}
	}
	return nil
}

// read makes sure that states has the state of the chunk id. It returns an error if the store
// cannot be read.
func (c *chunkStates) read(ctx context.Context, id ChunkID) error {
	if _, ok := c.states[id]; ok {
		return nil
	}
	if !c.complete && len(c.states) >= maxChunkReads {
		if err := c.readAll(ctx); err != nil {
			return err
		}
	}
	if c.complete {
		if _, ok := c.states[id]; !ok {
			c.add(id, store.Value{})
		}
		return nil
	}
	v, err := c.a.Store.Get(ctx, id.key())
	if err == nil {
		c.add(id, v)
	}
	return err
}
