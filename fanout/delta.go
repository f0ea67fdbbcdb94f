package fanout

import (
	"errors"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Delta is the change from the agreement of Version Base to that of Version.
type Delta struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Base     ident.Version
	BaseHash agree.Hash
	Version  ident.Version
	Hash     agree.Hash
	Rows     []byte // changed rows: msgpack, compressed with zstd
}

// NewDelta returns the delta from base to cur.
func NewDelta(base, cur *agree.Agreement) (Delta, error) {
	return newDelta(base.Version(), base.Hash(), cur.Version(), cur.Hash(), agree.Diff(base, cur))
}

func newDelta(base ident.Version, baseHash agree.Hash, version ident.Version, hash agree.Hash, c agree.Change) (Delta, error) {
	set := rowSet{Delete: c.Delete, Put: make([]wireRow, 0, len(c.Put))}
	for _, r := range c.Put {
		set.Put = append(set.Put, toWireRow(r))
	}
	b, err := pack(set)
	if err != nil {
		return Delta{}, err
	}
	return Delta{Base: base, BaseHash: baseHash, Version: version, Hash: hash, Rows: b}, nil
}

// Change decodes the changed rows.
func (d Delta) Change() (agree.Change, error) {
	var set rowSet
	if err := unpack(d.Rows, &set); err != nil {
		return agree.Change{}, err
	}
	c := agree.Change{Delete: set.Delete}
	for _, r := range set.Put {
		c.Put = append(c.Put, fromWireRow(r))
	}
	return c, nil
}

// apply returns the agreement that results from applying d to cur. The error is a *DropError.
func (d Delta) apply(cur *agree.Agreement) (*agree.Agreement, error) {
	drop := func(r Reason, err error) (*agree.Agreement, error) {
		return nil, &DropError{Reason: r, Version: d.Version, Held: cur.Version(), Err: err}
	}
	switch {
	case d.Version == cur.Version() && d.Hash == cur.Hash():
		return drop(Duplicate, nil)
	case d.Version == cur.Version():
		return drop(Diverged, nil)
	case d.Version < cur.Version():
		return drop(Stale, nil)
	case d.Base > cur.Version():
		return drop(Reordered, nil)
	case d.Base < cur.Version(), d.BaseHash != cur.Hash():
		return drop(WrongBase, nil)
	}
	c, err := d.Change()
	if err != nil {
		return drop(Corrupt, err)
	}
	next, err := cur.Apply(d.Version, c)
	if errors.Is(err, agree.ErrInvalid) {
		return drop(Invalid, err)
	}
	if err != nil {
		return drop(Corrupt, err)
	}
	if next.Hash() != d.Hash {
		return drop(WrongHash, nil)
	}
	return next, nil
}
