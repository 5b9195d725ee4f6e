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

func topologyObjects() []Object {
	o := []Object{objectOf(ObjectRegion, "a", Region{}), objectOf(ObjectService, "s", Service{})}
	for i := range 9 {
		o = append(o, objectOf(ObjectFailureDomain, fmt.Sprintf("d-%d", i), FailureDomain{Region: "a"}))
	}
	return o
}

// snapshot holds the exported contents of a catalogue, for comparison.
type snapshot struct {
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

func snapshotOf(c *Catalogue) snapshot {
	return snapshot{
		c.Version, c.Owners, c.Regions, c.Domains, c.Services, c.Classes, c.Caps, c.Policies, c.Drains, c.Routing,
		maps.Collect(c.Targets.All()),
	}
}

// randomChange returns a random put or removal.
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

// A catalogue built by deltas equals one built from all objects, earlier catalogues do
// not change, and ChangedTargets lists every target that differs.
func TestDeltasEqualAFullBuild(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			objects := map[string]Object{}
			for _, o := range topologyObjects() {
				objects[o.Key()] = o
			}
			c, err := NewCatalogue(1, slices.Collect(maps.Values(objects)))
			assert.NilError(t, err)
			earlier := []*Catalogue{c}
			snapshots := []snapshot{snapshotOf(c)}
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
					// Replicas report an object once per change.
					put = slices.DeleteFunc(put, func(o Object) bool {
						return slices.ContainsFunc(p, func(n Object) bool { return n.Key() == o.Key() }) || slices.Contains(x, o.Key())
					})
					removed = slices.DeleteFunc(removed, func(k string) bool { return slices.ContainsFunc(p, func(n Object) bool { return n.Key() == k }) })
					put, removed = append(put, p...), append(removed, x...)
				}
				next, err := c.With(v, put, removed)
				assert.NilError(t, err)
				rebuilt, err := NewCatalogue(v, slices.Collect(maps.Values(objects)))
				assert.NilError(t, err)
				assert.DeepEqual(t, snapshotOf(next), snapshotOf(rebuilt))
				c = next
				earlier, snapshots = append(earlier, c), append(snapshots, snapshotOf(c))
			}
			for i, p := range earlier {
				assert.DeepEqual(t, snapshotOf(p), snapshots[i])
				checkChangedTargets(t, p, c)
			}
			_, ok := c.ChangedTargets(0)
			assert.Assert(t, !ok, "ChangedTargets accepts a version that did not exist")
		})
	}
}

// checkChangedTargets checks that the later catalogue lists each target that differs.
func checkChangedTargets(t *testing.T, earlier, later *Catalogue) {
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
		_, existed := a[id]
		assert.Assert(t, existed || slices.Contains(ids, id), "%s is new", id)
	}
}

// With rejects an invalid change and leaves the catalogue unchanged.
func TestInvalidDelta(t *testing.T) {
	c, err := NewCatalogue(1, topologyObjects())
	assert.NilError(t, err)
	tests := []struct {
		name    string
		put     Object
		removed string
	}{
		{"malformed spec", Object{Kind: ObjectTarget, Name: "t", Owner: "o", Spec: []byte("{")}, ""},
		{"missing owner", Object{Kind: ObjectTarget, Name: "t", Spec: []byte("{}")}, ""},
		{"failure domain in an unknown region", objectOf(ObjectFailureDomain, "x", FailureDomain{Region: "none"}), ""},
		{"removal of a region in use", targetObject(1, TargetReady), "region/a"},
		{"unknown kind", objectOf("moon", "m", Region{}), ""},
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

func catalogueWithTargets(tb testing.TB, targets, routes int) *Catalogue {
	tb.Helper()
	o := append(topologyObjects(), routingObject(1, routes))
	for i := range targets {
		o = append(o, targetObject(i, TargetReady))
	}
	c, err := NewCatalogue(1, o)
	assert.NilError(tb, err)
	return c
}

func changeTarget(tb testing.TB, c *Catalogue, i int) *Catalogue {
	n, err := c.With(c.Version+1, []Object{targetObject(i%c.Targets.Len(), TargetDraining)}, nil)
	assert.NilError(tb, err)
	return n
}

// Load pattern: targets change one at a time in a catalogue with many other targets and
// a routing with many routes. The cost of one change must not grow with the size of the
// catalogue. The test measures allocated bytes; BenchmarkTargetChange measures time.
func TestChangeCostIndependentOfCatalogueSize(t *testing.T) {
	const (
		rounds    = 500
		routes    = 1700
		maxFactor = 2.0
	)
	cost := func(targets, routes int) float64 {
		c := catalogueWithTargets(t, targets, routes)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range rounds {
			c = changeTarget(t, c, i)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / rounds
	}
	base := cost(28, 3)
	for _, n := range []int{224, 807, 8000} {
		large := cost(n, routes)
		assert.Assert(t, large/base < maxFactor, "%.0f bytes with 28 targets, %.0f with %d", base, large, n)
	}
}

func BenchmarkTargetChange(b *testing.B) {
	for _, n := range []int{28, 224, 807, 8000} {
		for _, routes := range []int{3, 1700} {
			b.Run(fmt.Sprintf("targets=%d/routes=%d", n, routes), func(b *testing.B) {
				c := catalogueWithTargets(b, n, routes)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					c = changeTarget(b, c, i)
				}
			})
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, routes := range []int{3, 1700} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			c := catalogueWithTargets(b, 1, routes)
			path := "/p1/" + strings.Repeat("x/", 3)
			for b.Loop() {
				if _, ok := c.Match("h.example", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

// A committed object that is not valid is left out, and all others take effect, whether the
// catalogue is built anew or by deltas. Refusing the whole catalogue would keep every later
// change from taking effect.
func TestInvalidCommittedObjectLeftOut(t *testing.T) {
	valid := append(topologyObjects(), routingObject(1, 2), targetObject(1, TargetReady), workspaceObject("w", 1, "k"))
	tests := []struct {
		name string
		bad  Object
		// want lists the keys that are left out, which are those of the object and of the
		// objects that refer to it.
		want []string
	}{
		{"name", targetNamed("10.0.0.1:9100"), []string{"target/10.0.0.1:9100"}},
		{"spec of a target", Object{Kind: ObjectTarget, Name: "i-1", Owner: "o", Spec: []byte("{")}, []string{"target/i-1"}},
		{"owner of a target", Object{Kind: ObjectTarget, Name: "x", Spec: []byte("{}")}, []string{"target/x"}},
		{"field of a later build", Object{Kind: ObjectTarget, Name: "x", Owner: "o", Spec: []byte(`{"later":1}`)}, []string{"target/x"}},
		{"kind of a later build", objectOf("moon", "m", Region{}), []string{"moon/m"}},
		{"drain of an unknown failure domain", objectOf(ObjectDrain, "x", Drain{FailureDomain: "x"}), []string{"drain/x"}},
		{"workspace", Object{Kind: ObjectWorkspace, Name: "v", Owner: "o", Spec: []byte(`{"later":1}`)}, []string{"workspace/v"}},
		{"key of another workspace", workspaceObject("v", 1, "k"), []string{"workspace/v"}},
		{"routing", Object{Kind: ObjectRouting, Name: "other", Owner: "o", Spec: []byte("{}")}, []string{"routing/other"}},
		{
			"region with failure domains", Object{Kind: ObjectRegion, Name: "a", Owner: "o", Spec: []byte("7")},
			[]string{"region/a", "failureDomain/d-0", "failureDomain/d-1", "failureDomain/d-2", "failureDomain/d-3", "failureDomain/d-4", "failureDomain/d-5", "failureDomain/d-6", "failureDomain/d-7", "failureDomain/d-8"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rest := slices.DeleteFunc(slices.Clone(valid), func(o Object) bool { return o.Key() == tt.bad.Key() })
			before := Build(1, valid)
			assert.Equal(t, len(before.Invalid), 0)
			built := Build(2, append(rest, tt.bad))
			changed := before.Apply(2, []Object{tt.bad}, nil)
			for how, c := range map[string]*Catalogue{"built": built, "changed": changed} {
				var keys []string
				for _, x := range c.Invalid {
					keys = append(keys, x.Key())
				}
				assert.DeepEqual(t, keys, tt.want)
				assert.Equal(t, len(c.NewlyInvalid(before)), len(tt.want), how)
				later := c.Apply(3, []Object{routingObject(2, 3), targetObject(2, TargetDraining)}, nil)
				assert.Equal(t, later.Routing.Revision, Revision(2), how)
				x, ok := later.Targets.Get("i-2")
				assert.Assert(t, ok && x.State == TargetDraining, how)
				w, ok := later.Workspaces.Of(DigestOf("k"))
				assert.Assert(t, ok && w.Name == "w", how)
				assert.Equal(t, len(later.NewlyInvalid(c)), 0, "%s: logged again", how)
				mended := later.Apply(4, append(rest[:0:0], valid...), []string{tt.bad.Key()}).Apply(5, valid, nil)
				assert.Equal(t, len(mended.Invalid), 0, how)
				assert.DeepEqual(t, snapshotOf(mended), snapshotOf(Build(5, append(slices.Clone(valid), targetObject(2, TargetDraining)))))
			}
			_, err := NewCatalogue(1, append(rest, tt.bad))
			assert.ErrorContains(t, err, tt.want[0])
		})
	}
}

func targetNamed(name string) Object {
	o := targetObject(1, TargetReady)
	o.Name = name
	return o
}
