package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/queue"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// keyedCluster is a cluster whose routing requires keys. Workspace "w" holds key "good", and
// "far" holds key "away" and has another home region.
func keyedCluster(t *testing.T, targets ...*fakeTarget) *fixedCluster {
	t.Helper()
	w := clusterOf(t, targets...)
	rank := 0
	c, err := w.c.With(2, []model.Object{
		object(t, model.ObjectWorkspace, "w", model.Workspace{
			Keys: []model.KeyDigest{model.DigestOf("good"), model.DigestOf("good2")}, Priority: &rank,
			Allowance: model.Allowance{PerSecond: 10, Burst: 10},
		}),
		object(t, model.ObjectWorkspace, "far", model.Workspace{
			Keys: []model.KeyDigest{model.DigestOf("away")}, HomeRegions: []model.RegionID{"b"},
		}),
	}, nil)
	assert.NilError(t, err)
	c.Routing.Keyed = true
	w.c = c
	return w
}

// doRequestWith sends a request with header fields, given as alternating names and values.
func doRequestWith(p http.Handler, path string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("in"))
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, "id-1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// A request whose key is missing, malformed or unknown gets a 401. Neither the key nor a
// workspace that the caller claims is forwarded to the target.
func TestKeys(t *testing.T) {
	const auth = "Authorization"
	tests := []struct {
		name   string
		header []string
		status int
		// workspace is the workspace that the target receives.
		workspace string
	}{
		{"a key", []string{auth, "Bearer good"}, 200, "w"},
		{"the other key", []string{auth, "Bearer good2"}, 200, "w"},
		{"another letter case of the scheme", []string{auth, "bEARER good"}, 200, "w"},
		{"surrounding blanks", []string{auth, "  Bearer   good "}, 200, "w"},
		{"another letter case of the header", []string{"aUTHORIZATION", "Bearer good"}, 200, "w"},
		{"the header named in Connection", []string{auth, "Bearer good", "Connection", "authorization, eel-workspace"}, 200, "w"},
		{"a workspace of the caller's own", []string{auth, "Bearer good", "Eel-Workspace", "x", "eel-workspace", "far"}, 200, "w"},
		{"no key", nil, 401, ""},
		{"an empty header", []string{auth, ""}, 401, ""},
		{"an empty key", []string{auth, "Bearer "}, 401, ""},
		{"no scheme", []string{auth, "good"}, 401, ""},
		{"another scheme", []string{auth, "Basic good"}, 401, ""},
		{"two keys", []string{auth, "Bearer good", auth, "Bearer good2"}, 401, ""},
		{"an unknown key", []string{auth, "Bearer bad"}, 401, ""},
		{"another letter case of the key", []string{auth, "Bearer Good"}, 401, ""},
		{"a key with trailing text", []string{auth, "Bearer good x"}, 401, ""},
		{"a key of 64 KB", []string{auth, "Bearer " + strings.Repeat("k", 64<<10)}, 401, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			p := newProxy(keyedCluster(t, s))
			w := doRequestWith(p, "/safe/x", tt.header...)
			assert.Equal(t, w.Code, tt.status, w.Body)
			assert.Assert(t, !strings.Contains(w.Body.String(), "good"), "the response contains the key")
			if tt.status != http.StatusOK {
				assert.Equal(t, s.requests(), 0)
				return
			}
			got := s.received[0].Header
			assert.DeepEqual(t, got["Eel-Workspace"], []string{tt.workspace})
			for k, v := range got {
				assert.Assert(t, !strings.Contains(strings.Join(v, " "), "good"), "%s carries the key", k)
			}
		})
	}
}

// While a workspace of the catalogue could not be read, an unknown key may be one of its keys. Its
// request is refused for now and not for good, and other workspaces are served.
func TestKeysOfUnreadableWorkspace(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	x := keyedCluster(t, s)
	bad := object(t, model.ObjectWorkspace, "later", map[string]int{"later": 1})
	x.c = x.c.Apply(3, []model.Object{bad}, nil)
	p := newProxy(x)
	w := doRequestWith(p, "/safe/x", "Authorization", "Bearer unknown")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	assert.Equal(t, doRequestWith(p, "/safe/x", "Authorization", "Bearer good").Code, http.StatusOK)
}

// If the routing requires no keys, all headers are forwarded unchanged.
func TestKeysNotRequired(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	w := doRequestWith(newProxy(clusterOf(t, s)), "/safe/x", "Authorization", "Bearer own", "Eel-Workspace", "own")
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, s.received[0].Header.Get("Authorization"), "Bearer own")
	assert.Equal(t, s.received[0].Header.Get("Eel-Workspace"), "own")
}

// A public route needs no key, and an unknown key is ignored there.
func TestPublicRoutes(t *testing.T) {
	tests := []struct{ name, key, workspace string }{
		{"no key", "", ""}, {"a key", "Bearer good", "w"}, {"an unknown key", "Bearer bad", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			w := keyedCluster(t, s)
			for i := range w.c.Routing.Hosts {
				for j := range w.c.Routing.Hosts[i].Routes {
					w.c.Routing.Hosts[i].Routes[j].Public = true
				}
			}
			var h []string
			if tt.key != "" {
				h = []string{"Authorization", tt.key}
			}
			assert.Equal(t, doRequestWith(newProxy(w), "/safe/x", h...).Code, http.StatusOK)
			assert.Equal(t, s.received[0].Header.Get("Eel-Workspace"), tt.workspace)
			assert.Equal(t, s.received[0].Header.Get("Authorization"), "")
		})
	}
}

// Keys stay valid for a limited time after the catalogue was last confirmed to be the newest. A
// VM that may not know a new key yet does not respond that the key is unknown.
func TestConfirmationAge(t *testing.T) {
	const life = 5 * time.Second
	tests := []struct {
		name   string
		ago    time.Duration
		fresh  bool
		life   time.Duration
		key    string
		status int
	}{
		{"just confirmed", 0, true, life, "good", 200},
		{"nearly too old", life - life/clockDriftDivisor - 100*time.Millisecond, false, life, "good", 200},
		{"too old", life - life/clockDriftDivisor, false, life, "good", 503},
		{"never confirmed", -1, false, life, "good", 503},
		{"never confirmed, and no key lifetime is set", -1, false, 0, "good", 200},
		{"an unknown key, catalogue confirmed", 0, true, life, "bad", 401},
		{"an unknown key, catalogue not confirmed", time.Second, false, life, "bad", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			w := keyedCluster(t, s)
			w.confirmedAgo, w.fresh, w.majorityRead = tt.ago, tt.fresh, true
			p := newProxy(w)
			p.o.KeyLife = tt.life
			a := doRequestWith(p, "/safe/x", "Authorization", "Bearer "+tt.key)
			assert.Equal(t, a.Code, tt.status, a.Body)
			if tt.status != http.StatusOK {
				assert.Equal(t, s.requests(), 0)
			}
		})
	}
}

// After a restart of all processes, refused callers retry after an election, spread over time. If
// only this VM has lost the leader, they retry soon.
func TestRetryAfterFullRestart(t *testing.T) {
	tests := []struct {
		name        string
		ago         time.Duration
		least, most time.Duration
	}{
		{"just started", -1, firstConfirmationTime - 200*time.Millisecond, firstConfirmationTime + retrySpread},
		{"cut off from the leader", 10 * time.Second, retryDelay, retryDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := keyedCluster(t)
			w.confirmedAgo, w.fresh, w.majorityRead = tt.ago, false, true
			p := newProxy(w)
			p.o.KeyLife = 5 * time.Second
			early := 0
			for i := range 100 {
				d := p.untilConfirmed(&request{id: strings.Repeat("x", i)})
				assert.Assert(t, d >= tt.least && d <= tt.most, "%s", d)
				if d < (tt.least+tt.most)/2 {
					early++
				}
			}
			assert.Assert(t, tt.least == tt.most || early > 25 && early < 75, "%d of 100 retry in the first half", early)
		})
	}
}

// The confirmation age is checked again after a request has waited in the queue.
func TestConfirmationExpiresInQueue(t *testing.T) {
	s := newFakeTarget(t, noResponse)
	w := keyedCluster(t, s)
	p := newProxy(w)
	p.o.KeyLife = time.Second
	d := fillSlots(t, p, w)
	got := make(chan int, 1)
	go func() { got <- doRequestWith(p, "/once/x", "Authorization", "Bearer good").Code }()
	waitFor(t, func() bool { return queued(d) == 1 })
	w.setConfirmed(time.Minute)
	d.done(runningTickets(d)[0], true, p.now())
	assert.Equal(t, <-got, http.StatusServiceUnavailable)
	assert.Equal(t, s.requests(), 0)
}

// A VM that is about to stop refuses the requests that wait for a target, and sends no more.
func TestStopDispatch(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	w := keyedCluster(t, s)
	p := newProxy(w)
	d := fillSlots(t, p, w)
	got := make(chan *httptest.ResponseRecorder, 1)
	go func() { got <- doRequestWith(p, "/once/x", "Authorization", "Bearer good") }()
	waitFor(t, func() bool { return queued(d) == 1 })
	p.StopDispatch()
	a := <-got
	assert.Equal(t, a.Code, http.StatusServiceUnavailable, a.Body)
	assert.Equal(t, doRequestWith(p, "/once/x", "Authorization", "Bearer good").Code, http.StatusServiceUnavailable)
	assert.Equal(t, s.requests(), 0)
}

// A request that exceeds the allowance is refused at once with a Retry-After, and a request that
// did not run is refunded.
func TestAllowance(t *testing.T) {
	s := newFakeTarget(t, shed, shed, okResponse)
	w := keyedCluster(t, s)
	w.allowed = map[model.WorkspaceID]int{"w": 1}
	p := newProxy(w)
	p.o.AllowanceWindow = 5 * time.Second
	assert.Equal(t, doRequestWith(p, "/safe/x", "Authorization", "Bearer good").Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.allowed["w"], 1, "a request that did not run was charged")
	assert.Equal(t, doRequestWith(p, "/safe/x", "Authorization", "Bearer good").Code, http.StatusServiceUnavailable)
	assert.Equal(t, doRequestWith(p, "/safe/x", "Authorization", "Bearer good").Code, http.StatusOK)
	from := time.Now()
	a := doRequestWith(p, "/safe/x", "Authorization", "Bearer good")
	assert.Equal(t, a.Code, http.StatusTooManyRequests)
	assert.Assert(t, a.Header().Get("Retry-After") != "")
	assert.Assert(t, time.Since(from) < time.Second)
}

// The home regions of the workspace apply in addition to those of the route, and its priority has
// precedence.
func TestHomesAndPriority(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	p := newProxy(keyedCluster(t, s))
	from := time.Now()
	assert.Equal(t, doRequestWith(p, "/safe/x", "Authorization", "Bearer away").Code, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(from) < time.Second, "the refusal was delayed")
	assert.Equal(t, s.requests(), 0)
	rank := 0
	tests := []struct {
		name         string
		route, space []model.RegionID
		region       model.RegionID
		home         bool
	}{
		{"none", nil, nil, "a", true},
		{"of the route", []model.RegionID{"a"}, nil, "a", true},
		{"of the workspace", nil, []model.RegionID{"b"}, "a", false},
		{"both", []model.RegionID{"a", "b"}, []model.RegionID{"b", "c"}, "b", true},
		{"only one of both", []model.RegionID{"a", "b"}, []model.RegionID{"b", "c"}, "c", false},
	}
	for _, tt := range tests {
		q := &request{route: model.Route{HomeRegions: tt.route, Priority: 3}}
		q.access.workspace = model.Workspace{HomeRegions: tt.space}
		assert.Equal(t, q.isAllowedIn(tt.region), tt.home, tt.name)
		assert.Equal(t, q.priority(), 3)
		q.access.workspace.Priority = &rank
		assert.Equal(t, q.priority(), 0)
	}
}

// fillSlots takes all slots of the only target of a cluster.
func fillSlots(t *testing.T, p *Proxy, w *fixedCluster) *dispatcher {
	t.Helper()
	p.registry.update(w.c)
	d := p.registry.byID["t0"].dispatcher
	for range 3 {
		_, start, _, why := d.admit(queue.Request{Deadline: time.Hour, Objective: time.Hour, WarmTime: time.Millisecond}, p.now())
		assert.Equal(t, why, "")
		<-start
	}
	return d
}

func runningTickets(d *dispatcher) []*queue.Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Running()
}

// queued returns the number of requests that wait in a queue.
func queued(d *dispatcher) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, n := d.queue.Load()
	return n
}

func waitFor(t *testing.T, isDone func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !isDone(); {
		assert.Assert(t, time.Now().Before(until), "condition not met within 5 s")
		time.Sleep(time.Millisecond)
	}
}
