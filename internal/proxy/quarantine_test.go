package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/poison"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// endRecorder records what a proxy reports.
type endRecorder struct {
	mu     sync.Mutex
	ends   []poison.Request
	wholes []model.RequestDigest
}

func (e *endRecorder) ReportEnd(_ model.TargetID, _ uint64, _ time.Duration, r []poison.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = append(e.ends, r...)
}

func (e *endRecorder) ReportWhole(d model.RequestDigest, _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wholes = append(e.wholes, d)
}

func (e *endRecorder) Trial(model.RequestDigest) bool { return true }

func (e *endRecorder) counts() (ends, wholes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ends), len(e.wholes)
}

func newQuarantineProxy(t *testing.T, w *fixedCluster) (*Proxy, *endRecorder) {
	t.Helper()
	e := &endRecorder{}
	p := New(Options{
		Domain: "a-1", Cluster: w, Headers: DefaultHeaders, Log: log.NewNopLogger(), Key: auth.NewKey("k"), Ends: e,
		Dial:   (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext,
		Budget: BudgetOptions{Ratio: 1, Burst: 10, Window: 10 * time.Second},
	})
	t.Cleanup(func() { assert.Check(t, p.Close() == nil) })
	return p, e
}

// setQuarantine puts the state of the request that doRequest sends into the catalogue; an empty state
// removes it.
func setQuarantine(t *testing.T, p *Proxy, w *fixedCluster, method, path, body string, s model.QuarantineState) model.RequestDigest {
	t.Helper()
	x := poison.Identity{Method: method, Host: "h.example", URI: path, Body: [][]byte{[]byte(body)}}
	d := poison.Identify(p.o.Key, x)
	c := w.Catalogue()
	put, removed := []model.Object{object(t, model.ObjectQuarantine, d.String(), model.Quarantine{State: s})}, []string(nil)
	if s == "" {
		put, removed = nil, []string{"quarantine/" + d.String()}
	}
	next, err := c.With(c.Version+1, put, removed)
	assert.NilError(t, err)
	w.setCatalogue(next)
	return d
}

// A broken connection is an end of the target only if there is a sign of that: a cut of the network,
// a reset of connections or an idle connection that is closed must not count against the requests
// that were in flight.
func TestSignsOfAnEnd(t *testing.T) {
	tests := []struct {
		name string
		// breakUp is called once the connection has broken; the request was in flight at the first of
		// two targets.
		breakUp func(t *testing.T, w *fixedCluster, a, b *fakeTarget)
		want    int
	}{
		{"the target is down", func(_ *testing.T, _ *fixedCluster, a, _ *fakeTarget) { a.lis.Close() }, 1},
		{"only the connection broke", func(*testing.T, *fixedCluster, *fakeTarget, *fakeTarget) {}, 0},
		{"no target can be reached", func(_ *testing.T, _ *fixedCluster, a, b *fakeTarget) { a.lis.Close(); b.lis.Close() }, 0},
		{"the target is back already", func(t *testing.T, w *fixedCluster, a, _ *fakeTarget) {
			w.setCatalogue(withTarget(t, w, a, model.TargetReady, 2))
		}, 1},
		{"the target leaves", func(t *testing.T, w *fixedCluster, a, _ *fakeTarget) {
			w.setCatalogue(withTarget(t, w, a, model.TargetDraining, 1))
			a.lis.Close()
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := newFakeTarget(t, hangUp), newFakeTarget(t, okResponse)
			w := clusterOf(t, a, b)
			// The second target is not used by the request, but known.
			c, err := w.c.With(2, []model.Object{object(t, model.ObjectTarget, "t1", model.Target{
				Service: "other", FailureDomain: "a-1", Addr: b.lis.Addr().String(), Slots: 3, State: model.TargetReady, Incarnation: 1,
			})}, nil)
			assert.NilError(t, err)
			w.c = c
			p, e := newQuarantineProxy(t, w)
			a.mu.Lock() // The target has the request and does not respond until it is unlocked.
			done := make(chan int)
			go func() { done <- doRequest(p, http.MethodPost, "/once/x", "body").Code }()
			time.Sleep(50 * time.Millisecond)
			tt.breakUp(t, w, a, b)
			if tt.name == "the target leaves" {
				p.registry.update(w.Catalogue())
			}
			a.mu.Unlock()
			assert.Equal(t, <-done, http.StatusBadGateway)
			deadline := time.Now().Add(endConfirmTimeout + time.Second)
			for time.Now().Before(deadline) {
				n := p.Metrics().Quarantine
				if n.Ends+n.Unconfirmed > 0 || tt.name == "the target leaves" {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			ends, _ := e.counts()
			assert.Equal(t, ends, tt.want)
		})
	}
}

// A banned request reaches no target, and its caller learns that it has not run and not to come back
// soon. Other requests of the same path are served.
func TestBannedRequest(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	w := clusterOf(t, s)
	p, _ := newQuarantineProxy(t, w)
	setQuarantine(t, p, w, http.MethodPost, "/once/x", "deadly", model.QuarantineBanned)
	a := doRequest(p, http.MethodPost, "/once/x", "deadly")
	assert.Equal(t, a.Code, http.StatusServiceUnavailable)
	assert.Equal(t, a.Header().Get("Retry-After"), "60.000")
	assert.Equal(t, s.requests(), 0)
	assert.Equal(t, doRequest(p, http.MethodPost, "/once/x", "innocent").Code, http.StatusOK)
	setQuarantine(t, p, w, http.MethodPost, "/once/x", "deadly", "")
	assert.Equal(t, doRequest(p, http.MethodPost, "/once/x", "deadly").Code, http.StatusOK)
}

// A request that is banned while its first send is under way is not sent again, and its caller is not
// told that it has not run.
func TestBannedBetweenSends(t *testing.T) {
	a, b := newFakeTarget(t, hangUp), newFakeTarget(t, hangUp)
	w := clusterOf(t, a, b)
	p, _ := newQuarantineProxy(t, w)
	a.mu.Lock()
	b.mu.Lock()
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- doRequest(p, http.MethodGet, "/safe/x", "") }()
	time.Sleep(50 * time.Millisecond)
	setQuarantine(t, p, w, http.MethodGet, "/safe/x", "", model.QuarantineBanned)
	a.mu.Unlock()
	b.mu.Unlock()
	r := <-done
	assert.Equal(t, r.Code, http.StatusBadGateway, r.Body.String())
	assert.Equal(t, a.requests()+b.requests(), 1)
}

// A suspected request waits until it is cleared or banned. If no decision comes, it is sent, one at a
// time; a whole response is reported, which clears it.
func TestSuspectedRequest(t *testing.T) {
	tests := []struct {
		name     string
		decision model.QuarantineState
		want     int
		sends    int
	}{
		{"cleared", "", http.StatusOK, 1},
		{"banned", model.QuarantineBanned, http.StatusServiceUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			w := clusterOf(t, s)
			p, _ := newQuarantineProxy(t, w)
			setQuarantine(t, p, w, http.MethodGet, "/safe/x", "", model.QuarantineSuspected)
			done := make(chan int)
			go func() { done <- doRequest(p, http.MethodGet, "/safe/x", "").Code }()
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, s.requests(), 0)
			setQuarantine(t, p, w, http.MethodGet, "/safe/x", "", tt.decision)
			assert.Equal(t, <-done, tt.want)
			assert.Equal(t, s.requests(), tt.sends)
		})
	}
	t.Run("no decision", func(t *testing.T) {
		s := newFakeTarget(t, okAfter(300*time.Millisecond))
		w := clusterOf(t, s)
		p, e := newQuarantineProxy(t, w)
		d := setQuarantine(t, p, w, http.MethodGet, "/safe/x", "", model.QuarantineSuspected)
		var g sync.WaitGroup
		codes := make([]int, 3)
		for i := range codes {
			g.Go(func() { codes[i] = doRequest(p, http.MethodGet, "/safe/x", "").Code })
		}
		g.Wait()
		assert.Equal(t, s.requests(), 1, "one at a time: %v", codes)
		_, wholes := e.counts()
		assert.Equal(t, wholes, 1)
		assert.Equal(t, e.wholes[0], d)
	})
}

// A request that got a whole response here shortly before it was suspected is reported at once, also
// if it does not come again.
func TestEarlierWholeResponseReported(t *testing.T) {
	w := clusterOf(t, newFakeTarget(t, okResponse))
	p, e := newQuarantineProxy(t, w)
	assert.Equal(t, doRequest(p, http.MethodGet, "/safe/x", "").Code, http.StatusOK)
	d := setQuarantine(t, p, w, http.MethodGet, "/safe/x", "", model.QuarantineSuspected)
	assert.Equal(t, doRequest(p, http.MethodGet, "/safe/other", "").Code, http.StatusOK)
	_, wholes := e.counts()
	assert.Equal(t, wholes, 1)
	assert.Equal(t, e.wholes[0], d)
}

// The key of a caller names it in the digest and is not part of what is logged or reported.
func TestDigestHidesKey(t *testing.T) {
	var b strings.Builder
	s := newFakeTarget(t, hangUp)
	w := clusterOf(t, s)
	e := &endRecorder{}
	p := New(Options{
		Domain: "a-1", Cluster: w, Headers: DefaultHeaders, Log: log.NewLogfmtLogger(log.NewSyncWriter(&b)), Key: auth.NewKey("k"), Ends: e,
	})
	send := func(key string) string {
		r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
		r.Host = "h.example"
		r.Header.Set(DefaultHeaders.RequestID, "id-"+fmt.Sprint(len(key)))
		r.Header.Set(DefaultHeaders.Authorization, "Bearer "+key)
		q := p.newRequest(httptest.NewRecorder(), r)
		return p.digestOf(q).String()
	}
	assert.Equal(t, send("key-of-one"), send("key-of-one"))
	assert.Assert(t, send("key-of-one") != send("key-of-other"))
	r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, "id")
	r.Header.Set(DefaultHeaders.Authorization, "Bearer key-of-one")
	p.ServeHTTP(httptest.NewRecorder(), r)
	assert.NilError(t, p.Close())
	assert.Assert(t, strings.Contains(b.String(), "digest="+send("key-of-one")), b.String())
	assert.Assert(t, !strings.Contains(b.String(), "key-of-one"))
}
