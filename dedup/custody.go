package dedup

import (
	"context"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// custody holds the records that a stopped home has stored with this daemon.
type custody struct {
	incarnation ident.Incarnation
	records     []Record
	complete    bool
	reclaimer   ident.Incarnation // process that reclaims the records
	at          time.Time
}

// custodian returns the holder that stores the records of owner while owner is stopped.
func custodian(owner ident.Addr, l quota.List) ident.Addr {
	return quota.FirstRanked("custody/"+string(owner), without(l.Holders, owner))
}

// Stop sends the records of all free keys to the custodian; call it before
// quota.Holder.Leave. The table serves no key afterwards. After an error the next process
// starts uncleanly.
func (t *Table) Stop(ctx context.Context) error {
	t.closed.Store(true)
	to := custodian(t.d.Addr, t.d.List())
	if to == "" {
		return fmt.Errorf("%w: no other holder", errRecords)
	}
	if t.mayMissRecords() || !t.Ready(t.d.List().Version) {
		return fmt.Errorf("%w: records of an earlier life or list are missing", errRecords)
	}
	var recs []Record
	for _, p := range t.collect(func(Scope) ident.Addr { return to })[to] {
		recs = append(recs, p.rec)
	}
	m := Custody{Owner: t.d.Addr, Incarnation: t.d.Incarnation}
	for part := range chunks(recs, func(r Record) int { return entryBytes + r.Answer.size() }) {
		m.Records = part
		if err := t.call(ctx, to, TypeCustody, m, nil); err != nil {
			return err
		}
		m.Offset += len(part)
	}
	m.Records, m.Complete = nil, true
	return t.call(ctx, to, TypeCustody, m, nil)
}

func (t *Table) call(ctx context.Context, to ident.Addr, typ wire.Type, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.d.Call(ctx, to, typ, in, out); err != nil {
		return fmt.Errorf("%s to %s: %w", typ, to, err)
	}
	return nil
}

// storeCustody handles a Custody message.
func (t *Table) storeCustody(m Custody) error {
	t.custodyMu.Lock()
	defer t.custodyMu.Unlock()
	if t.closed.Load() {
		return fmt.Errorf("%w: custodian is stopping", errRecords)
	}
	c := t.custody[string(m.Owner)]
	if m.Offset == 0 && (c == nil || c.incarnation < m.Incarnation) {
		t.dropCustody(m.Owner)
		c = &custody{incarnation: m.Incarnation, at: time.Now()}
		t.custody[string(m.Owner)] = c
	}
	switch {
	case c == nil || c.incarnation != m.Incarnation || c.reclaimer != 0:
		return fmt.Errorf("%w: custody of %s is not open", errRecords, m.Owner)
	case m.Offset > len(c.records):
		return fmt.Errorf("%w: records before %d are missing", errRecords, m.Offset)
	case m.Offset < len(c.records):
		return nil // resent because the reply was lost
	}
	var n int64
	for _, r := range m.Records {
		n += r.bytes()
	}
	if t.full(n) {
		return fmt.Errorf("%w: custodian is full", errRecords)
	}
	t.bytes.Add(n)
	c.records = append(c.records, m.Records...)
	c.complete = m.Complete
	return nil
}

func (r Record) bytes() int64 {
	return int64(entryBytes + len(r.Member) + len(r.Key) + r.Answer.size())
}

// dropCustody drops the custody of owner. The caller holds custodyMu.
func (t *Table) dropCustody(owner ident.Addr) {
	if c := t.custody[string(owner)]; c != nil {
		for _, r := range c.records {
			t.bytes.Add(-r.bytes())
		}
		delete(t.custody, string(owner))
	}
}

// expireCustody drops custody whose records have all expired. An owner that restarts
// later finds none and starts uncleanly, which by then has little effect.
func (t *Table) expireCustody() {
	t.custodyMu.Lock()
	defer t.custodyMu.Unlock()
	for owner, c := range t.custody {
		if time.Since(c.at) > 2*quota.RecordRetention {
			t.dropCustody(ident.Addr(owner))
		}
	}
}

// returnCustody handles a Reclaim message.
func (t *Table) returnCustody(m Reclaim) Reclaimed {
	t.custodyMu.Lock()
	defer t.custodyMu.Unlock()
	c := t.custody[string(m.Owner)]
	if c == nil || !c.complete || m.After != c.incarnation || c.reclaimer != 0 && c.reclaimer != m.Incarnation {
		return Reclaimed{}
	}
	c.reclaimer = m.Incarnation
	out := Reclaimed{Found: true, Last: true}
	spent := time.Since(c.at)
	n := 0
	for _, r := range c.records[min(m.Offset, len(c.records)):] {
		if n += int(r.bytes()); n > chunkBytes && len(out.Records) > 0 {
			out.Last = false
			break
		}
		r.Left -= spent
		r.RunLeft = max(0, r.RunLeft-spent)
		out.Records = append(out.Records, r)
	}
	return out
}

// reclaim fetches the records of the previous process from the custodian.
func (t *Table) reclaim(ctx context.Context) error {
	from := custodian(t.d.Addr, t.d.List())
	if from == "" {
		return fmt.Errorf("%w: no other holder", errRecords)
	}
	m := Reclaim{Owner: t.d.Addr, Incarnation: t.d.Incarnation, After: t.d.PreviousIncarnation()}
	for tries := 0; ; {
		var out Reclaimed
		if err := t.call(ctx, from, TypeReclaim, m, &out); err != nil {
			if tries++; tries == 3 {
				return err
			}
			continue
		}
		if !out.Found {
			return fmt.Errorf("%w: custodian %s has none", errRecords, from)
		}
		if err := t.merge(out.Records); err != nil {
			return err
		}
		m.Offset += len(out.Records)
		if out.Last {
			return nil
		}
	}
}
