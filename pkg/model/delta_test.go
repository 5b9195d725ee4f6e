package model

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func objectOf(k ObjectKind, name string, spec any) Object {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return Object{Kind: k, Name: name, Owner: "o", Spec: b}
}

func targetObject(i int, state TargetState) Object {
	return objectOf(ObjectTarget, fmt.Sprintf("i-%d", i), Target{
		Service: "s", FailureDomain: FailureDomainID(fmt.Sprintf("d-%d", i%9)), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
		Slots: 3, State: state, Incarnation: uint64(i),
	})
}

func routingObject(revision, routes int) Object {
	h := VirtualHost{Host: "H.example"}
	for i := range routes {
		h.Routes = append(h.Routes, Route{
			Name: RouteID(fmt.Sprintf("r-%d", i)), Prefix: fmt.Sprintf("/p%d/", i), Delivery: Idempotent, MaxAttempts: 2,
			ObjectiveMillis: 400, TimeoutMillis: 2000, Split: []SplitPart{{"s", 1}},
		})
	}
	return objectOf(ObjectRouting, RoutingName, Routing{
		Revision: Revision(revision), Hosts: []VirtualHost{h}, Services: []RoutedService{{Name: "s"}},
	})
}

func placeObjects() []Object {
	o := []Object{objectOf(ObjectRegion, "a", Region{}), objectOf(ObjectService, "s", Service{})}
	for i := range 9 {
		o = append(o, objectOf(ObjectFailureDomain, fmt.Sprintf("d-%d", i), FailureDomain{Region: "a"}))
	}
	return o
}

// facts is all that a catalogue says.
type facts struct {
	Version  Version
	Owners   map[OwnerID]Owner
	Regions  map[RegionID]Region
	Domains  map[FailureDomainID]FailureDomain
	Services map[ServiceID]Service
	Classes  map[ServiceID]map[ClassID]Class
	Caps     []ShiftCap
	Policies []Policy
	Drains   []Drain
	Routing  *Routing
	Targets  map[TargetID]Target
}

func factsOf(c *Catalogue) facts {
	return facts{
		c.Version, c.Owners, c.Regions, c.Domains, c.Services, c.Classes, c.Caps, c.Policies, c.Drains, c.Routing,
		maps.Collect(c.Targets.All()),
	}
}

// randomChange returns a put or a removal, by chance.
func randomChange(r *rand.Rand) (put []Object, removed []string) {
	states := []TargetState{TargetReady, TargetDraining, TargetGone}
	switch n := r.IntN(20); {
	case n == 0:
		return []Object{routingObject(r.IntN(100), 1+r.IntN(5))}, nil
	case n == 1:
		d := fmt.Sprintf("d-%d", r.IntN(9))
		return []Object{objectOf(ObjectDrain, d, Drain{FailureDomain: FailureDomainID(d)})}, nil
	case n == 2:
		return nil, []string{fmt.Sprintf("drain/d-%d", r.IntN(9))}
	case n == 3:
		return []Object{objectOf(ObjectPolicy, fmt.Sprintf("p-%d", r.IntN(5)), Policy{Service: "s", Algorithm: Nearest, Weight: r.IntN(5)})}, nil
	case n == 4:
		return []Object{objectOf(ObjectDocument, RoutingName, "text")}, nil
	case n < 8:
		return nil, []string{fmt.Sprintf("target/i-%d", r.IntN(50))}
	}
	return []Object{targetObject(r.IntN(50), states[r.IntN(len(states))])}, nil
}

// A catalogue that follows from deltas says the same as one that is built whole,
// earlier ones stay as they were, and the targets that differ are named.
func TestDeltasEqualAFullBuild(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			objects := map[string]Object{}
			for _, o := range placeObjects() {
				objects[o.Key()] = o
			}
			c, err := NewCatalogue(1, slices.Collect(maps.Values(objects)))
			assert.NilError(t, err)
			past := []*Catalogue{c}
			was := []facts{factsOf(c)}
			for v := Version(2); v < 150; v += Version(1 + r.IntN(3)) {
				var put []Object
				var removed []string
				for range 1 + r.IntN(4) {
					p, x := randomChange(r)
					for _, o := range p {
						objects[o.Key()] = o
					}
					for _, k := range x {
						delete(objects, k)
					}
					// As a replica tells it, an object is named once.
					put = slices.DeleteFunc(put, func(o Object) bool {
						return slices.ContainsFunc(p, func(n Object) bool { return n.Key() == o.Key() }) || slices.Contains(x, o.Key())
					})
					removed = slices.DeleteFunc(removed, func(k string) bool { return slices.ContainsFunc(p, func(n Object) bool { return n.Key() == k }) })
					put, removed = append(put, p...), append(removed, x...)
				}
				next, err := c.With(v, put, removed)
				assert.NilError(t, err)
				whole, err := NewCatalogue(v, slices.Collect(maps.Values(objects)))
				assert.NilError(t, err)
				assert.DeepEqual(t, factsOf(next), factsOf(whole))
				c = next
				past, was = append(past, c), append(was, factsOf(c))
			}
			for i, p := range past {
				assert.DeepEqual(t, factsOf(p), was[i])
				checkChanged(t, p, c)
			}
			_, ok := c.ChangedTargets(0)
			assert.Assert(t, !ok, "a version that never was is known")
		})
	}
}

// checkChanged checks that the later catalogue names each target that differs.
func checkChanged(t *testing.T, earlier, later *Catalogue) {
	t.Helper()
	ids, ok := later.ChangedTargets(earlier.Version)
	if !ok {
		return
	}
	assert.DeepEqual(t, earlier.Drains, later.Drains)
	a, b := maps.Collect(earlier.Targets.All()), maps.Collect(later.Targets.All())
	for id := range a {
		assert.Assert(t, a[id] == b[id] || slices.Contains(ids, id), "%s differs", id)
	}
	for id := range b {
		_, had := a[id]
		assert.Assert(t, had || slices.Contains(ids, id), "%s is new", id)
	}
}

// What does not fit is refused and leaves the catalogue as it was.
func TestBadDelta(t *testing.T) {
	c, err := NewCatalogue(1, placeObjects())
	assert.NilError(t, err)
	tests := []struct {
		name    string
		put     Object
		removed string
	}{
		{"a spec that does not decode", Object{Kind: ObjectTarget, Name: "t", Owner: "o", Spec: []byte("{")}, ""},
		{"no owner", Object{Kind: ObjectTarget, Name: "t", Spec: []byte("{}")}, ""},
		{"a domain of no region", objectOf(ObjectFailureDomain, "x", FailureDomain{Region: "none"}), ""},
		{"a region that is used", targetObject(1, TargetReady), "region/a"},
		{"a kind that does not exist", objectOf("moon", "m", Region{}), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := c.With(2, []Object{tt.put}, []string{tt.removed})
			assert.ErrorContains(t, err, "model.With")
			assert.Equal(t, c.Targets.Len(), 0)
			assert.Equal(t, len(c.Domains), 9)
		})
	}
}

func TestMatch(t *testing.T) {
	r := Routing{Services: []RoutedService{{Name: "s"}}}
	for host, prefixes := range map[string][]string{"a.example": {"/", "/x/", "/x/y/"}, "B.example": {"/x/"}} {
		h := VirtualHost{Host: host}
		for _, p := range prefixes {
			h.Routes = append(h.Routes, Route{
				Name: RouteID(host + p), Prefix: p, Delivery: Idempotent, MaxAttempts: 1, TimeoutMillis: 1, Split: []SplitPart{{"s", 1}},
			})
		}
		r.Hosts = append(r.Hosts, h)
	}
	c, err := NewCatalogue(1, []Object{objectOf(ObjectRouting, RoutingName, r)})
	assert.NilError(t, err)
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "a.example/"},
		{"A.Example", "/x/y/z", "a.example/x/y/"},
		{"a.example", "/x/y", "a.example/x/"},
		{"a.example", "/xy/z", "a.example/"},
		{"b.example", "/x/y/z", "B.example/x/"},
		{"b.example", "/z", ""},
		{"b.example", "", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		x, ok := c.Match(tt.host, tt.path)
		assert.Equal(t, ok, tt.want != "", "%s%s", tt.host, tt.path)
		assert.Equal(t, string(x.Name), tt.want, "%s%s", tt.host, tt.path)
	}
}

func manyTargets(tb testing.TB, targets, routes int) *Catalogue {
	tb.Helper()
	o := append(placeObjects(), routingObject(1, routes))
	for i := range targets {
		o = append(o, targetObject(i, TargetReady))
	}
	c, err := NewCatalogue(1, o)
	assert.NilError(tb, err)
	return c
}

func changeOne(tb testing.TB, c *Catalogue, i int) *Catalogue {
	n, err := c.With(c.Version+1, []Object{targetObject(i%c.Targets.Len(), TargetDraining)}, nil)
	assert.NilError(tb, err)
	return n
}

// Load pattern: targets announce news one after the other, beside many others and
// a routing of many routes. What one of them costs must not grow with the others;
// allocated bytes stand for the cost here, and BenchmarkOneChange shows times.
func TestOneChangeCostsTheSameBesideMany(t *testing.T) {
	const (
		rounds      = 500
		routes      = 1700
		factorBound = 2.0
	)
	cost := func(targets, routes int) float64 {
		c := manyTargets(t, targets, routes)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range rounds {
			c = changeOne(t, c, i)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / rounds
	}
	base := cost(28, 3)
	for _, n := range []int{224, 807, 8000} {
		large := cost(n, routes)
		assert.Assert(t, large/base < factorBound, "%.0f bytes beside 28 targets, %.0f beside %d", base, large, n)
	}
}

func BenchmarkOneChange(b *testing.B) {
	for _, n := range []int{28, 224, 807, 8000} {
		for _, routes := range []int{3, 1700} {
			b.Run(fmt.Sprintf("targets=%d/routes=%d", n, routes), func(b *testing.B) {
				c := manyTargets(b, n, routes)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					c = changeOne(b, c, i)
				}
			})
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, routes := range []int{3, 1700} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			c := manyTargets(b, 1, routes)
			path := "/p1/" + strings.Repeat("x/", 3)
			for b.Loop() {
				if _, ok := c.Match("h.example", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
