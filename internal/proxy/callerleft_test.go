package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// sendAndLeave sends a request whose caller leaves after a while, and returns the response, which the caller
// may still read.
func sendAndLeave(p *Proxy, path string, after time.Duration) (w *httptest.ResponseRecorder) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	t := time.AfterFunc(after, leave)
	defer t.Stop()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("in")).WithContext(ctx)
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, "id-1")
	w = httptest.NewRecorder()
	w.Code = 0
	defer func() { _ = recover() }() // The proxy aborts the connection of a caller that has left.
	p.ServeHTTP(w, r)
	return w
}

// withoutCancel is a VM of an earlier build, which does not know the message that a caller has left.
func withoutCancel(v *hopVM) http.Handler {
	own := v.p.HopHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Cancel") {
			r.URL.Path += "Unknown"
		}
		own.ServeHTTP(w, r)
	})
}

// hangingCancel is a VM that does not answer this message.
func hangingCancel(v *hopVM) http.Handler {
	own := v.p.HopHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Cancel") {
			time.Sleep(2 * hopCancelTimeout)
			return
		}
		own.ServeHTTP(w, r)
	})
}

// A caller leaves while another VM relays its request. What that VM has not sent must not reach a target any more,
// whatever it waits for. What runs at most once and was sent runs to its end, and its answer is delivered.
func TestCallerLeavesDuringHop(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		path   string
		// busy is the number of requests that fill the relaying VM's slots of the target.
		busy int
		// prepare changes the relaying VM.
		prepare func(relay *hopVM)
		// sends is the number of requests that the target receives, and status that of the response, or 0.
		sends, status int
	}{
		{name: "in the queue, once", script: []string{okAfter(600 * time.Millisecond)}, path: "/once/x", busy: 3, sends: 3},
		{name: "in the queue, safe", script: []string{okAfter(600 * time.Millisecond)}, path: "/safe/x", busy: 3, sends: 3},
		{name: "in the queue of an earlier build, once", script: []string{okAfter(600 * time.Millisecond)}, path: "/once/x", busy: 3, sends: 3,
			prepare: func(v *hopVM) { v.handler = withoutCancel(v) }},
		{name: "in the queue of an earlier build, safe", script: []string{okAfter(600 * time.Millisecond)}, path: "/safe/x", busy: 3, sends: 3,
			prepare: func(v *hopVM) { v.handler = withoutCancel(v) }},
		{name: "the message is not answered", script: []string{okAfter(600 * time.Millisecond)}, path: "/once/x", busy: 3, sends: 3,
			prepare: func(v *hopVM) { v.handler = hangingCancel(v) }},
		{name: "before a second target", script: []string{"300ms" + afterSeparator + shed, okResponse}, path: "/once/x", sends: 1},
		{name: "the routing is awaited", script: []string{okResponse}, path: "/once/x",
			prepare: func(v *hopVM) {
				next := v.w.Catalogue()
				earlier, routing := *next, *next.Routing
				routing.Revision--
				earlier.Routing = &routing
				v.w.setCatalogue(&earlier)
				time.AfterFunc(maxRoutingWait*2/3, func() { v.w.setCatalogue(next) })
			}},
		{name: "sent, once", script: []string{okAfter(400 * time.Millisecond)}, path: "/once/x", sends: 1, status: 200},
		{name: "sent by an earlier build, once", script: []string{okAfter(400 * time.Millisecond)}, path: "/once/x", sends: 1,
			prepare: func(v *hopVM) { v.handler = withoutCancel(v) }},
		{name: "sent, safe", script: []string{noResponse}, path: "/safe/x", sends: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, tt.script...)
			other := newFakeTarget(t, tt.script[len(tt.script)-1])
			targets := []*fakeTarget{s}
			if len(tt.script) > 1 {
				targets = append(targets, other)
				other.script = tt.script
			}
			vms := newHopVMs(t, 2, hopCatalogue(t, nil, false, targets...))
			vms[0].cutOff(t)
			if tt.prepare != nil {
				tt.prepare(vms[1])
			}
			var g sync.WaitGroup
			for range tt.busy {
				g.Go(func() { assert.Check(t, doRequest(vms[1].p, http.MethodGet, "/safe/x", "").Code == http.StatusOK) })
			}
			for end := time.Now().Add(time.Second); s.requests() < tt.busy && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, sendAndLeave(vms[0].p, tt.path, 100*time.Millisecond).Code, tt.status, "%s%s", vms[0].log, vms[1].log)
			g.Wait()
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, s.requests()+other.requests(), tt.sends, "%s%s", vms[0].log, vms[1].log)
			if tt.script[0] == noResponse {
				select {
				case <-s.closed:
				default:
					t.Error("the target is still at work")
				}
			}
			h := vms[1].p.hops
			h.mu.Lock()
			defer h.mu.Unlock()
			assert.Equal(t, len(h.calls), 0)
		})
	}
}

// Callers that leave cost no connections between VMs.
func TestLeavingCallersKeepHopConnections(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			s := newFakeTarget(t, okAfter(1500*time.Millisecond))
			vms := newHopVMs(t, 2, hopCatalogue(t, nil, false, s))
			vms[0].cutOff(t)
			var mu sync.Mutex
			conns := map[string]bool{}
			own := vms[1].p.HopHandler()
			vms[1].handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				conns[r.RemoteAddr] = true
				mu.Unlock()
				own.ServeHTTP(w, r)
			})
			for range 3 {
				go doRequest(vms[1].p, http.MethodGet, "/safe/x", "")
			}
			for end := time.Now().Add(time.Second); s.requests() < 3 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			for range 10 {
				sendAndLeave(vms[0].p, path, 30*time.Millisecond)
			}
			assert.Equal(t, vms[1].p.Metrics().Hop.Cancelled, int64(10), "%s%s", vms[0].log, vms[1].log)
			// One connection carries the calls, and one the messages.
			mu.Lock()
			assert.Check(t, len(conns) <= 2, "%d connections were opened", len(conns))
			mu.Unlock()
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, s.requests(), 3)
		})
	}
}

// A caller leaves while the connection to the target is established. Its request must not be sent on it.
func TestCallerLeavesDuringDial(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			w := clusterOf(t, s)
			p := New(Options{
				Domain: "a-1", Cluster: w, Allowances: w, Headers: DefaultHeaders, Log: newProxy(w).o.Log, Budget: BudgetOptions{Ratio: 1, Burst: 10, Window: 10 * time.Second},
				Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
					time.Sleep(300 * time.Millisecond)
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				},
			})
			assert.Equal(t, sendAndLeave(p, path, 100*time.Millisecond).Code, 0)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, s.requests(), 0)
			assert.Equal(t, doRequest(p, http.MethodPost, path, "in").Code, http.StatusOK)
			assert.Equal(t, p.registry.get(model.TargetID("t0")).failures, 0)
		})
	}
}
