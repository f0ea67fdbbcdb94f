package mesh

import (
	"strings"
	"sync"
	"unicode"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// maxCountedAccounts limits the accounts that have counters of their own. With 30 each these take 4.5 MB, measured, of
	// the 32 MB that a daemon may have.
	maxCountedAccounts = 1024
	// otherAccounts precedes the counters that the remaining accounts share. It differs from accountPrefix, so that no
	// account has these names.
	otherAccounts = "OtherAccounts."
	accountPrefix = "Account."
)

// accountNames assigns to accounts what the names of their counters begin with. The first accounts have names of their
// own, the others share one. It is safe for concurrent use.
type accountNames struct {
	limit int

	mu    sync.RWMutex
	names map[ident.AccountID]string
}

func newAccountNames(limit int) *accountNames {
	return &accountNames{limit: limit, names: map[ident.AccountID]string{}}
}

// prefix returns what the names of the counters of the account begin with.
func (a *accountNames) prefix(id ident.AccountID) string {
	a.mu.RLock()
	name, ok := a.names[id]
	full := len(a.names) >= a.limit
	a.mu.RUnlock()
	switch {
	case ok:
		return name
	case full:
		return otherAccounts
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if name, ok := a.names[id]; ok {
		return name
	}
	if len(a.names) >= a.limit {
		return otherAccounts
	}
	name = accountPrefix + metricName(string(id)) + "."
	a.names[id] = name
	return name
}

// metricName returns s without blanks, which separate names from values where metrics are read.
func metricName(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsSpace(r) {
			return '_'
		}
		return r
	}, s)
}

// countAccount increments a counter of the call's account, if it has one.
func (n *Node) countAccount(p *pendingCall, name string) {
	if p.account != nil {
		n.d.Stats.Inc(n.accounts.prefix(p.account.ID) + name)
	}
}
