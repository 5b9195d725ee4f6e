package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/gossip"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// limiting returns a response that names a limit.
func limiting(response, limit string) string {
	return strings.Replace(response, "\r\n", "\r\nEel-Limit: "+limit+"\r\n", 1)
}

// fleetOf returns proxies of several VMs in front of the same targets.
func fleetOf(t *testing.T, vms int, targets ...*fakeTarget) []*Proxy {
	t.Helper()
	var out []*Proxy
	for i := range vms {
		w := clusterOf(t, targets...)
		w.vms, w.rank = vms, i
		p := newProxy(w)
		t.Cleanup(func() { assert.NilError(t, p.Close()) })
		out = append(out, p)
	}
	return out
}

// A target names in its responses the requests per second that it takes from all VMs together, and
// gets many times as many. Below the limit, requests must go to other targets; none may be failed
// for it.
func TestLimitOfTargetIsKept(t *testing.T) {
	const (
		perSecond = 2.0
		settle    = 500 * time.Millisecond
		duration  = 3 * time.Second
	)
	// The target accepts half more than its limit, and five requests, in any four seconds.
	most := int(1.5*4*perSecond) + 5
	for _, vms := range []int{1, 9, 30} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			inNeed, sound := newFakeTarget(t, limiting(okResponse, "2.0")), newFakeTarget(t, okResponse)
			fleet := fleetOf(t, vms, inNeed, sound)
			var g sync.WaitGroup
			for i, p := range fleet {
				for j := range 3 {
					doRequestAs(p, fmt.Sprintf("first-%d-%d", i, j), "/once/x")
				}
			}
			time.Sleep(settle)
			before := inNeed.requests()
			for i, p := range fleet {
				g.Go(func() {
					for n, from := 0, time.Now(); time.Since(from) < duration; n++ {
						w := doRequestAs(p, fmt.Sprintf("id-%d-%d", i, n), "/once/x")
						assert.Check(t, w.Code == 200, "status %d: %s", w.Code, w.Body)
						time.Sleep(rand.N(40 * time.Millisecond))
					}
				})
			}
			g.Wait()
			got := inNeed.requests() - before
			assert.Assert(t, got <= most, "%d requests in %s, allowed are %d", got, duration, most)
			assert.Assert(t, got >= 1, "the target gets nothing")
		})
	}
}

// newLimitedTarget returns a target in front of which this VM is alone.
func newLimitedTarget() *target {
	x := newReadyTarget()
	x.limit.position = func() limit.Position { return limit.Position{VMs: 1, Domains: 1} }
	return x
}

// sends returns how many requests the target accepts at a time.
func sends(x *target, now time.Duration) int {
	n := 0
	for n < 1000 {
		r, ok := x.reserveLimit(now)
		if !ok {
			break
		}
		if r.use(now) {
			n++
		}
	}
	return n
}

// A limit holds for as long as the target names it, at the value that it named last, also if
// responses overtake each other.
func TestNamedLimitFollowsResponses(t *testing.T) {
	const all = 1000
	answer := func(named string, startedAt time.Duration) func(*target, time.Duration) {
		return func(x *target, now time.Duration) {
			h := http.Header{}
			if named != "" {
				h.Set(DefaultHeaders.Limit, named)
			}
			r := result{outcome: responded, status: 200, startedAt: startedAt}
			r.limit, r.hasLimit = DefaultHeaders.parseLimit(h)
			x.sendStarted()
			x.sendEnded(r, now)
		}
	}
	report := func(perSecond float64, age time.Duration) func(*target, time.Duration) {
		return func(x *target, now time.Duration) {
			x.receive(1, gossip.Report{HasLimit: true, Limit: perSecond, Age: age}, true, now)
		}
	}
	const second = time.Second
	tests := []struct {
		name string
		// The steps are applied at 10 s, 20 s and so on.
		steps []func(*target, time.Duration)
		want  int
	}{
		{"never named", []func(*target, time.Duration){answer("", second)}, all},
		{"named", []func(*target, time.Duration){answer("2.5", second)}, 10},
		{"taken back", []func(*target, time.Duration){answer("2.5", second), answer("", 15*second)}, all},
		{"an answer to an older request does not take it back", []func(*target, time.Duration){answer("2.5", second), answer("", 5*second)}, 10},
		{"another value", []func(*target, time.Duration){answer("2.5", second), answer("5", 15*second)}, 20},
		{"malformed values say nothing", []func(*target, time.Duration){answer("2.5", second), answer("many", 15*second), answer("-1", 25*second), answer("NaN", 35*second)}, 10},
		{"zero leaves one a minute", []func(*target, time.Duration){answer("0", second)}, 1},
		{"no answer of the target", []func(*target, time.Duration){answer("2.5", second), func(x *target, now time.Duration) {
			x.sendStarted()
			x.sendEnded(result{outcome: unknown}, now)
		}}, 10},
		{"reported by another VM", []func(*target, time.Duration){report(2.5, 0)}, 10},
		{"an older report", []func(*target, time.Duration){answer("2.5", second), report(50, 15*second)}, 10},
		{"a newer report takes it back", []func(*target, time.Duration){answer("2.5", second), report(0, second)}, all},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newLimitedTarget()
			now := time.Duration(0)
			for _, f := range tt.steps {
				now += 10 * time.Second
				f(x, now)
			}
			assert.Equal(t, sends(x, now), tt.want)
		})
	}
}

// A response that is not the target's own must not take back the limit.
func TestForeignResponseKeepsLimit(t *testing.T) {
	s := newFakeTarget(t, limiting(okResponse, "0.5"), plainUnavailable, okResponse)
	p := newProxy(clusterOf(t, s))
	p.registry.update(p.o.Cluster.Catalogue())
	x := p.registry.byID["t0"]
	x.limit.position = func() limit.Position { return limit.Position{VMs: 1, Domains: 1} }
	assert.Equal(t, doRequestAs(p, "id-1", "/once/x").Code, 200)
	assert.Equal(t, doRequestAs(p, "id-2", "/once/x").Code, 502)
	assert.Equal(t, x.limit.perSecond, 0.5)
	time.Sleep(5 * time.Millisecond)
	assert.Equal(t, doRequestAs(p, "id-3", "/once/x").Code, 200)
	assert.Equal(t, x.limit.perSecond, 0.0)
}

// A target that the catalogue misses for a while keeps its limit; one that restarted has none.
func TestLimitOfTargetThatReappears(t *testing.T) {
	c, r := manyTargets(t, 2), newRegistry()
	r.o.Cluster = &fixedCluster{vms: 1}
	r.update(c)
	x := r.byID["t0"]
	x.sendStarted()
	x.sendEnded(result{outcome: responded, status: 200, limit: 2.5, hasLimit: true}, time.Second)
	for i, tt := range []struct {
		put     []model.Object
		removed []string
		want    int
	}{
		{nil, []string{"target/t0"}, -1},
		{[]model.Object{targetObject(t, 0, 1, model.TargetReady)}, nil, 10},
		{[]model.Object{targetObject(t, 0, 2, model.TargetReady)}, nil, 1000},
	} {
		next, err := c.With(c.Version+1, tt.put, tt.removed)
		assert.NilError(t, err)
		c = next
		r.update(c)
		if tt.want >= 0 {
			assert.Equal(t, sends(r.byID["t0"], time.Second), tt.want, "step %d", i)
		}
	}
}

// Load pattern: every target has used up its limit. Callers are refused at once, and told to come
// back when the first target accepts requests again.
func TestAllTargetsLimited(t *testing.T) {
	s := newFakeTarget(t, limiting(okResponse, "1"))
	w := clusterOf(t, s)
	w.vms = 1
	p := newProxy(w)
	served := 0
	for i := range 20 {
		from := time.Now()
		a := doRequestAs(p, fmt.Sprintf("id-%d", i), "/once/x")
		if a.Code == 200 {
			served++
			continue
		}
		assert.Equal(t, a.Code, 503)
		assert.Assert(t, time.Since(from) < 200*time.Millisecond, "the refusal was delayed")
		var in float64
		_, err := fmt.Sscan(a.Header().Get("Retry-After"), &in)
		assert.NilError(t, err)
		assert.Assert(t, in > 3 && in < 4.6, "Retry-After is %g s", in)
	}
	// The first request is sent before the target has named its limit.
	assert.Equal(t, served, 1+4)
}
