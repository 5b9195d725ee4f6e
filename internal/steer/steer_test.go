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

func full() float64 { return 1 }

func TestChoose(t *testing.T) {
	narrow := site(away, 9, 0, 40*time.Millisecond)
	narrow.LinkUtilization = full
	stale := site(home, 9, 0, 0)
	stale.ReportedAt = time.Second
	seen := site(home, 9, 0, 0)
	seen.Gauge.InFlight.Store(9)
	tests := []struct {
		name  string
		sites []Site
		want  map[model.Algorithm]int
	}{
		{"none", nil, map[model.Algorithm]int{model.Nearest: -1, model.RoundRobin: -1, model.LeastLoaded: -1, model.Headroom: -1}},
		{"no slots", []Site{site(home, 0, 0, 0)}, map[model.Algorithm]int{model.Nearest: -1, model.RoundRobin: -1, model.LeastLoaded: -1, model.Headroom: -1}},
		{"home is free", []Site{site(home, 9, 3, 0), site(away, 9, 0, 40*time.Millisecond)}, map[model.Algorithm]int{model.Nearest: 0, model.LeastLoaded: 0, model.Headroom: 0}},
		{"home is overfull", []Site{site(home, 2, 40, 0), site(away, 9, 0, 40*time.Millisecond)}, map[model.Algorithm]int{model.Nearest: 1, model.LeastLoaded: 1, model.Headroom: 1}},
		{"home waits less than a full link", []Site{site(home, 9, 20, 0), narrow}, map[model.Algorithm]int{model.Headroom: 0}},
		{"an old report counts as full", []Site{stale, site(home, 9, 6, time.Millisecond)}, map[model.Algorithm]int{model.LeastLoaded: 1, model.Headroom: 1}},
		{"own requests count before reports", []Site{seen, site(home, 9, 1, time.Millisecond)}, map[model.Algorithm]int{model.LeastLoaded: 1, model.Headroom: 1}},
	}
	for _, tt := range tests {
		for a, want := range tt.want {
			t.Run(tt.name+"/"+string(a), func(t *testing.T) {
				for turn := range uint64(20) {
					var tried Tried
					got := Choose(Query{Policy: model.Policy{Algorithm: a}, Home: home, Sequence: turn, Now: now}, NewSites(tt.sites), &tried)
					// The choice among two is random only among sites with room.
					if a == model.LeastLoaded && got >= 0 && want >= 0 {
						assert.Assert(t, !tt.sites[got].full(now) || got == want)
						continue
					}
					assert.Equal(t, got, want)
				}
			})
		}
	}
}

func TestChooseLeavesOutTried(t *testing.T) {
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
		assert.Equal(t, p.Name, PickPolicy(c, "s", "y", id).Name, "the pick is stable")
		assert.Equal(t, PickPolicy(c, "s", "x", id).Name, model.PolicyID("c"))
		n[p.Name]++
	}
	assert.Equal(t, n["retired"], 0)
	assert.Assert(t, n["a"] > 7300 && n["a"] < 7700, "%v", n)
	assert.Equal(t, PickPolicy(c, "other", "y", "r").Algorithm, model.Nearest)
}

// manySites returns sites as a table at the size to design for has them.
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
