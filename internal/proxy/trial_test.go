package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// setRoutes changes all routes of a cluster.
func (w *fixedCluster) setRoutes(f func(*model.Route)) {
	for i := range w.c.Routing.Hosts {
		for j := range w.c.Routing.Hosts[i].Routes {
			f(&w.c.Routing.Hosts[i].Routes[j])
		}
	}
}

// servedWithin sends requests until one is served, and reports whether one was in time. A request
// that is refused must be refused at once.
func servedWithin(t *testing.T, p http.Handler, path string, limit time.Duration) bool {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		from := time.Now()
		w := doRequestWith(p, path, DefaultHeaders.Object, "o")
		switch w.Code {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable:
			assert.Assert(t, time.Since(from) < 200*time.Millisecond, "the refusal was delayed")
		}
	}
	return false
}

// Targets are slow for a while, and the timeout of a route is lowered below the service time that
// was learned then. Refusing every request by that time, which only a served request corrects,
// would refuse the route for good.
func TestRouteServedAgainAfterSlowTime(t *testing.T) {
	tests := []struct {
		name, path string
		affinity   bool
	}{{"idempotent", "/safe/x", false}, {"at most once", "/once/x", false}, {"with affinity", "/safe/x", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			slow, fast := okAfter(600*time.Millisecond), okAfter(50*time.Millisecond)
			s := newFakeTarget(t, slow, slow, slow, slow, slow, slow, fast)
			w := clusterOf(t, s)
			w.setRoutes(func(r *model.Route) { r.Affinity = tt.affinity })
			p := newProxy(w)
			for i := range 6 {
				assert.Equal(t, doRequestWith(p, tt.path, DefaultHeaders.Object, "o").Code, http.StatusOK, "request %d", i)
			}
			w.setRoutes(func(r *model.Route) { r.TimeoutMillis = 300 })
			assert.Assert(t, servedWithin(t, p, tt.path, 5*time.Second), "not served within 5 s after the slow time")
			for range 20 {
				assert.Equal(t, doRequestWith(p, tt.path, DefaultHeaders.Object, "o").Code, http.StatusOK)
			}
		})
	}
}

// A valid route may have an objective above its timeout. The service time that is assumed before
// any measurement follows from the objective and must not refuse the route for good.
func TestObjectiveAboveTimeout(t *testing.T) {
	for _, affinity := range []bool{false, true} {
		s := newFakeTarget(t, okResponse)
		w := clusterOf(t, s)
		w.setRoutes(func(r *model.Route) { r.Affinity, r.ObjectiveMillis, r.TimeoutMillis = affinity, 30_000, 600 })
		assert.Assert(t, servedWithin(t, newProxy(w), "/safe/x", time.Second), "affinity %v", affinity)
	}
}

// While targets are too slow for a route's timeout, requests are refused at once. Only a few are
// sent, to find out whether that still holds.
func TestFewRequestsOnTrial(t *testing.T) {
	s := newFakeTarget(t, okAfter(time.Second))
	w := clusterOf(t, s)
	w.setRoutes(func(r *model.Route) { r.ObjectiveMillis, r.TimeoutMillis = 2000, 100 })
	assert.Assert(t, !servedWithin(t, newProxy(w), "/once/x", 2500*time.Millisecond))
	assert.Assert(t, s.requests() >= 2 && s.requests() <= 3, "%d requests sent", s.requests())
}

// Another target responded at the address of a target. If that target is listed for much longer, it is
// in use again: only a request can tell whether the address is its own again.
func TestMisdirectedTargetTriedAgain(t *testing.T) {
	p := newProxy(clusterOf(t, newFakeTarget(t, misdirected)))
	assert.Equal(t, doRequestAs(p, "id-1", "/once/x").Code, http.StatusServiceUnavailable)
	x := p.registry.byID["t0"]
	now := p.now()
	assert.Assert(t, !x.usable(now+addressTakenTimeout/2))
	assert.Assert(t, x.usable(now+addressTakenTimeout+maxEjection))
}
