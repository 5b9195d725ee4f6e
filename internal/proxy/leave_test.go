package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// withTarget returns the cluster's catalogue with the first target in another state or incarnation.
func withTarget(t *testing.T, w *fixedCluster, x *fakeTarget, s model.TargetState, incarnation uint64) *model.Catalogue {
	t.Helper()
	c := w.Catalogue()
	next, err := c.With(c.Version+1, []model.Object{object(t, model.ObjectTarget, "t0", model.Target{
		Service: "s", FailureDomain: "a-1", Addr: x.lis.Addr().String(), Slots: 1, State: s, Incarnation: incarnation,
	})}, nil)
	assert.NilError(t, err)
	return next
}

// A target leaves, restarts or its failure domain is drained between the choice of the target and
// the send: while the request waits for a slot, or while the connection is established. The
// request must not reach it.
func TestTargetLeavesBeforeSend(t *testing.T) {
	drain := func(t *testing.T, w *fixedCluster, _ *fakeTarget) *model.Catalogue {
		next, err := w.Catalogue().With(w.Catalogue().Version+1, []model.Object{object(t, model.ObjectDrain, "a-1", model.Drain{FailureDomain: "a-1"})}, nil)
		assert.NilError(t, err)
		return next
	}
	state := func(s model.TargetState, incarnation uint64) func(*testing.T, *fixedCluster, *fakeTarget) *model.Catalogue {
		return func(t *testing.T, w *fixedCluster, x *fakeTarget) *model.Catalogue {
			return withTarget(t, w, x, s, incarnation)
		}
	}
	removed := func(t *testing.T, w *fixedCluster, _ *fakeTarget) *model.Catalogue {
		next, err := w.Catalogue().With(w.Catalogue().Version+1, nil, []string{"target/t0"})
		assert.NilError(t, err)
		return next
	}
	tests := []struct {
		name   string
		change func(*testing.T, *fixedCluster, *fakeTarget) *model.Catalogue
	}{
		{"draining", state(model.TargetDraining, 1)},
		{"gone", state(model.TargetGone, 1)},
		{"removed", removed},
		{"restarted and draining", state(model.TargetDraining, 2)},
		{"failure domain drained", drain},
	}
	for _, tt := range tests {
		t.Run(tt.name+" during the connect", func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			w := clusterOf(t, s)
			p := newProxy(w)
			p.registry.o.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				w.setCatalogue(tt.change(t, w, s))
				return new(net.Dialer).DialContext(ctx, network, addr)
			}
			assert.Equal(t, doRequestAs(p, "id-1", "/once/x").Code, 503)
			assert.Equal(t, s.requests(), 0)
		})
		t.Run(tt.name+" during the wait", func(t *testing.T) {
			release := make(chan struct{})
			s := newRaw(t, func(c net.Conn, r *http.Request) bool {
				<-release
				return writeResponse(c, r, okResponse)
			})
			w := clusterOf(t, s)
			w.setCatalogue(withTarget(t, w, s, model.TargetReady, 1))
			p := newProxy(w)
			var g sync.WaitGroup
			codes := make([]int, 2)
			for i := range codes {
				g.Go(func() { codes[i] = doRequestAs(p, fmt.Sprintf("id-%d", i), "/once/x").Code })
				for waitUntil := time.Now().Add(time.Second); p.InFlight() <= i && time.Now().Before(waitUntil); {
					time.Sleep(time.Millisecond)
				}
			}
			for s.requests() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			w.setCatalogue(tt.change(t, w, s))
			close(release)
			g.Wait()
			assert.Equal(t, s.requests(), 1)
			slices.Sort(codes)
			assert.DeepEqual(t, codes, []int{200, 503})
		})
	}
}

// A target has announced to this VM that it leaves. It is then missing in the catalogue for a
// while, since its heartbeats got lost, and appears again. It must get no new requests.
func TestLeavingTargetReappears(t *testing.T) {
	c, x := manyTargets(t, 2), newRegistry()
	x.update(c)
	x.byID["t0"].sendStarted()
	x.byID["t0"].sendEnded(result{outcome: responded, status: 200, leaving: true}, time.Second)
	assert.Assert(t, !x.byID["t0"].usable(time.Second))
	gone, err := c.With(2, nil, []string{"target/t0"})
	assert.NilError(t, err)
	x.update(gone)
	back, err := gone.With(3, []model.Object{targetObject(t, 0, 1, model.TargetReady)}, nil)
	assert.NilError(t, err)
	x.update(back)
	assert.Assert(t, !x.byID["t0"].usable(time.Second), "the target is used again")
	restarted, err := back.With(4, []model.Object{targetObject(t, 0, 2, model.TargetReady)}, nil)
	assert.NilError(t, err)
	x.update(restarted)
	assert.Assert(t, x.byID["t0"].usable(time.Second), "a restarted target is not used")
}
