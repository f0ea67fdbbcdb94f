package accept

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// setVersion replaces the Version from by to in the stored head.
func (b *bench) setVersion(t *testing.T, from, to string) {
	t.Helper()
	rewrite(t, b.emul.Driver(), HeadKey, func(data []byte) []byte {
		return []byte(strings.Replace(string(data), `"Version":`+from+`,`, `"Version":`+to+`,`, 1))
	})
}

// TestDamagedHead guards against a damaged head that cannot be replaced by a restore, a replacement
// whose Version is not above all Versions that daemons may serve, and a change or a collection that is
// based on the damaged head.
func TestDamagedHead(t *testing.T) {
	second := map[string]int{"a": 5, "b": 1}
	third := map[string]int{"a": 5, "b": 7}
	tests := map[string]struct {
		damage   func(t *testing.T, b *bench)
		served   ident.Version // by daemons
		restored int
		want     map[string]int
		version  int // Version that the restore produces; above 3, since daemons may serve 3
	}{
		"chunk of head removed": {
			damage:   func(t *testing.T, b *bench) { b.mustRemove(t, b.chunkOf(t, 3)) },
			restored: 2, want: second, version: 4,
		},
		"chunk of head truncated": {
			damage:   func(t *testing.T, b *bench) { b.truncate(t, b.chunkOf(t, 3)) },
			restored: 2, want: second, version: 4,
		},
		"chunks of head and of the version before it removed": {
			damage: func(t *testing.T, b *bench) {
				b.mustRemove(t, b.chunkOf(t, 3))
				b.mustRemove(t, b.chunkOf(t, 2))
			}, restored: 1, want: map[string]int{"a": 1, "b": 1}, version: 4,
		},
		"chunk of head removed and the record before it damaged": {
			damage: func(t *testing.T, b *bench) {
				b.mustRemove(t, b.chunkOf(t, 3))
				b.truncate(t, historyKey(2))
			}, restored: 1, want: map[string]int{"a": 1, "b": 1}, version: 4,
		},
		// The last accepted Version may have no record yet, so daemons may serve one Version above the
		// newest record.
		"head truncated": {
			damage:   func(t *testing.T, b *bench) { b.truncate(t, HeadKey) },
			restored: 3, want: third, version: 5,
		},
		"head removed": {
			damage:   func(t *testing.T, b *bench) { b.mustRemove(t, HeadKey) },
			restored: 3, want: third, version: 5,
		},
		"head truncated before its record was written": {
			damage: func(t *testing.T, b *bench) {
				b.truncate(t, HeadKey)
				b.mustRemove(t, historyKey(3))
			}, restored: 2, want: second, version: 4,
		},
		"head truncated and the last record damaged": {
			damage: func(t *testing.T, b *bench) {
				b.truncate(t, HeadKey)
				b.truncate(t, historyKey(3))
			}, restored: 2, want: second, version: 5,
		},
		"head states a lower version": {
			damage:   func(t *testing.T, b *bench) { b.setVersion(t, "3", "2") },
			restored: 3, want: third, version: 5,
		},
		"head states a higher version": {
			damage:   func(t *testing.T, b *bench) { b.setVersion(t, "3", "8") },
			restored: 3, want: third, version: 9,
		},
		"daemons serve a version that the store has lost": {
			damage: func(*testing.T, *bench) {}, served: 11, restored: 3, want: third, version: 12,
		},
		"head removed and daemons serve a version without a record": {
			damage: func(t *testing.T, b *bench) { b.mustRemove(t, HeadKey) }, served: 250, restored: 3, want: third, version: 251,
		},
		"answer to the repair lost": {
			damage: func(t *testing.T, b *bench) {
				b.truncate(t, HeadKey)
				b.emul.FailWrites(HeadKey, 1, emul.Broken, 0)
			}, restored: 3, want: third, version: 5,
		},
		"repair takes effect late": {
			damage: func(t *testing.T, b *bench) {
				b.mustRemove(t, b.chunkOf(t, 3))
				b.emul.FailWrites(HeadKey, 1, emul.Late, 4*time.Second)
			}, restored: 2, want: second, version: 4,
		},
		"record of the garbage damaged too": {
			damage: func(t *testing.T, b *bench) {
				if _, err := b.emul.Driver().Swap(t.Context(), garbageKey, 0, []byte("{"), 0); err != nil {
					t.Fatal(err)
				}
				b.truncate(t, HeadKey)
			}, restored: 3, want: third, version: 5,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := threeVersions(t)
				tt.damage(t, b)
				b = newBenchOn(t, b.emul) // with empty caches
				plan, err := b.PlanRestore(t.Context(), 0, tt.served)
				is.NoErr(err)
				is.True(plan.Damage != "")
				is.Equal(int(plan.Version), tt.version)
				is.Equal(int(plan.Restored), tt.restored)
				if tt.served == 0 || b.emul.Peek(HeadKey).Revision == 0 {
					b.mustRefuseUse(t)
				}
				p := restore("repair", 0, plan.Base)
				p.Served = tt.served
				res := b.mustPropose(t, p)
				is.Equal(int(res.Version), tt.version)
				is.Equal(int(res.Restored), tt.restored)
				is.Equal(res.Repaired, plan.Damage)
				time.Sleep(time.Minute) // late writes take effect
				is.Equal(b.caps(t), tt.want)
				is.Equal(int(b.head(t).Version), tt.version)
				head, err := b.Examine(t.Context(), tt.served)
				is.NoErr(err)
				is.NoErr(head.Damage)
				is.True(b.mustPropose(t, p).Repeated)
				is.Equal(int(b.mustPropose(t, correction("next", 0, capRow("b", 8))).Version), tt.version+1)
				again := b.mustPropose(t, correction("second", 0, capRow("a", 2))) // its ID is still found
				is.Equal(again, Result{Version: 2, Repeated: true})
			})
		})
	}
}

// mustRefuseUse fails the test unless changes, collections and a restore with a stale base are refused
// and leave the store unchanged.
func (b *bench) mustRefuseUse(t *testing.T) {
	t.Helper()
	is := is.New(t)
	revision := b.emul.Revision()
	_, err := b.Propose(t.Context(), correction("change", 0, capRow("a", 2)))
	is.True(isDamage(err))
	_, err = b.Propose(t.Context(), sheetOf("sheet", 0, map[string]int{"a": 2}))
	is.True(isDamage(err))
	time.Sleep(25 * time.Hour)
	_, err = b.Collect(t.Context())
	is.True(isDamage(err))
	_, err = b.Propose(t.Context(), restore("stale", 1, 1))
	is.True(errors.Is(err, ErrHeadChanged))
	is.Equal(b.emul.Revision(), revision)
}

// TestConcurrentRepairs guards against two concurrent repairs that both replace the damaged head.
func TestConcurrentRepairs(t *testing.T) {
	for name, damage := range map[string]func(*testing.T, *bench){
		"chunk removed": func(t *testing.T, b *bench) { b.mustRemove(t, b.chunkOf(t, 3)) },
		"head removed":  func(t *testing.T, b *bench) { b.mustRemove(t, HeadKey) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := threeVersions(t)
				damage(t, b)
				plan, err := newBenchOn(t, b.emul).PlanRestore(t.Context(), 0, 0)
				is.NoErr(err)
				errs := make(chan error)
				for _, id := range []string{"x", "y"} {
					go func() {
						_, err := newBenchOn(t, b.emul).Propose(t.Context(), restore(id, 0, plan.Base))
						errs <- err
					}()
				}
				err1, err2 := <-errs, <-errs
				t.Logf("errors of the two repairs: %v; %v", err1, err2)
				is.True((err1 == nil) != (err2 == nil))
				is.True(errors.Is(errors.Join(err1, err2), ErrHeadIntact)) // the loser finds the head repaired
				is.Equal(b.head(t).Version, plan.Version)
			})
		})
	}
}

// TestRepairDuringExamination guards against a repaired head that is taken for damaged, with a Version that nobody accepted,
// because another operator repairs it between the read of the head and that of the history.
func TestRepairDuringExamination(t *testing.T) {
	for name, damage := range map[string]func(*testing.T, *bench){
		"chunk removed":               func(t *testing.T, b *bench) { b.mustRemove(t, b.chunkOf(t, 3)) },
		"chunk truncated":             func(t *testing.T, b *bench) { b.truncate(t, b.chunkOf(t, 3)) },
		"head truncated":              func(t *testing.T, b *bench) { b.truncate(t, HeadKey) },
		"head removed":                func(t *testing.T, b *bench) { b.mustRemove(t, HeadKey) },
		"head states a lower version": func(t *testing.T, b *bench) { b.setVersion(t, "3", "2") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				second, plan := repairedBeforeHistory(t, damage)
				head, err := second.Examine(t.Context(), 0)
				is.NoErr(err)
				is.NoErr(head.Damage)
				is.Equal(head.Floor, plan.Version)

				second, plan = repairedBeforeHistory(t, damage)
				_, err = second.Propose(t.Context(), restore("loser", 0, plan.Base))
				is.True(errors.Is(err, ErrHeadIntact))
				is.Equal(second.head(t).Version, plan.Version)
			})
		})
	}
}

// repairedBeforeHistory returns an Acceptor on a store with a damaged head. Once the Acceptor reads the
// history, another one repairs the head as in the plan.
func repairedBeforeHistory(t *testing.T, damage func(*testing.T, *bench)) (*bench, Plan) {
	t.Helper()
	b := threeVersions(t)
	damage(t, b)
	b = newBenchOn(t, b.emul) // with empty caches
	plan, err := b.PlanRestore(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	d := b.emul.Driver()
	list, repaired := d.List, false
	d.List = func(ctx context.Context, prefix string) ([]store.Value, error) {
		if !repaired {
			repaired = true
			newBenchOn(t, b.emul).mustPropose(t, restore("winner", 0, plan.Base))
		}
		return list(ctx, prefix)
	}
	b.Store = store.New(store.Deps{
		Driver: d, Config: b.Store.Config, Stats: b.stats, Log: b.Log, Rand: b.Rand,
	}).As(store.RoleOperator)
	return b, plan
}

// TestRepairWithoutIntactVersion guards against a repair that writes a head although no Version in the
// store is intact.
func TestRepairWithoutIntactVersion(t *testing.T) {
	is := is.New(t)
	b := threeVersions(t)
	for _, key := range b.emul.Keys(chunkPrefix) {
		b.truncate(t, key)
	}
	b = newBenchOn(t, b.emul)
	revision := b.emul.Revision()
	_, err := b.Propose(t.Context(), restore("x", 0, 3))
	is.True(errors.Is(err, ErrNotRestorable))
	_, err = b.Propose(t.Context(), restore("x", 1, 3))
	is.True(errors.Is(err, ErrNotRestorable))
	is.True(strings.Contains(err.Error(), "can be restored: none"))
	is.Equal(b.emul.Revision(), revision)
}

// TestRepairWithoutStoreIsUnavailable guards against a store outage that is reported as damage of the
// head.
func TestRepairWithoutStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := threeVersions(t)
		b.emul.SetOutage(emul.Rejecting)
		_, err := b.Propose(t.Context(), restore("x", 0, 3))
		is.True(errors.Is(err, store.ErrUnavailable))
		_, err = b.Examine(t.Context(), 0)
		is.True(errors.Is(err, store.ErrUnavailable))
	})
}

// TestOutageDuringSearchIsUnavailable guards against chunks that cannot be read for the moment being
// treated as damaged, so that a Version older than the newest intact one is restored.
func TestOutageDuringSearchIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := threeVersions(t)
		unreadable := b.chunkOf(t, 3)
		b.mustRemove(t, HeadKey)
		d := b.emul.Driver()
		get := d.Get
		d.Get = func(ctx context.Context, key string) (store.Value, error) {
			if key == unreadable {
				return store.Value{}, store.ErrUnavailable
			}
			return get(ctx, key)
		}
		b.Store = store.New(store.Deps{
			Driver: d, Config: b.Store.Config, Stats: b.stats, Log: b.Log, Rand: b.Rand,
		}).As(store.RoleOperator)
		_, err := b.Propose(t.Context(), restore("x", 0, 4))
		is.True(errors.Is(err, store.ErrUnavailable))
		_, err = b.Propose(t.Context(), restore("x", 3, 4))
		is.True(errors.Is(err, store.ErrUnavailable))
	})
}

// TestHistoryReportsDamage guards against a damaged or missing Version that the history shows as
// intact, or that hides earlier Versions.
func TestHistoryReportsDamage(t *testing.T) {
	is := is.New(t)
	b := threeVersions(t)
	b.mustPropose(t, correction("fourth", 0, capRow("b", 8)))
	b.mustPropose(t, correction("fifth", 0, capRow("b", 9)))
	b.mustRemove(t, b.chunkOf(t, 1))
	b.truncate(t, b.chunkOf(t, 2))
	b.truncate(t, historyKey(3))
	b.mustRemove(t, historyKey(4))
	b = newBenchOn(t, b.emul)
	head, err := b.Examine(t.Context(), 0)
	is.NoErr(err)
	entries, err := b.History(t.Context(), head, 20)
	is.NoErr(err)
	var got []string
	for _, e := range entries {
		got = append(got, fmt.Sprint(e.Version, " ", e.Rows))
		is.Equal(e.Damage != "", e.Rows == RowsDamaged)
	}
	is.Equal(got, []string{"5 kept", "3 damaged", "2 damaged", "1 missing"})
}

// TestNewestRecordIsFound guards against a search that stops below the newest record, so that a repair
// would reuse a Version that daemons have already served.
func TestNewestRecordIsFound(t *testing.T) {
	for _, top := range []ident.Version{1, 99, 100, 101, 199, 200, 699, 700, 701, 1600, 3105} {
		is := is.New(t)
		b := newBench(t)
		d := b.emul.Driver()
		for v := ident.Version(1); v <= top; v++ {
			if _, err := d.Swap(t.Context(), historyKey(v), 0, []byte("{"), 0); err != nil {
				t.Fatal(err)
			}
		}
		got, err := b.newestRecorded(t.Context(), 0)
		is.NoErr(err)
		is.Equal(got, top)
	}
}
