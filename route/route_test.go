package route

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that goes to another route than the longest prefix
// of its path, or to a route of another host.
func TestMatch(t *testing.T) {
	table := NewTable(1, []*Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "shop", Host: "A.example", Prefix: "/shop/"},
		{Name: "cart", Host: "a.example", Prefix: "/shop/cart/"},
		{Name: "other", Host: "b.example", Prefix: "/only/"},
	}, nil, Limits{})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/shop/cart/x", "cart"},
		{"a.example:8080", "/shop/carts/x", "shop"},
		{"a.EXAMPLE", "/shop", "root"},
		{"a.example", "/shop%2Fcart/", "root"},
		{"b.example", "/only/x", "other"},
		{"b.example", "/shop/x", ""},
		{"c.example", "/", ""},
	} {
		r, ok := table.Match(test.host, test.path)
		name := ""
		if ok {
			name = r.Name
		}
		qt.Check(t, name, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

// Guards against requests that are not distributed by weight.
func TestTarget(t *testing.T) {
	c := qt.New(t)
	r := &Route{Targets: []Target{{"a", 3}, {"b", 0}, {"c", 1}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Target(float64(i)/1000)]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"a": 750, "c": 250})
	c.Assert((&Route{}).Target(0.5), qt.Equals, "")
}

// Guards against an answer below the minimum coverage because of rounding.
func TestMinShards(t *testing.T) {
	shards := make([]string, 20)
	for _, test := range []struct {
		coverage float64
		want     int
	}{{0.89, 18}, {0.75, 15}, {0.9, 18}, {1, 20}, {0, 1}, {0.05, 1}, {0.051, 2}} {
		r := &Route{Shards: shards, MinCoverage: test.coverage}
		qt.Check(t, r.MinShards(), qt.Equals, test.want, qt.Commentf("%v", test.coverage))
	}
}
