package table

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"unicode"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Account is a client account. Errors and logs name its ID, never its keys.
type Account struct {
	ID       ident.AccountID
	Keys     []string
	Priority int     // zero is the highest; it goes before the priority of the route
	Rate     float64 // calls per second over all daemons; zero: not limited
	Burst    float64 // calls beyond Rate that may come at once
}

// Limited reports whether the account has a rate limit.
func (a *Account) Limited() bool { return a.Rate > 0 }

func (a *Account) validate() error {
	var errs []error
	add := func(bad bool, text string) {
		if bad {
			errs = append(errs, errors.New(text))
		}
	}
	add(!isRate(a.Rate), "rate is negative or not finite")
	add(!isRate(a.Burst), "burst is negative or not finite")
	add(strings.ContainsFunc(string(a.ID), unicode.IsControl), "name has a control character")
	for _, k := range a.Keys {
		add(k == "", "a key is empty")
	}
	return errors.Join(errs...)
}

func isRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// accountIndex finds accounts by key and by ID.
type accountIndex struct {
	byKey map[string]*Account
	byID  map[ident.AccountID]*Account
}

// newAccountIndex indexes list. The errors list each invalid account, and accounts that share an ID or a key.
func newAccountIndex(list []Account) (accountIndex, []error) {
	x := accountIndex{byKey: map[string]*Account{}, byID: make(map[ident.AccountID]*Account, len(list))}
	var errs []error
	for i := range list {
		a := &list[i]
		if a.ID == "" {
			errs = append(errs, errors.New("an account has no name"))
			continue
		}
		if err := a.validate(); err != nil {
			errs = append(errs, fmt.Errorf("account %q: %w", a.ID, err))
		}
		if x.byID[a.ID] != nil {
			errs = append(errs, fmt.Errorf("account %q is listed twice", a.ID))
			continue
		}
		x.byID[a.ID] = a
		for _, k := range a.Keys {
			if other := x.byKey[k]; other != nil && other != a {
				errs = append(errs, fmt.Errorf("accounts %q and %q have the same key", other.ID, a.ID))
				continue
			}
			x.byKey[k] = a
		}
	}
	return x, errs
}

// HasAccounts reports whether the configuration lists an account; false for a nil Table. Whether calls need a key is
// RequiresKey.
func (t *Table) HasAccounts() bool { return t != nil && len(t.spec.Accounts) > 0 }

// RequiresKey reports whether calls need the key of an account, except on public routes; false for a nil Table. A
// configuration that requires keys and lists no account admits no other calls.
func (t *Table) RequiresKey() bool { return t.HasAccounts() || (t != nil && t.spec.KeyRequired) }

// Account returns the account that has key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accounts.byKey[key]
	return a, ok
}

// AccountByID returns the account with id; not found for a nil Table.
func (t *Table) AccountByID(id ident.AccountID) (*Account, bool) {
	if t == nil {
		return nil, false
	}
	a, ok := t.accounts.byID[id]
	return a, ok
}

// Accounts returns all accounts. They must not be modified.
func (t *Table) Accounts() []Account {
	if t == nil {
		return nil
	}
	return t.spec.Accounts
}

// maxPriority is the lowest priority of an account or a route that Rank tells from the others.
const maxPriority = 999

// Rank combines the priorities of an account and a route into one, zero being the highest. That of the account goes
// first; without an account (nil) it is zero. In a configuration that requires no keys the rank is the priority of the
// route. One whose list of accounts is empty ranks as with accounts, as queues may still hold calls of accounts.
func (t *Table) Rank(a *Account, r *Route) int {
	if !t.RequiresKey() {
		return r.Priority
	}
	rank := clipPriority(r.Priority)
	if a != nil {
		rank += clipPriority(a.Priority) * (maxPriority + 1)
	}
	return rank
}

func clipPriority(p int) int { return max(0, min(maxPriority, p)) }
