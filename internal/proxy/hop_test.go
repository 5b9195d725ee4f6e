package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/links"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// hopVM is a VM that can relay, with its links to targets.
type hopVM struct {
	p     *Proxy
	w     *fixedCluster
	links *switchedDialer
	srv   *httptest.Server
	// handler replaces the VM's own if it is not nil.
	handler http.Handler
	log     *syncBuffer
}

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write appends to the buffer.
func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// newHopVMs returns VMs of failure domains a-1, b-1, a-1 and so on that know each other and the same
// targets.
func newHopVMs(t *testing.T, n int, c *model.Catalogue) []*hopVM {
	t.Helper()
	var vms []*hopVM
	var list []wire.Entry
	for i := range n {
		v := &hopVM{w: &fixedCluster{c: c, fresh: true, vms: n}, links: newSwitchedDialer(), log: &syncBuffer{}}
		domain, region := model.FailureDomainID("a-1"), model.RegionID("a")
		if i%2 == 1 {
			domain, region = "b-1", "b"
		}
		id := model.VMID("v" + strconv.Itoa(i))
		v.p = New(Options{
			Domain: domain, Cluster: v.w, Allowances: v.w, Headers: DefaultHeaders, Log: log.NewLogfmtLogger(v.log), Key: auth.NewKey("k"), Dial: v.links.dial,
			Hop:    HopOptions{Dial: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext, Self: id},
			Budget: BudgetOptions{Ratio: 1, Burst: 10, Window: 10 * time.Second},
		})
		own := v.p.HopHandler()
		v.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if v.handler != nil {
				v.handler.ServeHTTP(w, r)
				return
			}
			own.ServeHTTP(w, r)
		}))
		list = append(list, wire.Entry{ID: id, Addr: v.srv.Listener.Addr().String(), FailureDomain: domain, Region: region})
		vms = append(vms, v)
		t.Cleanup(func() {
			v.srv.CloseClientConnections()
			v.srv.Close()
			assert.Check(t, v.p.Close() == nil)
		})
	}
	for _, v := range vms {
		v.w.entries = list
	}
	return vms
}

// cutOff makes a VM conclude that it has lost its links to targets.
func (v *hopVM) cutOff(t *testing.T) {
	t.Helper()
	v.links.set(linksReset)
	assert.Assert(t, v.p.links.Probed(links.Probe{Dialled: linkProbeTargets, Refused: linkProbeTargets}, v.p.now()))
}

// hopCatalogue returns the catalogue of clusterOf with a second region and, for some of its routes,
// homes.
func hopCatalogue(t *testing.T, homes []model.RegionID, keyed bool, targets ...*fakeTarget) *model.Catalogue {
	t.Helper()
	c := clusterOf(t, targets...).c
	r := *c.Routing
	r.Revision, r.Keyed = 2, keyed
	r.Hosts = append([]model.VirtualHost(nil), r.Hosts...)
	for i := range r.Hosts {
		r.Hosts[i].Routes = append([]model.Route(nil), r.Hosts[i].Routes...)
		for j := range r.Hosts[i].Routes {
			r.Hosts[i].Routes[j].HomeRegions = homes
		}
	}
	put := []model.Object{
		object(t, model.ObjectRegion, "b", model.Region{}), object(t, model.ObjectFailureDomain, "b-1", model.FailureDomain{Region: "b"}),
		object(t, model.ObjectRouting, model.RoutingName, r),
		object(t, model.ObjectWorkspace, "w", model.Workspace{Keys: []model.KeyDigest{model.DigestOf("key-of-w")}, Allowance: model.Allowance{PerSecond: 1}}),
	}
	c, err := c.With(c.Version+1, put, nil)
	assert.NilError(t, err)
	return c
}

// hangUpHandler breaks off each request after it has read it.
func hangUpHandler(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// A VM that is cut off serves its callers through other VMs: what another one says of the request
// decides the response, a VM that cannot relay is replaced by the next one, and a request that may run
// once is told to have not run only if that is certain.
func TestHop(t *testing.T) {
	tests := []struct {
		name   string
		script string
		// prepare changes the three VMs; the first one is cut off, and the others can relay.
		prepare func(*testing.T, []*hopVM)
		// safe and once are the expected statuses, and sends the expected sends to the target.
		safe, safeSends int
		once, onceSends int
	}{
		{"served", okResponse, nil, 200, 1, 200, 1},
		{"a failure of the target", serverError, nil, 500, 1, 500, 1},
		{"the target refuses", shed, nil, 503, 1, 503, 1},
		{"the target breaks off", hangUp, nil, 502, 1, 502, 1},
		{"the nearest VM is cut off too", okResponse, func(t *testing.T, v []*hopVM) { v[2].cutOff(t) }, 200, 1, 200, 1},
		{"all VMs are cut off", okResponse, func(t *testing.T, v []*hopVM) { v[1].cutOff(t); v[2].cutOff(t) }, 503, 0, 503, 0},
		{"the nearest VM is down", okResponse, func(_ *testing.T, v []*hopVM) { v[2].srv.Listener.Close() }, 200, 1, 200, 1},
		{"the nearest VM stops", okResponse, func(_ *testing.T, v []*hopVM) { v[2].p.Refuse() }, 200, 1, 200, 1},
		{"the nearest VM stops soon", okResponse, func(_ *testing.T, v []*hopVM) { v[2].p.FinishWithin(0) }, 200, 1, 200, 1},
		{"the nearest VM has an earlier build", okResponse, func(_ *testing.T, v []*hopVM) { v[2].handler = http.NotFoundHandler() }, 200, 1, 200, 1},
		{"the nearest VM knows no routing", okResponse, func(_ *testing.T, v []*hopVM) { v[2].w.setCatalogue(nil) }, 200, 1, 200, 1},
		{"the nearest VM breaks off", okResponse, func(_ *testing.T, v []*hopVM) { v[2].handler = http.HandlerFunc(hangUpHandler) }, 200, 1, 502, 0},
		{"no other VM is left", okResponse, func(_ *testing.T, v []*hopVM) { v[0].w.entries = v[0].w.entries[:1] }, 503, 0, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, x := range []struct {
				path          string
				status, sends int
			}{{"/safe/x?q=1", tt.safe, tt.safeSends}, {"/once/x?q=1", tt.once, tt.onceSends}} {
				s := newFakeTarget(t, tt.script)
				vms := newHopVMs(t, 3, hopCatalogue(t, nil, false, s))
				vms[0].cutOff(t)
				if tt.prepare != nil {
					tt.prepare(t, vms)
				}
				start := time.Now()
				w := doRequest(vms[0].p, http.MethodPost, x.path, "in")
				assert.Equal(t, w.Code, x.status, "%s: %s%s", x.path, w.Body, vms[0].log)
				assert.Equal(t, s.requests(), x.sends, x.path)
				assert.Assert(t, time.Since(start) < time.Second)
				if x.status == http.StatusOK {
					assert.Equal(t, w.Body.String(), "body")
					assert.Equal(t, w.Header().Get(DefaultHeaders.Digest), "d")
				}
				if x.sends > 0 {
					r := s.received[0]
					assert.Equal(t, r.Method+" "+r.RequestURI+" "+r.Host+" "+s.bodies[0], "POST "+x.path+" h.example in")
					assert.Equal(t, r.Header.Get(DefaultHeaders.RequestID), "id-1")
				}
				if x.status == http.StatusServiceUnavailable {
					assert.Assert(t, w.Header().Get("Retry-After") != "")
				}
			}
		})
	}
}

// A VM that is cut off has its requests relayed by VMs that have its routing: one that is cut off from the replicas, or has
// not heard of the newest routing yet, would handle them as an older version demands, and those by others would show the
// newer one.
func TestHopByTheSameRouting(t *testing.T) {
	tests := []struct {
		name string
		// prepare gets the cut-off VM, and one that may relay, with a catalogue of the next revision.
		prepare func(asker, helper *hopVM, next *model.Catalogue)
		status  int
		// by is the revision whose target runs the request.
		by int
	}{
		{"same routing", func(*hopVM, *hopVM, *model.Catalogue) {}, 200, 2},
		{"the other VM has an older one", func(a, _ *hopVM, next *model.Catalogue) { a.w.setCatalogue(next) }, 503, 0},
		{"the other VM has a newer one", func(_, h *hopVM, next *model.Catalogue) { h.w.setCatalogue(next) }, 503, 0},
		{"the other VM gets the routing in time", func(a, h *hopVM, next *model.Catalogue) {
			a.w.setCatalogue(next)
			time.AfterFunc(maxRoutingWait/2, func() { h.w.setCatalogue(next) })
		}, 200, 3},
		{"the other VM does not know that it is the newest", func(_, h *hopVM, _ *model.Catalogue) { h.w.fresh = false }, 503, 0},
		{"neither of them does", func(a, h *hopVM, _ *model.Catalogue) { a.w.fresh, h.w.fresh = false, false }, 200, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			c := hopCatalogue(t, nil, false, s)
			routing := *c.Routing
			routing.Revision++
			next, err := c.With(c.Version+1, []model.Object{object(t, model.ObjectRouting, model.RoutingName, routing)}, nil)
			assert.NilError(t, err)
			vms := newHopVMs(t, 2, c)
			vms[0].cutOff(t)
			tt.prepare(vms[0], vms[1], next)
			w := doRequest(vms[0].p, http.MethodPost, "/once/x", "in")
			assert.Equal(t, w.Code, tt.status, "%s%s", w.Body, vms[0].log)
			if tt.by > 0 {
				assert.Equal(t, int(vms[1].w.Catalogue().Routing.Revision), tt.by)
				return
			}
			assert.Equal(t, s.requests(), 0)
		})
	}
}

// The requests of a VM that is cut off are spread over the others, those of its region first.
func TestHopsAreSpread(t *testing.T) {
	s := newFakeTarget(t, okAfter(200*time.Millisecond))
	vms := newHopVMs(t, 5, hopCatalogue(t, nil, false, s))
	vms[0].cutOff(t)
	var g sync.WaitGroup
	for range 24 {
		g.Go(func() { doRequest(vms[0].p, http.MethodGet, "/safe/x", "") })
	}
	g.Wait()
	var n []int64
	for _, v := range vms {
		n = append(n, v.p.Metrics().Hop.Relayed)
	}
	assert.Equal(t, n[0], int64(0))
	for i := 1; i < 5; i++ {
		assert.Assert(t, n[i] > 0, "%v", n)
	}
	assert.Assert(t, n[2] > n[1] && n[4] > n[3], "%v", n)
}

// The body of a request with homes goes to no VM in another region.
func TestHopKeepsHomes(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	vms := newHopVMs(t, 2, hopCatalogue(t, []model.RegionID{"a"}, false, s))
	vms[0].cutOff(t)
	assert.Equal(t, doRequest(vms[0].p, http.MethodPost, "/safe/x", "in").Code, http.StatusServiceUnavailable)
	assert.Equal(t, vms[1].p.Metrics().Hop.Relayed, int64(0))
	assert.Equal(t, s.requests(), 0)
}

// A relayed request is admitted once: its allowance is used once, the target learns the workspace, and
// the key of the caller does not leave the VM that the caller is connected to.
func TestHopAdmitsOnce(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	vms := newHopVMs(t, 2, hopCatalogue(t, nil, true, s))
	for _, v := range vms {
		v.w.allowed = map[model.WorkspaceID]int{"w": 5}
	}
	vms[0].cutOff(t)
	send := func(key string) int {
		r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
		r.Host = "h.example"
		r.Header.Set(DefaultHeaders.RequestID, "id-1")
		r.Header.Set(DefaultHeaders.Authorization, "Bearer "+key)
		w := httptest.NewRecorder()
		vms[0].p.ServeHTTP(w, r)
		return w.Code
	}
	assert.Equal(t, send("key-of-w"), http.StatusOK)
	assert.Equal(t, send("key-of-nobody"), http.StatusUnauthorized)
	assert.Equal(t, vms[0].w.allowed["w"], 4)
	assert.Equal(t, vms[1].w.allowed["w"], 5)
	assert.Equal(t, len(s.received), 1)
	assert.Equal(t, s.received[0].Header.Get(DefaultHeaders.Workspace), "w")
	assert.Equal(t, s.received[0].Header.Get(DefaultHeaders.Authorization), "")
	assert.Assert(t, !strings.Contains(vms[0].log.String()+vms[1].log.String(), "key-of-w"))
}

// A target that announces in a relayed response that it leaves gets no request from the VM that passed
// the response on either, once that has its links back.
func TestAnnouncementsThroughHop(t *testing.T) {
	leaving := "HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nEel-Digest: d\r\nEel-Leaving: 1\r\nContent-Length: 4\r\n\r\nbody"
	s := newFakeTarget(t, leaving)
	vms := newHopVMs(t, 2, hopCatalogue(t, nil, false, s))
	// The VM knows the target before it is cut off.
	vms[0].p.registry.update(vms[0].w.Catalogue())
	vms[0].cutOff(t)
	assert.Equal(t, doRequest(vms[0].p, http.MethodGet, "/safe/x", "").Code, http.StatusOK)
	vms[0].links.set(linksUp)
	vms[0].p.links.Probed(links.Probe{Dialled: 1, Accepted: 1}, vms[0].p.now())
	vms[0].p.links.Probed(links.Probe{Dialled: 1, Accepted: 1}, vms[0].p.now())
	assert.Equal(t, doRequest(vms[0].p, http.MethodGet, "/safe/x", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, s.requests(), 1)
}

// A hop does not begin before the VM knows that it is cut off, ends once its links are back, and the
// targets that it took for down are in use again at once.
func TestLinksBack(t *testing.T) {
	s, other := newFakeTarget(t, okResponse), newFakeTarget(t, okResponse)
	vms := newHopVMs(t, 2, hopCatalogue(t, nil, false, s, other))
	p := vms[0].p
	assert.Equal(t, doRequest(p, http.MethodGet, "/safe/x", "").Code, http.StatusOK)
	assert.Equal(t, p.Metrics().Hop.Sent, int64(0))
	vms[0].links.set(linksHangRefuse)
	await := func(cutOff bool) {
		t.Helper()
		for start := time.Now(); p.Metrics().CutOff != cutOff; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Since(start) < 3*time.Second)
			doRequest(p, http.MethodGet, "/safe/x", "")
		}
	}
	await(true)
	assert.Equal(t, doRequest(p, http.MethodGet, "/safe/x", "").Code, http.StatusOK)
	assert.Assert(t, p.Metrics().Hop.Sent > 0)
	vms[0].links.set(linksUp)
	await(false)
	before := p.Metrics().Hop.Sent
	assert.Equal(t, p.Metrics().UsableTargets, 2)
	assert.Equal(t, doRequest(p, http.MethodGet, "/safe/x", "").Code, http.StatusOK)
	assert.Equal(t, p.Metrics().Hop.Sent, before)
	assert.Equal(t, p.Metrics().Cuts, 1)
}

// If the targets of a service are down for all VMs, no VM takes that for a fault of its links: hops would
// double the load for nothing.
func TestServiceDownIsNoCut(t *testing.T) {
	s, other := newFakeTarget(t, okResponse), newFakeTarget(t, okResponse)
	c := hopCatalogue(t, nil, false, s)
	c, err := c.With(c.Version+1, []model.Object{object(t, model.ObjectTarget, "u0", model.Target{
		Service: "other", FailureDomain: "a-1", Addr: other.lis.Addr().String(), Slots: 3, State: model.TargetReady, Incarnation: 1,
	})}, nil)
	assert.NilError(t, err)
	vms := newHopVMs(t, 2, c)
	s.lis.Close()
	for range 20 {
		doRequest(vms[0].p, http.MethodGet, "/safe/x", "")
		time.Sleep(30 * time.Millisecond)
	}
	assert.Equal(t, vms[0].p.Metrics().Cuts, 0)
	assert.Equal(t, vms[0].p.Metrics().Hop.Sent, int64(0))
}

// The hop needs the deployment's key, and bounds the requests that it relays at the same time.
func TestHopIsGuarded(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	vms := newHopVMs(t, 1, hopCatalogue(t, nil, false, s))
	m := &eelpb.RelayRequest{Vm: "x", Id: "id-1", Method: http.MethodGet, Uri: "/safe/x", Host: "h.example", MaxSends: 1, RemainingMs: 1000,
		Headers: []*eelpb.HTTPHeader{{Name: DefaultHeaders.RequestID, Values: []string{"id-1"}}}}
	addr := "http://" + vms[0].srv.Listener.Addr().String()
	_, err := eelpb.NewHopProtobufClient(addr, http.DefaultClient).Relay(context.Background(), m)
	assert.Assert(t, err != nil)
	assert.Assert(t, isUnsupported(err), "%v", err)
	assert.Equal(t, s.requests(), 0)
	for range maxRelayed {
		assert.Assert(t, vms[0].p.hops.begin("x", vms[0].p.now()))
	}
	client := &http.Client{Transport: auth.NewKey("k").Transport(http.DefaultTransport)}
	r, err := eelpb.NewHopProtobufClient(addr, client).Relay(context.Background(), m)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, eelpb.RelayOutcome_UNAVAILABLE)
	vms[0].p.hops.end()
	r, err = eelpb.NewHopProtobufClient(addr, client).Relay(context.Background(), m)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, eelpb.RelayOutcome_RESPONDED)
}
