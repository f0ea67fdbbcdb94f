package table

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

func accountsSpec(list ...Account) Spec {
	s := testSpec(testRoute("r", "h", "/"))
	s.Accounts = list
	return s
}

// TestAccountIndex guards against calls that are taken for those of another account, and against keys that are found
// although no account has them.
func TestAccountIndex(t *testing.T) {
	is := is.New(t)
	tb, err := New(accountsSpec(
		Account{ID: "large", Keys: []string{"k1", "k2"}, Rate: 100},
		Account{ID: "small", Keys: []string{"k3", "k3"}}, // its own key twice is no fault
		Account{ID: "none"},
	))
	is.NoErr(err)
	is.True(tb.HasAccounts())
	is.Equal(len(tb.Accounts()), 3)
	for key, want := range map[string]ident.AccountID{
		"k1": "large", "k2": "large", "k3": "small", "": "", "K1": "", "k1\t": "", "k": "", "large": "", "none": "",
	} {
		a, ok := tb.Account(key)
		is.Equal(ok, want != "")
		if ok {
			is.Equal(a.ID, want)
		}
	}
	a, ok := tb.AccountByID("large")
	is.True(ok)
	is.True(a.Limited())
	a, ok = tb.AccountByID("none")
	is.True(ok)
	is.True(!a.Limited())
	_, ok = tb.AccountByID("k1")
	is.True(!ok)

	without, err := New(accountsSpec())
	is.NoErr(err)
	for _, tb := range []*Table{without, nil} {
		is.True(!tb.HasAccounts())
		is.Equal(len(tb.Accounts()), 0)
		_, ok = tb.AccountByID("large")
		is.True(!ok)
	}
}

// TestRequiresKey guards against a configuration that is open to everybody since its list of accounts is empty.
func TestRequiresKey(t *testing.T) {
	for name, tt := range map[string]struct {
		spec                  Spec
		requires, hasAccounts bool
	}{
		"no list":                 {testSpec(testRoute("r", "h", "/")), false, false},
		"empty list":              {Spec{Version: 1, KeyRequired: true}, true, false},
		"account without keys":    {Spec{Version: 1, KeyRequired: true, Accounts: []Account{{ID: "a"}}}, true, true},
		"accounts, not stated so": {accountsSpec(Account{ID: "a", Keys: []string{"k"}}), true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, err := New(tt.spec)
			is.NoErr(err)
			is.Equal(tb.RequiresKey(), tt.requires)
			is.Equal(tb.HasAccounts(), tt.hasAccounts)
			want := 5000 // the priority of the route alone
			if tt.requires {
				want = maxPriority
			}
			is.Equal(tb.Rank(nil, &Route{Priority: 5000}), want)
		})
	}
	is.New(t).True(!(*Table)(nil).RequiresKey())
}

// TestInvalidAccounts guards against configurations in which a key or a name does not tell whose call it is, or a rate
// does not limit, and against errors that contain a key: they are logged.
func TestInvalidAccounts(t *testing.T) {
	const secret = "sk-8d1f"
	keys := []string{secret}
	tests := map[string]struct {
		list []Account
		want []string
	}{
		"key of two accounts":          {[]Account{{ID: "a", Keys: keys}, {ID: "b", Keys: keys}}, []string{`"a"`, `"b"`, "same key"}},
		"one of several keys":          {[]Account{{ID: "a", Keys: []string{"x", secret}}, {ID: "b", Keys: []string{secret, "y"}}}, []string{"same key"}},
		"name twice":                   {[]Account{{ID: "a", Keys: keys}, {ID: "a", Keys: []string{"x"}}}, []string{`"a"`, "twice"}},
		"name twice with the same key": {[]Account{{ID: "a", Keys: keys}, {ID: "a", Keys: keys}}, []string{`"a"`, "twice"}},
		"no name":                      {[]Account{{Keys: keys}}, []string{"no name"}},
		"empty key":                    {[]Account{{ID: "a", Keys: []string{secret, ""}}}, []string{`"a"`, "key is empty"}},
		"negative rate":                {[]Account{{ID: "a", Keys: keys, Rate: -1}}, []string{`"a"`, "rate is negative"}},
		"no number as rate":            {[]Account{{ID: "a", Keys: keys, Rate: math.NaN()}}, []string{`"a"`, "rate", "not finite"}},
		"infinite rate":                {[]Account{{ID: "a", Keys: keys, Rate: math.Inf(1)}}, []string{`"a"`, "rate", "not finite"}},
		"negative burst":               {[]Account{{ID: "a", Keys: keys, Burst: -1}}, []string{`"a"`, "burst is negative"}},
		"infinite burst":               {[]Account{{ID: "a", Keys: keys, Burst: math.Inf(1)}}, []string{`"a"`, "burst", "not finite"}},
		"name that ends a header line": {[]Account{{ID: "a\r\nX-Other: 1", Keys: keys}}, []string{"control character"}},
		"all faults":                   {[]Account{{ID: "a", Keys: keys, Rate: -1}, {ID: "b", Keys: keys, Burst: -1}}, []string{"rate", "burst", "same key"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(accountsSpec(tt.list...))
			is.True(err != nil)
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q does not say %q", err, w)
				}
			}
			if strings.Contains(err.Error(), secret) {
				t.Errorf("%q contains the key", err)
			}
			if strings.ContainsAny(err.Error(), "\r") {
				t.Errorf("%q contains a control character", err)
			}
		})
	}
}

// TestRank guards against an order in which the route goes before the account, against priorities that overflow into
// those of another account, and against ranks that change for configurations without accounts.
func TestRank(t *testing.T) {
	is := is.New(t)
	with, err := New(accountsSpec(Account{ID: "a", Keys: []string{"k"}}))
	is.NoErr(err)
	without, err := New(accountsSpec())
	is.NoErr(err)
	account := func(p int) *Account { return &Account{ID: "a", Priority: p} }
	tests := map[string]struct {
		table   *Table
		account *Account
		route   int
		want    int
	}{
		"both":                           {with, account(2), 3, 2003},
		"highest":                        {with, account(0), 0, 0},
		"account before route":           {with, account(1), 0, 1000},
		"route below the lowest":         {with, account(0), 5000, 999},
		"account below the lowest":       {with, account(5000), 5000, 999999},
		"negative":                       {with, account(-7), -7, 0},
		"no account":                     {with, nil, 3, 3},
		"no account, route below lowest": {with, nil, 5000, 999},
		"without accounts":               {without, nil, 3, 3},
		"without accounts, as it was":    {without, nil, 5000, 5000},
		"without accounts, negative":     {without, nil, -1, -1},
		"no table":                       {nil, nil, 4, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.table.Rank(tt.account, &Route{Priority: tt.route}), tt.want)
		})
	}
}
