package fanout_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func mustDelta(t testing.TB, base, cur *agree.Agreement) fanout.Delta {
	t.Helper()
	d, err := fanout.NewDelta(base, cur)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func openHolder(t testing.TB, s *stats.Set, a *agree.Agreement) *fanout.Holder {
	t.Helper()
	h := fanout.NewHolder(s, event.Discard())
	h.AllowServing()
	if err := h.Install(a); err != nil {
		t.Fatal(err)
	}
	return h
}

// Each case guards against an invalid update of one kind that is applied, in whole or in part,
// or is dropped without being counted under its reason.
func TestOfferDropsInvalidDeltas(t *testing.T) {
	a4, a5, a6, a7 := mustAgreement(t, 4, 4), mustAgreement(t, 5, 5), mustAgreement(t, 6, 6), mustAgreement(t, 7, 7)
	other5 := mustAgreement(t, 5, 50)
	dangling := mustDelta(t, a5, a6)
	dangling.Rows = rowsDeleting(t, agree.CapKey("m", "s"))
	corrupt := mustDelta(t, a5, a6)
	corrupt.Rows = append([]byte(nil), corrupt.Rows...)
	corrupt.Rows[len(corrupt.Rows)/2] ^= 0x40
	truncated := mustDelta(t, a5, a6)
	truncated.Rows = truncated.Rows[:len(truncated.Rows)/2]
	missing := mustDelta(t, a5, a6)
	missing.Rows = rowsDeleting(t, "member/nobody")
	wrongHash := mustDelta(t, a5, a6)
	wrongHash.Hash++
	wrongBase := mustDelta(t, a5, a6)
	wrongBase.BaseHash++
	diverged := mustDelta(t, a4, other5)
	backwards := mustDelta(t, a5, a4)
	for name, tt := range map[string]struct {
		d    fanout.Delta
		want fanout.Reason
	}{
		"duplicate of the state held":         {mustDelta(t, a4, a5), fanout.Duplicate},
		"older result":                        {mustDelta(t, mustAgreement(t, 3, 3), a4), fanout.Stale},
		"result below its base":               {backwards, fanout.Stale},
		"predecessor missing":                 {mustDelta(t, a6, a7), fanout.Reordered},
		"base overtaken":                      {mustDelta(t, a4, a6), fanout.WrongBase},
		"base with other content":             {wrongBase, fanout.WrongBase},
		"result with other content":           {wrongHash, fanout.WrongHash},
		"bit flipped":                         {corrupt, fanout.Corrupt},
		"cut short":                           {truncated, fanout.Corrupt},
		"deletes an unknown row":              {missing, fanout.Corrupt},
		"route without its cap":               {dangling, fanout.Invalid},
		"other content under the same number": {diverged, fanout.Diverged},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := stats.New()
			h := openHolder(t, s, a5)
			changes := 0
			h.Watch(func(_, _ *agree.Agreement) { changes++ })
			err := h.ApplyDelta(tt.d)
			var drop *fanout.DropError
			is.True(errors.As(err, &drop))
			is.Equal(drop.Reason, tt.want)
			is.Equal(s.Value("Fanout.Dropped."+string(tt.want)), int64(1))
			is.Equal(len(s.All("Fanout.Dropped.")), 1)
			is.Equal(h.Agreement(), a5)
			is.Equal(changes, 0)
			is.NoErr(h.ApplyDelta(mustDelta(t, a5, a6))) // the next valid update is applied
			is.Equal(h.Agreement().Hash(), a6.Hash())
		})
	}
}

func rowsDeleting(t testing.TB, k agree.Key) []byte {
	t.Helper()
	rows := []agree.Row{{Kind: agree.KindMember, Member: "m"}, {Kind: agree.KindService, Service: "s"}}
	with := rows
	switch k {
	case agree.CapKey("m", "s"):
		with = append(with, agree.Row{Kind: agree.KindCap, Member: "m", Service: "s", Units: 5})
	default:
		with = append(with, agree.Row{Kind: agree.KindMember, Member: "nobody"})
	}
	a, err := agree.New(1, with)
	if err != nil {
		t.Fatal(err)
	}
	b, err := agree.New(2, rows)
	if err != nil {
		t.Fatal(err)
	}
	return mustDelta(t, a, b).Rows
}

// Guards against a reason without a log event of its own.
func TestReasonsHaveEvents(t *testing.T) {
	is := is.New(t)
	seen := map[event.ID]bool{}
	for _, r := range fanout.Reasons() {
		id := fanout.EventOf(r)
		_, ok := event.Lookup(id)
		is.True(ok)
		is.True(!seen[id])
		seen[id] = true
	}
	is.Equal(len(seen), 8)
}

// Each case guards against a snapshot that lowers the Version or replaces the content of a
// Version.
func TestInstallNeverLowersVersion(t *testing.T) {
	a5 := mustAgreement(t, 5, 5)
	for name, tt := range map[string]struct {
		a       *agree.Agreement
		want    ident.Version
		fails   bool
		counter string
	}{
		"newer":         {mustAgreement(t, 9, 9), 9, false, ""},
		"older":         {mustAgreement(t, 4, 4), 5, true, "Fanout.Dropped.Stale"},
		"empty":         {agree.Empty(), 5, true, "Fanout.Dropped.Stale"},
		"same again":    {mustAgreement(t, 5, 5), 5, false, "Fanout.Dropped.Duplicate"},
		"other content": {mustAgreement(t, 5, 6), 5, true, "Fanout.Dropped.Diverged"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := stats.New()
			h := openHolder(t, s, a5)
			is.Equal(h.Install(tt.a) != nil, tt.fails)
			is.Equal(h.Agreement().Version(), tt.want)
			if tt.counter != "" {
				is.Equal(s.Value(tt.counter), int64(1))
				is.Equal(h.Agreement().Hash(), a5.Hash())
			}
		})
	}
}

// Guards against a restarted daemon that serves a Version below one that its address has already
// served, or that serves any Version before the floor is known.
func TestVersionBelowFloorNotServed(t *testing.T) {
	is := is.New(t)
	s := stats.New()
	h := fanout.NewHolder(s, event.Discard())
	is.NoErr(h.Install(mustAgreement(t, 4, 4)))
	is.True(!h.Serving()) // the floor is not known yet
	h.RaiseFloor(6)
	h.AllowServing()
	is.True(!h.Serving()) // below the floor
	is.NoErr(h.ApplyDelta(mustDelta(t, mustAgreement(t, 4, 4), mustAgreement(t, 5, 5))))
	is.True(!h.Serving())
	is.Equal(s.Value("Fanout.Withheld"), int64(2))
	is.NoErr(h.ApplyDelta(mustDelta(t, mustAgreement(t, 5, 5), mustAgreement(t, 6, 6))))
	is.Equal(h.Agreement().Version(), ident.Version(6))
	h.RaiseFloor(3)
	is.Equal(h.Floor(), ident.Version(6)) // the floor never decreases
}

// Guards against installing a corrupt snapshot.
func TestCorruptSnapshotRejected(t *testing.T) {
	a := mustAgreement(t, 5, 5)
	good, err := fanout.NewSnapshot(a)
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		change func(s *fanout.Snapshot)
		want   fanout.Reason
	}{
		"bit flipped":    {func(s *fanout.Snapshot) { s.Rows[len(s.Rows)/2] ^= 1 }, fanout.Corrupt},
		"empty":          {func(s *fanout.Snapshot) { s.Rows = []byte{1, 2, 3} }, fanout.Corrupt},
		"other hash":     {func(s *fanout.Snapshot) { s.Hash++ }, fanout.WrongHash},
		"other Version":  {func(s *fanout.Snapshot) { s.Version++ }, fanout.WrongHash},
		"cap lost":       {func(s *fanout.Snapshot) { s.Rows = rowsWithoutCap(t) }, fanout.Invalid},
		"rows of others": {func(s *fanout.Snapshot) { s.Rows = snapshotRows(t, mustAgreement(t, 5, 6)) }, fanout.WrongHash},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := good
			s.Rows = append([]byte(nil), good.Rows...)
			tt.change(&s)
			_, err := s.Agreement()
			var drop *fanout.DropError
			is.True(errors.As(err, &drop))
			is.Equal(drop.Reason, tt.want)
		})
	}
}

func snapshotRows(t testing.TB, a *agree.Agreement) []byte {
	t.Helper()
	s, err := fanout.NewSnapshot(a)
	if err != nil {
		t.Fatal(err)
	}
	return s.Rows
}

// rowsWithoutCap returns the rows of a state with a route but no cap for it. It builds them as a
// delta, since deltas and snapshots encode rows in the same format.
func rowsWithoutCap(t testing.TB) []byte {
	t.Helper()
	d := mustDelta(t, agree.Empty(), mustAgreement(t, 5, 5))
	c, err := d.Change()
	if err != nil {
		t.Fatal(err)
	}
	var members []agree.Row
	for _, r := range c.Put {
		if r.Kind == agree.KindMember || r.Kind == agree.KindService {
			members = append(members, r)
		}
	}
	base, err := agree.New(1, append(members, agree.Row{Kind: agree.KindCap, Member: "m", Service: "s", Units: 1}))
	if err != nil {
		t.Fatal(err)
	}
	// The delta leaves out the cap, since the base has an equal one.
	full := mustAgreement(t, 5, 1)
	capOnly, err := agree.New(1, []agree.Row{mustRow(base, agree.CapKey("m", "s")), members[0], members[1]})
	if err != nil {
		t.Fatal(err)
	}
	return mustDelta(t, capOnly, full).Rows
}

func mustRow(a *agree.Agreement, k agree.Key) agree.Row {
	r, _ := a.Row(k)
	return r
}
