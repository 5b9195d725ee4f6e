package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

const home, away = model.RegionID("attiki"), model.RegionID("kriti")

func site(r model.RegionID, slots, load int32, delay time.Duration) Site {
	return Site{
		VM: "v", Region: r, Slots: slots, Load: load, Latency: 10 * time.Millisecond, RTT: delay, Gauge: &Gauge{}, ReportedAt: now,
	}
}

// now is the time of the decisions.
const now = time.Minute

func fullLink() float64 { return 1 }

func TestChoose(t *testing.T) {
	busyLink := site(away, 9, 0, 40*time.Millisecond)
	busyLink.LinkUtilization = fullLink
	stale := site(home, 9, 0, 0)
	stale.ReportedAt = time.Second
	ownLoad := site(home, 9, 0, 0)
	ownLoad.Gauge.InFlight.Store(9)
	tests := []struct {
		name  string
		sites []Site
		want  map[model.Algorithm]int
	}{
		{"no sites", nil, map[model.Algorithm]int{model.Nearest: -1, model.RoundRobin: -1, model.LeastLoaded: -1, model.Headroom: -1}},
		{"no slots", []Site{site(home, 0, 0, 0)}, map[model.Algorithm]int{model.Nearest: -1, model.RoundRobin: -1, model.LeastLoaded: -1, model.Headroom: -1}},
		{"home has free slots", []Site{site(home, 9, 3, 0), site(away, 9, 0, 40*time.Millisecond)}, map[model.Algorithm]int{model.Nearest: 0, model.LeastLoaded: 0, model.Headroom: 0}},
		{"home is overloaded", []Site{site(home, 2, 40, 0), site(away, 9, 0, 40*time.Millisecond)}, map[model.Algorithm]int{model.Nearest: 1, model.LeastLoaded: 1, model.Headroom: 1}},
		{"wait at home costs less than a full link", []Site{site(home, 9, 20, 0), busyLink}, map[model.Algorithm]int{model.Headroom: 0}},
		{"an old report counts as full", []Site{stale, site(home, 9, 6, time.Millisecond)}, map[model.Algorithm]int{model.LeastLoaded: 1, model.Headroom: 1}},
		{"own requests exceed the report", []Site{ownLoad, site(home, 9, 1, time.Millisecond)}, map[model.Algorithm]int{model.LeastLoaded: 1, model.Headroom: 1}},
	}
	for _, tt := range tests {
		for a, want := range tt.want {
			t.Run(tt.name+"/"+string(a), func(t *testing.T) {
				for turn := range uint64(20) {
					var tried Tried
					got := Choose(Query{Policy: model.Policy{Algorithm: a}, Home: home, Sequence: turn, Now: now}, NewSites(tt.sites), &tried)
					// LeastLoaded may pick any site that has a free slot.
					if a == model.LeastLoaded && got >= 0 && want >= 0 {
						assert.Assert(t, !tt.sites[got].isFull(now) || got == want)
						continue
					}
					assert.Equal(t, got, want)
				}
			})
		}
	}
}

func TestChooseSkipsTried(t *testing.T) {
	sites := []Site{site(home, 9, 0, 0), site(home, 9, 0, 0), site(away, 9, 0, 0)}
	for _, a := range []model.Algorithm{model.Nearest, model.RoundRobin, model.LeastLoaded, model.Headroom} {
		t.Run(string(a), func(t *testing.T) {
			var tried Tried
			for range sites {
				i := Choose(Query{Policy: model.Policy{Algorithm: a}, Home: home, Now: now}, NewSites(sites), &tried)
				assert.Assert(t, i >= 0 && !tried.Has(i))
				tried.Add(i)
			}
			assert.Equal(t, Choose(Query{Policy: model.Policy{Algorithm: a}, Home: home, Now: now}, NewSites(sites), &tried), -1)
		})
	}
}

func TestPickPolicy(t *testing.T) {
	c := &model.Catalogue{Policies: []model.Policy{
		{Name: "a", Service: "s", Weight: 3}, {Name: "b", Service: "s", Weight: 1}, {Name: "c", Service: "s", Class: "x", Weight: 1},
		{Name: "retired", Service: "s", Weight: 0},
	}}
	n := map[model.PolicyID]int{}
	const requests = 10_000
	for i := range requests {
		id := model.RequestID(fmt.Sprintf("r%d", i))
		p := PickPolicy(c, "s", "y", id)
		assert.Equal(t, p.Name, PickPolicy(c, "s", "y", id).Name, "the policy of a request id changed")
		assert.Equal(t, PickPolicy(c, "s", "x", id).Name, model.PolicyID("c"))
		n[p.Name]++
	}
	assert.Equal(t, n["retired"], 0)
	assert.Assert(t, n["a"] > 7300 && n["a"] < 7700, "%v", n)
	assert.Equal(t, PickPolicy(c, "other", "y", "r").Algorithm, model.Nearest)
}

// manySites returns n sites in 28 regions, ordered by RTT, as in a table of the design size.
func manySites(n int) []Site {
	out := make([]Site, 0, n)
	for i := range n {
		r := model.RegionID(fmt.Sprintf("r%d", i%28))
		out = append(out, site(r, 9, int32(i%9), time.Duration(i)*time.Microsecond))
	}
	return out
}

var algorithms = []model.Algorithm{model.Nearest, model.RoundRobin, model.LeastLoaded, model.Headroom}

func TestChooseAllocatesNothing(t *testing.T) {
	sites := NewSites(manySites(2400))
	for _, a := range algorithms {
		q := Query{Policy: model.Policy{Algorithm: a}, Home: "r1", Now: now}
		n := testing.AllocsPerRun(100, func() {
			var tried Tried
			Choose(q, sites, &tried)
		})
		assert.Equal(t, n, 0.0, string(a))
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{24, 240, 2400} {
		sites := NewSites(manySites(n))
		for _, a := range algorithms {
			b.Run(fmt.Sprintf("%s/sites=%d", a, n), func(b *testing.B) {
				b.ReportAllocs()
				q := Query{Policy: model.Policy{Algorithm: a}, Home: "r1", Now: now}
				for b.Loop() {
					var tried Tried
					q.Sequence++
					Choose(q, sites, &tried)
				}
			})
		}
	}
}
