package proxy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// manyTargets returns a catalogue of targets in two regions of one failure domain each.
func manyTargets(t testing.TB, n int) *model.Catalogue {
	o := []model.Object{
		object(t, model.ObjectRegion, "a", model.Region{}), object(t, model.ObjectRegion, "b", model.Region{}),
		object(t, model.ObjectFailureDomain, "a-1", model.FailureDomain{Region: "a"}),
		object(t, model.ObjectFailureDomain, "b-1", model.FailureDomain{Region: "b"}),
	}
	for i := range n {
		o = append(o, targetObject(t, i, 1, model.TargetReady))
	}
	c, err := model.NewCatalogue(1, o)
	assert.NilError(t, err)
	return c
}

func targetObject(t testing.TB, i, incarnation int, s model.TargetState) model.Object {
	return object(t, model.ObjectTarget, fmt.Sprintf("t%d", i), model.Target{
		Service: "s", FailureDomain: []model.FailureDomainID{"a-1", "b-1"}[i%2], Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i),
		Slots: 1 + i%3, State: s, Incarnation: uint64(incarnation),
	})
}

func newRegistry() *registry {
	t := &registry{}
	t.init(Options{}, func() time.Duration { return time.Second })
	return t
}

type listing struct {
	ids        []model.TargetID
	slots      map[model.RegionID]int
	total      int
	known      int
	incarnated map[model.TargetID]uint64
}

func listingOf(x *registry, c *model.Catalogue) listing {
	l := listing{slots: map[model.RegionID]int{}, incarnated: map[model.TargetID]uint64{}}
	x.read(c, "s", func(r *servicePool) {
		for i, t := range r.list {
			if t.poolIndex != i {
				panic("a target's pool index does not match its position")
			}
			l.ids = append(l.ids, t.id)
		}
		for region, n := range r.slots {
			if n != 0 {
				l.slots[region] = n
			}
		}
		l.total = r.total
	})
	slices.SortFunc(l.ids, cmp.Compare[model.TargetID])
	for id, t := range x.byID {
		l.incarnated[id] = t.record.Incarnation
	}
	l.known = len(x.byID)
	return l
}

// Applying changes one by one gives the same registry as building it from the whole catalogue.
func TestRegistryFollowsDeltas(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			c, follows := manyTargets(t, 12), newRegistry()
			states := []model.TargetState{model.TargetReady, model.TargetReady, model.TargetDraining, model.TargetGone}
			for range 300 {
				var put []model.Object
				var removed []string
				switch n := r.IntN(12); {
				case n == 0:
					put = append(put, object(t, model.ObjectDrain, "a-1", model.Drain{FailureDomain: "a-1"}))
				case n == 1:
					removed = append(removed, "drain/a-1")
				case n < 5:
					removed = append(removed, fmt.Sprintf("target/t%d", r.IntN(20)))
				default:
					put = append(put, targetObject(t, r.IntN(20), 1+r.IntN(3), states[r.IntN(len(states))]))
				}
				next, err := c.With(c.Version+1, put, removed)
				assert.NilError(t, err)
				c = next
				if r.IntN(3) == 0 {
					continue // Not every version gets a request.
				}
				got, want := listingOf(follows, c), listingOf(newRegistry(), c)
				assert.DeepEqual(t, got.ids, want.ids)
				assert.DeepEqual(t, got.slots, want.slots)
				assert.DeepEqual(t, got.incarnated, want.incarnated)
				assert.Equal(t, got.total, want.total)
				assert.Equal(t, got.known, want.known)
			}
		})
	}
}

// A target that remains keeps its state, whether or not a delta names it; a restarted target does
// not.
func TestRegistryKeepsTargetState(t *testing.T) {
	c, x := manyTargets(t, 4), newRegistry()
	x.update(c)
	for _, y := range x.byID {
		y.warm.Add(7)
	}
	next, err := c.With(2, []model.Object{targetObject(t, 0, 1, model.TargetDraining), targetObject(t, 1, 2, model.TargetReady)}, nil)
	assert.NilError(t, err)
	x.update(next)
	assert.Assert(t, x.byID["t0"].warm.IsWarm(7))
	assert.Assert(t, !x.byID["t1"].warm.IsWarm(7))
	assert.Assert(t, x.byID["t2"].warm.IsWarm(7))
	x.update(c)
	assert.Equal(t, x.version, model.Version(2), "an older catalogue must be ignored")
}

// Load pattern: targets announce changes one after another while requests arrive.
func BenchmarkRegistryOneChange(b *testing.B) {
	for _, n := range []int{28, 224, 807, 8000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, x := manyTargets(b, n), newRegistry()
			x.update(c)
			states := []model.TargetState{model.TargetReady, model.TargetDraining}
			for i := 0; b.Loop(); i++ {
				next, err := c.With(c.Version+1, []model.Object{targetObject(b, i%n, 1, states[i/n%2])}, nil)
				if err != nil {
					b.Fatal(err)
				}
				c = next
				x.update(c)
			}
		})
	}
}

// A target becomes cold again, and the VM reads a catalogue in which a record in between is passed over and the last one
// has the time of the first. The new cold time must count from then, and is no new one where the record is only listed
// again.
func TestColdAnewByVersion(t *testing.T) {
	cold := func(ms model.Millis) []model.Object {
		return []model.Object{object(t, model.ObjectTarget, "t0", model.Target{
			Service: "s", FailureDomain: "a-1", Addr: "127.0.0.1:9000", Slots: 1, State: model.TargetReady, Incarnation: 1, ColdMillis: ms,
		})}
	}
	put := func(c *model.Catalogue, ms model.Millis) *model.Catalogue {
		o := cold(ms)
		o[0].Version = c.Version + 1
		next, err := c.With(c.Version+1, o, nil)
		assert.NilError(t, err)
		return next
	}
	now := time.Second
	x := &registry{}
	x.init(Options{}, func() time.Duration { return now })
	c := put(manyTargets(t, 1), 3000)
	x.update(c)
	assert.Equal(t, x.byID["t0"].coldUntil, 4*time.Second+model.AnnouncementDelay)
	now = 3 * time.Second
	c = put(put(c, 2970), 3000)
	x.update(c)
	until := 6*time.Second + model.AnnouncementDelay
	assert.Equal(t, x.byID["t0"].coldUntil, until)
	now = 5 * time.Second
	c, err := c.With(c.Version+1, []model.Object{object(t, model.ObjectDrain, "b-1", model.Drain{FailureDomain: "b-1"})}, nil)
	assert.NilError(t, err)
	x.update(c)
	assert.Equal(t, x.byID["t0"].coldUntil, until, "the same record counts as a new cold time")
}
