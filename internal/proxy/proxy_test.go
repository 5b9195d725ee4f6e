package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// fakeTarget is a target that follows a script: it sends one line of the script per request, and
// repeats the last one.
type fakeTarget struct {
	t        *testing.T
	lis      net.Listener
	mu       sync.Mutex
	script   []string
	received []*http.Request
	bodies   []string
	// closed receives a value when a connection ends while a request is in progress.
	closed chan struct{}
}

// The lines of a script. ID is replaced by the id of the request.
const (
	okResponse        = "HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nEel-Digest: d\r\nContent-Length: 4\r\n\r\nbody"
	noDigest          = "HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nContent-Length: 4\r\n\r\nbody"
	truncatedResponse = "HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nEel-Digest: d\r\nContent-Length: 40\r\n\r\nbody"
	shed              = "HTTP/1.1 503 Service Unavailable\r\nEel-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected       = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	serverError       = "HTTP/1.1 500 Internal Server Error\r\nEel-Request-Id: ID\r\nContent-Length: 4\r\n\r\nfail"
	plainUnavailable  = "HTTP/1.1 503 Service Unavailable\r\nEel-Request-Id: ID\r\nContent-Length: 0\r\n\r\n"
	strayThenOK       = "HTTP/1.1 200 OK\r\nEel-Request-Id: other\r\nEel-Digest: d\r\nContent-Length: 5\r\n\r\nother" + okResponse
	noLength          = "HTTP/1.1 200 OK\r\nEel-Request-Id: ID\r\nEel-Digest: d\r\n\r\nbody"
	hangUp            = ""
	noResponse        = "silence"

	afterSeparator = "|"
)

// okAfter returns a line by which the target sends okResponse after a while.
func okAfter(d time.Duration) string { return d.String() + afterSeparator + okResponse }

func newFakeTarget(t *testing.T, script ...string) *fakeTarget {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeTarget{t: t, lis: lis, script: script, closed: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	t.Cleanup(func() { lis.Close() })
	return s
}

func (s *fakeTarget) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		line := s.next(r, string(body))
		if line == noResponse {
			if _, err := b.ReadByte(); err != nil {
				s.closed <- struct{}{}
			}
			return
		}
		if wait, rest, ok := strings.Cut(line, afterSeparator); ok {
			d, err := time.ParseDuration(wait)
			assert.Check(s.t, err == nil, "%v", err)
			time.Sleep(d)
			line = rest
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(line, "ID", r.Header.Get(DefaultHeaders.RequestID))); err != nil {
			return
		}
		if line == hangUp || line == truncatedResponse || line == noLength {
			return
		}
	}
}

func (s *fakeTarget) next(r *http.Request, body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received, s.bodies = append(s.received, r), append(s.bodies, body)
	line := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	return line
}

func (s *fakeTarget) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

// clusterOf returns a cluster with one service that the fake targets serve. Requests under /once/
// run at most once.
func clusterOf(t *testing.T, targets ...*fakeTarget) *fixedCluster {
	t.Helper()
	r := &model.Routing{Revision: 1, Services: []model.RoutedService{{Name: "s"}}}
	for _, d := range []model.Delivery{model.Idempotent, model.AtMostOnce} {
		name := map[model.Delivery]string{model.Idempotent: "safe", model.AtMostOnce: "once"}[d]
		r.Hosts = append(r.Hosts, model.VirtualHost{Host: "h.example", Routes: []model.Route{{
			Name: model.RouteID(name), Prefix: "/" + name + "/", Delivery: d, ObjectiveMillis: 400, TimeoutMillis: 2000,
			MaxAttempts: 2, Split: []model.SplitPart{{Service: "s", Weight: 1}},
		}}})
	}
	o := []model.Object{
		object(t, model.ObjectRegion, "a", model.Region{}),
		object(t, model.ObjectFailureDomain, "a-1", model.FailureDomain{Region: "a"}),
		object(t, model.ObjectRouting, model.RoutingName, r),
	}
	for i, x := range targets {
		o = append(o, object(t, model.ObjectTarget, fmt.Sprintf("t%d", i), model.Target{
			Service: "s", FailureDomain: "a-1", Addr: x.lis.Addr().String(), Slots: 3, State: model.TargetReady, Incarnation: 1,
		}))
	}
	c, err := model.NewCatalogue(1, o)
	assert.NilError(t, err)
	return &fixedCluster{c: c, fresh: true}
}

// object returns an object of the catalogue.
func object(t testing.TB, k model.ObjectKind, name string, spec any) model.Object {
	t.Helper()
	b, err := json.Marshal(spec)
	assert.NilError(t, err)
	return model.Object{Kind: k, Name: name, Owner: "o", Spec: b}
}

func newProxy(w *fixedCluster) *Proxy {
	return New(Options{
		Domain: "a-1", Cluster: w, Allowances: w, Headers: DefaultHeaders, Log: log.NewNopLogger(),
		Budget: BudgetOptions{Ratio: 1, Burst: 10, Window: 10 * time.Second},
	})
}

func doRequest(p http.Handler, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, "id-1")
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// The result at the target decides the response to the caller, and whether a second target is
// tried.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		script string
		// safe and once are the expected statuses of requests that may and may not run again,
		// with the expected number of sends to the two targets.
		safe, safeSends int
		once, onceSends int
	}{
		{"a complete response", okResponse, 200, 1, 200, 1},
		{"a response ended by closing the connection", noLength, 200, 1, 200, 1},
		{"a response to another request first", strayThenOK, 200, 1, 200, 1},
		{"refused before it ran", shed, 503, 2, 503, 2},
		{"another target at the address", misdirected, 503, 2, 503, 2},
		{"a success without a digest", noDigest, 502, 2, 502, 1},
		{"a truncated response", truncatedResponse, 502, 2, 502, 1},
		{"a closed connection", hangUp, 502, 2, 502, 1},
		{"a failure of the target", serverError, 500, 2, 500, 1},
		{"a status that implies not run", plainUnavailable, 502, 2, 502, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, x := range []struct {
				path          string
				status, sends int
			}{{"/safe/x", tt.safe, tt.safeSends}, {"/once/x", tt.once, tt.onceSends}} {
				a, b := newFakeTarget(t, tt.script), newFakeTarget(t, tt.script)
				w := doRequest(newProxy(clusterOf(t, a, b)), http.MethodPost, x.path, "in")
				assert.Equal(t, w.Code, x.status, "%s: %s", x.path, w.Body)
				assert.Equal(t, a.requests()+b.requests(), x.sends, x.path)
				if x.status == http.StatusServiceUnavailable {
					assert.Assert(t, w.Header().Get("Retry-After") != "")
				}
				assert.Assert(t, x.status == 200 || w.Header().Get(DefaultHeaders.Digest) == "")
			}
		})
	}
}

// Method, path, query, body and headers reach the target unchanged.
func TestForwardedUnchanged(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	p := newProxy(clusterOf(t, s))
	r := httptest.NewRequest(http.MethodPut, "/safe/a%2Fb/../c?x=%41&y", strings.NewReader("in"))
	r.RequestURI = "/safe/a%2Fb/../c?x=%41&y"
	r.Host = "h.example"
	r.Header = http.Header{
		DefaultHeaders.RequestID: {"id-1"}, DefaultHeaders.Deadline: {"900"}, "X-Own": {"1", "2"}, "Connection": {"X-Hop"}, "X-Hop": {"no"}, "Te": {"trailers"},
	}
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "body")
	got := s.received[0]
	assert.Equal(t, got.Method, http.MethodPut)
	assert.Equal(t, got.RequestURI, "/safe/a%2Fb/../c?x=%41&y")
	assert.Equal(t, got.Host, "h.example")
	assert.Equal(t, s.bodies[0], "in")
	assert.DeepEqual(t, got.Header["X-Own"], []string{"1", "2"})
	assert.Equal(t, got.Header.Get(DefaultHeaders.WantTarget), "t0")
	for _, h := range []string{"X-Hop", "Te", "User-Agent", "Accept-Encoding"} {
		assert.Equal(t, got.Header.Get(h), "", h)
	}
	left := got.Header.Get(DefaultHeaders.Deadline)
	assert.Assert(t, left != "" && len(left) <= 3 && left <= "900", left)
}

// The proxy itself responds if the routing is missing or may be outdated, if no route or target
// matches, or if the body is too large.
func TestLocalResponses(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	stale := clusterOf(t, s)
	stale.fresh = false
	empty := clusterOf(t, s)
	empty.c.Routing = nil
	small := clusterOf(t, s)
	small.c.Routing.Limits.MaxBodyBytes = 1
	none := clusterOf(t)
	tests := []struct {
		name   string
		world  *fixedCluster
		path   string
		status int
	}{
		{"no routing yet", empty, "/safe/x", http.StatusServiceUnavailable},
		{"no route", clusterOf(t, s), "/other/x", http.StatusNotFound},
		{"no route, routing may be outdated", stale, "/other/x", http.StatusServiceUnavailable},
		{"a route, routing may be outdated", stale, "/safe/x", http.StatusOK},
		{"a body that is too large", small, "/safe/x", http.StatusRequestEntityTooLarge},
		{"no target", none, "/safe/x", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			from := time.Now()
			w := doRequest(newProxy(tt.world), http.MethodPost, tt.path, "in")
			assert.Equal(t, w.Code, tt.status, w.Body.String())
			assert.Assert(t, time.Since(from) < time.Second, "the response was delayed")
		})
	}
}

// A caller that disconnects stops the work on a request that may run again. A request that runs
// at most once is completed.
func TestCallerDisconnects(t *testing.T) {
	tests := []struct {
		path  string
		stops bool
	}{{"/safe/x", true}, {"/once/x", false}}
	for _, tt := range tests {
		s := newFakeTarget(t, noResponse)
		srv := httptest.NewServer(newProxy(clusterOf(t, s)))
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+tt.path, strings.NewReader("in"))
		assert.NilError(t, err)
		r.Host = "h.example"
		r.Header.Set(DefaultHeaders.RequestID, "id-1")
		go func() {
			for s.requests() == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		_, err = http.DefaultClient.Do(r) //nolint:bodyclose // There is no answer.
		assert.Assert(t, err != nil)
		select {
		case <-s.closed:
			assert.Assert(t, tt.stops, "%s was stopped", tt.path)
		case <-time.After(400 * time.Millisecond):
			assert.Assert(t, !tt.stops, "%s was not stopped", tt.path)
		}
		srv.Close()
	}
}

// A target that does not respond does not hold the caller past its deadline.
func TestDeadline(t *testing.T) {
	s := newFakeTarget(t, noResponse)
	p := newProxy(clusterOf(t, s))
	r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, "id-1")
	r.Header.Set(DefaultHeaders.Deadline, "300")
	w := httptest.NewRecorder()
	from := time.Now()
	p.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(from) < 700*time.Millisecond, "took %s", time.Since(from))
}

// Load pattern: every target refuses all requests. Regardless of the number of VMs, their retries
// together stay within the retry budget.
func TestRetryBudgetOfAllVMs(t *testing.T) {
	for _, n := range []int{3, 11, 71} {
		const burst, each = 58.0, 20
		repeats := 0
		for range n {
			p := newProxy(&fixedCluster{vms: n})
			p.o.Budget = BudgetOptions{Ratio: 0.2, Burst: burst, Window: 10 * time.Second}
			p.retryBudgets.o = p.o.Budget
			for range each {
				p.retryBudgets.get("s").CountBase(p.now())
				if p.acquireRetry("s") {
					repeats++
				}
			}
		}
		assert.Assert(t, float64(repeats) <= 0.2*float64(each*n)+burst, "%d repeats of %d VMs", repeats, n)
	}
}

// A proxy that has just started does not serve with a catalogue that may be outdated, in which
// targets that have left may still be in use. It serves once the catalogue is confirmed to be the
// newest, or after a timeout if no replica can confirm it.
func TestFirstCatalogueMayBeOutdated(t *testing.T) {
	const firstFresh = 300 * time.Millisecond
	tests := []struct {
		name string
		// freshAt is when the catalogue is confirmed to be the newest, 0 for never.
		freshAt, askedAt time.Duration
		majorityRead     bool
		status           int
	}{
		{"not confirmed yet", 0, 0, false, 503},
		{"confirmed", 20 * time.Millisecond, 40 * time.Millisecond, false, 200},
		{"other replicas have nothing newer", 0, 0, true, 200},
		{"not confirmed within the timeout", 0, firstFresh + 20*time.Millisecond, false, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			w := clusterOf(t, s)
			w.fresh, w.majorityRead = false, tt.majorityRead
			p := newProxy(w)
			p.o.FreshTimeout = firstFresh
			if tt.freshAt > 0 {
				time.Sleep(tt.freshAt)
				w.fresh = true
				assert.Assert(t, p.hasUsableCatalogue())
				w.fresh = false
			}
			time.Sleep(tt.askedAt - tt.freshAt)
			assert.Equal(t, doRequest(p, http.MethodPost, "/once/x", "in").Code, tt.status)
			assert.Equal(t, p.Ready(), tt.status == 200)
		})
	}
}
