package table

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

func testSpec(routes ...Route) Spec {
	return Spec{Version: 3, Services: []Service{{ID: "a"}, {ID: "b"}}, Routes: routes}
}

func testRoute(id ident.RouteID, host, prefix string) Route {
	return Route{ID: id, Host: host, Prefix: prefix, Timeout: time.Second, Parts: []WeightedService{{Service: "a", Weight: 1}}}
}

func ExampleTable_Find() {
	t, err := New(testSpec(testRoute("all", "shop.example", "/"), testRoute("books", "shop.example", "/books/")))
	if err != nil {
		fmt.Println(err)
	}
	c, ok := t.Find("Shop.example:80", "/books/7")
	fmt.Println(c.ID, ok)
	// Output: books true
}

// TestFind guards against requests that match the route of another prefix or host.
func TestFind(t *testing.T) {
	is := is.New(t)
	tb, err := New(testSpec(testRoute("r", "h.example", "/"), testRoute("x", "h.example", "/x/"), testRoute("xy", "h.example", "/x/y/"), testRoute("o", "o.example", "/x/")))
	is.NoErr(err)
	tests := map[string]struct {
		host, path string
		want       ident.RouteID
	}{
		"longest prefix":            {"h.example", "/x/y/z", "xy"},
		"shorter prefix":            {"h.example", "/x/q", "x"},
		"prefix without its slash":  {"h.example", "/x", "r"},
		"longer segment":            {"h.example", "/xx/", "r"},
		"other host":                {"o.example", "/x/1", "o"},
		"host in other case":        {"H.EXAMPLE", "/x/1", "x"},
		"host with port":            {"h.example:8080", "/x/1", "x"},
		"unknown host":              {"q.example", "/x/1", ""},
		"other host, other path":    {"o.example", "/y/", ""},
		"escaped slash is no slash": {"h.example", "/x%2Fy/", "r"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := tb.Find(tt.host, tt.path)
			is.Equal(ok, tt.want != "")
			if ok {
				is.Equal(c.ID, tt.want)
			}
		})
	}
}

// TestNewReportsEveryError guards against an invalid configuration of which a part comes into force.
func TestNewReportsEveryError(t *testing.T) {
	tests := map[string]struct {
		spec Spec
		want []string
	}{
		"no version":      {Spec{}, []string{"no version"}},
		"unknown service": {testSpec(Route{ID: "r", Host: "h", Prefix: "/", Timeout: 1, Parts: []WeightedService{{Service: "z", Weight: 1}}}), []string{"route r", "service z is unknown"}},
		"bare prefix":     {testSpec(testRoute("r", "h", "/x")), []string{"slash"}},
		"no timeout":      {testSpec(Route{ID: "r", Host: "h", Prefix: "/", Parts: []WeightedService{{Service: "a", Weight: 1}}}), []string{"timeout"}},
		"no weight":       {testSpec(Route{ID: "r", Host: "h", Prefix: "/", Timeout: 1, Parts: []WeightedService{{Service: "a"}, {Service: "b"}}}), []string{"sum 0"}},
		"no service":      {testSpec(Route{ID: "r", Host: "h", Prefix: "/", Timeout: 1}), []string{"no service"}},
		"same match":      {testSpec(testRoute("r", "h", "/x/"), testRoute("s", "H", "/x/")), []string{"route s", "those of route r"}},
		"two faults":      {testSpec(testRoute("r", "", "x")), []string{"no host", "slash"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(tt.spec)
			is.True(err != nil)
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q does not say %q", err, w)
				}
			}
		})
	}
}

// TestSplitKeepsItsShares guards against splits whose shares differ from their weights in short runs of
// requests.
func TestSplitKeepsItsShares(t *testing.T) {
	is := is.New(t)
	c := newWeightedRoute(&Route{Parts: []WeightedService{{Service: "a", Weight: 25}, {Service: "b", Weight: 75}}})
	got := map[ident.ServiceID]int{}
	for range 100 {
		got[c.Next()]++
	}
	is.Equal(got, map[ident.ServiceID]int{"a": 25, "b": 75})
}
