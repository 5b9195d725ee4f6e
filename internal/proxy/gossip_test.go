package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/gossip"
	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

func newReadyTarget() *target {
	return &target{record: model.Target{State: model.TargetReady, Slots: 3}, dispatcher: newDispatcher(3)}
}

// Reports of another VM lose weight with their age, and an older report never replaces a newer
// one.
func TestReceiveLoad(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name    string
		receive []gossip.Report
		own     int
		least   float64
		most    float64
	}{
		{"fresh", []gossip.Report{{HasLoad: true, Load: 6}}, 0, 6, 6},
		{"with own requests in it", []gossip.Report{{HasLoad: true, Load: 6}}, 2, 6, 6},
		{"at half of its lifetime", []gossip.Report{{HasLoad: true, Load: 6, Age: loadTTL / 2}}, 0, 2.9, 3.1},
		{"too old", []gossip.Report{{HasLoad: true, Load: 6, Age: 2 * loadTTL}}, 0, 0, 0},
		{"older after newer", []gossip.Report{{HasLoad: true, Load: 1}, {HasLoad: true, Load: 6, Age: time.Millisecond}}, 0, 1, 1},
		{"no load reported", []gossip.Report{{HasObject: true, Object: 1}}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newReadyTarget()
			x.inFlight = tt.own
			for _, r := range tt.receive {
				x.receive(1, r, true, now)
			}
			got := x.load(now)
			assert.Assert(t, got >= tt.least && got <= tt.most, "load is %g", got)
		})
	}
}

// An object that a target has served for another VM is warm there.
func TestReceiveWarmObject(t *testing.T) {
	x := newReadyTarget()
	x.receive(1, gossip.Report{HasObject: true, Object: 42}, true, time.Second)
	assert.Assert(t, x.warm.IsWarm(42))
	assert.Assert(t, x.dispatcher.queue.IsWarm(42))
	assert.Assert(t, !x.warm.IsWarm(43))
}

// An unreachable target is ejected at all VMs; a broken response counts if two VMs report it
// within a short time. A VM that cannot reach most of its targets is cut off itself, and its
// reports are ignored.
func TestPeerFailures(t *testing.T) {
	type report struct {
		by        gossip.ProcessID
		at        time.Duration
		unreached bool
	}
	const later = 100 * time.Millisecond
	tests := []struct {
		name    string
		reports []report
		cutOff  bool
		usable  bool
	}{
		{"one VM, once", []report{{1, 0, false}}, false, true},
		{"one VM, repeatedly", []report{{1, 0, false}, {1, later, false}, {1, 2 * later, false}}, false, true},
		{"two VMs", []report{{1, 0, false}, {2, later, false}}, false, false},
		{"two VMs, far apart in time", []report{{1, 0, false}, {2, 2 * peerFailureTTL, false}}, false, true},
		{"unreachable from one VM", []report{{1, 0, true}}, false, false},
		{"reporting VM is cut off", []report{{1, 0, true}}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newReadyTarget()
			p := &Proxy{now: func() time.Duration { return 0 }}
			for range 20 {
				p.reporters.update(1, gossip.Report{Unreachable: tt.cutOff, HasLoad: !tt.cutOff})
			}
			now := 10 * time.Second
			for _, w := range tt.reports {
				now = 10*time.Second + w.at
				r := gossip.Report{Unreachable: w.unreached, Failed: !w.unreached}
				x.receive(w.by, r, p.reporters.update(w.by, r), now)
			}
			assert.Equal(t, x.usable(now), tt.usable)
			assert.Assert(t, x.usable(now+2*initialUnreachedEjection), "the ejection does not end")
		})
	}
}

// A target that serves another VM again is used at once.
func TestRecoveryReportedByPeer(t *testing.T) {
	x := newReadyTarget()
	now := 10 * time.Second
	x.receive(1, gossip.Report{Unreachable: true}, true, now)
	x.receive(2, gossip.Report{HasObject: true, Object: 1, Age: time.Second}, true, now)
	assert.Assert(t, !x.usable(now), "the success was before the failure")
	x.receive(2, gossip.Report{HasObject: true, Object: 1}, true, now+time.Millisecond)
	assert.Assert(t, x.usable(now+2*time.Millisecond))
}

// Only one VM cannot reach a target. The other VMs continue to use it, and that one VM does not
// use it again just because it serves them.
func TestUnreachableFromOneVM(t *testing.T) {
	now := 10 * time.Second
	served, unreachable := newReadyTarget(), newReadyTarget()
	served.receive(2, gossip.Report{HasObject: true, Object: 1}, true, now)
	served.receive(1, gossip.Report{Unreachable: true}, true, now+responseTTL/2)
	assert.Assert(t, served.usable(now+responseTTL/2))
	unreachable.updateHealth(result{outcome: unreached}, now)
	unreachable.receive(2, gossip.Report{HasObject: true, Object: 1}, true, now+time.Millisecond)
	assert.Assert(t, !unreachable.usable(now+2*time.Millisecond))
}

// A caller that disconnects, or whose deadline passes, while its request is in progress is no
// fault of the target.
func TestCallerDisconnectIsNoTargetFault(t *testing.T) {
	silentTarget := newFakeTarget(t, noResponse)
	stuck := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	tests := []struct {
		name     string
		dial     setup.Dialer
		deadline string
		leaves   time.Duration
	}{
		{"before a connection", stuck, "2000", 300 * time.Millisecond},
		{"while the target works", nil, "2000", 300 * time.Millisecond},
		{"deadline before a connection", stuck, "500", 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := clusterOf(t, silentTarget)
			p := New(Options{Domain: "a-1", Cluster: w, Headers: DefaultHeaders, Log: log.NewNopLogger(), Dial: tt.dial})
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			time.AfterFunc(tt.leaves, cancel)
			r := httptest.NewRequest(http.MethodGet, "/safe/x", nil).WithContext(ctx)
			r.Host = "h.example"
			r.Header.Set(DefaultHeaders.RequestID, "id-1")
			r.Header.Set(DefaultHeaders.Deadline, tt.deadline)
			func() {
				defer func() { _ = recover() }() // The proxy aborts the connection of a caller that has disconnected.
				p.ServeHTTP(httptest.NewRecorder(), r)
			}()
			x := p.registry.byID["t0"]
			assert.Equal(t, x.failures, 0)
			assert.Assert(t, x.usable(p.now()))
		})
	}
}

// Two proxies of a failure domain share what they learn: the second one uses the load that the
// first one received.
func TestProxiesGossip(t *testing.T) {
	s := newFakeTarget(t, "HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nEel-Digest: d\r\nEel-Load: 2,1,3\r\nContent-Length: 4\r\n\r\nbody")
	a, b := newPeerProxy(t, s), newPeerProxy(t, s)
	a.w.peerAddrs, b.w.peerAddrs = []string{b.addr}, []string{a.addr}
	assert.Equal(t, doRequestAs(a.p, "id-1", "/once/x").Code, 200)
	var x *target
	for i := 0; i < 100 && (x == nil || x.load(b.p.now()) == 0); i++ {
		time.Sleep(20 * time.Millisecond)
		b.p.registry.update(b.w.c)
		x = b.p.registry.byHash(place.HashTarget("t0"))
	}
	assert.Assert(t, x.load(b.p.now()) > 0)
}

type peerProxy struct {
	p    *Proxy
	w    *fixedCluster
	addr string
}

func newPeerProxy(t *testing.T, s *fakeTarget) peerProxy {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := clusterOf(t, s)
	p := New(Options{
		Domain: "a-1", Cluster: w, Headers: DefaultHeaders, Log: log.NewNopLogger(),
		Gossip: GossipOptions{Conn: c, Key: auth.NewKey("k"), Self: "vm"},
	})
	p.registry.update(w.c)
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	return peerProxy{p, w, c.LocalAddr().String()}
}
