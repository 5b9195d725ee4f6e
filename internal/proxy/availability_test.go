package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// newRaw returns a target that calls serve for each request on a connection, until it returns
// false.
func newRaw(t *testing.T, serve func(net.Conn, *http.Request) bool) *fakeTarget {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeTarget{t: t, lis: lis, closed: make(chan struct{}, 256)}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					s.mu.Lock()
					s.received = append(s.received, r)
					s.mu.Unlock()
					if !serve(c, r) {
						select {
						case s.closed <- struct{}{}:
						default:
						}
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { lis.Close() })
	return s
}

// writeResponse writes a line of a script.
func writeResponse(c net.Conn, r *http.Request, line string) bool {
	_, err := io.WriteString(c, strings.ReplaceAll(line, "ID", r.Header.Get(DefaultHeaders.RequestID)))
	return err == nil
}

// doRequestAs sends a request with the given id.
func doRequestAs(p http.Handler, id, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("in"))
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, id)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// A target that announces in a response that it leaves gets no new requests from this VM, and the
// response is delivered. A header with another value, or on the response to another request, has
// no effect.
func TestTargetLeaves(t *testing.T) {
	leaving := func(v string) string { return strings.Replace(okResponse, "\r\n", "\r\nEel-Leaving: "+v+"\r\n", 1) }
	tests := []struct {
		name   string
		script string
		status int
		leaves bool
	}{
		{"with a success", leaving("1"), 200, true},
		{"with a refusal", strings.Replace(shed, "\r\n", "\r\nEel-Leaving: 1\r\n", 1), 503, true},
		{"with a failure", strings.Replace(serverError, "\r\n", "\r\nEel-Leaving: 1\r\n", 1), 500, true},
		{"another value", leaving("soon"), 200, false},
		{"an empty value", leaving(""), 200, false},
		{"with the response to another request", strings.Replace(strayThenOK, "\r\n", "\r\nEel-Leaving: 1\r\n", 1), 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, tt.script)
			p := newProxy(clusterOf(t, s))
			w := doRequestAs(p, "id-1", "/once/x")
			assert.Equal(t, w.Code, tt.status)
			if tt.status == 200 {
				assert.Equal(t, w.Body.String(), "body")
			}
			before := s.requests()
			for i := range 3 {
				doRequestAs(p, fmt.Sprintf("later-%d", i), "/once/x")
			}
			assert.Equal(t, s.requests() == before, tt.leaves)
		})
	}
}

// A 421 means that another target has the address. The leave and pause headers of that response
// do not apply to the target that the request was for.
func TestSignalsOfAnotherTarget(t *testing.T) {
	s := newFakeTarget(t, strings.Replace(misdirected, "\r\n", "\r\nEel-Leaving: 1\r\nRetry-After: 60\r\n", 1))
	w := clusterOf(t, s)
	p := newProxy(w)
	doRequestAs(p, "id-1", "/once/x")
	x := p.registry.byID["t0"]
	assert.Assert(t, x.addressTakenUntil > p.now())
	assert.Assert(t, x.leavingAt == 0 && x.pausedUntil == 0)
}

// A target that has left may restart under its name, and is then used again.
func TestLeavingTargetRestarts(t *testing.T) {
	s := newFakeTarget(t, strings.Replace(okResponse, "\r\n", "\r\nEel-Leaving: 1\r\n", 1), okResponse)
	w := clusterOf(t, s)
	p := newProxy(w)
	assert.Equal(t, doRequestAs(p, "id-1", "/once/x").Code, 200)
	assert.Equal(t, doRequestAs(p, "id-2", "/once/x").Code, 503)
	c, err := w.c.With(2, []model.Object{object(t, model.ObjectTarget, "t0", model.Target{
		Service: "s", FailureDomain: "a-1", Addr: s.lis.Addr().String(), Slots: 3, State: model.TargetReady, Incarnation: 2,
	})}, nil)
	assert.NilError(t, err)
	w.c = c
	assert.Equal(t, doRequestAs(p, "id-3", "/once/x").Code, 200)
}

// Requests that wait for a target that announces that it leaves are rerouted to another at once.
func TestQueueOfLeavingTargetIsRerouted(t *testing.T) {
	release := make(chan struct{})
	leaves := newRaw(t, func(c net.Conn, r *http.Request) bool {
		<-release
		return writeResponse(c, r, strings.Replace(okResponse, "\r\n", "\r\nEel-Leaving: 1\r\n", 1))
	})
	w := clusterOf(t, leaves)
	p := newProxy(w)
	var g sync.WaitGroup
	var ok atomic.Int64
	const requests = 6
	for i := range requests {
		g.Go(func() {
			if doRequestAs(p, fmt.Sprintf("id-%d", i), "/once/x").Code == 200 {
				ok.Add(1)
			}
		})
	}
	for leaves.requests() < 3 {
		time.Sleep(time.Millisecond)
	}
	stays := newFakeTarget(t, okResponse)
	c, err := w.c.With(2, []model.Object{object(t, model.ObjectTarget, "t1", model.Target{
		Service: "s", FailureDomain: "a-1", Addr: stays.lis.Addr().String(), Slots: 3, State: model.TargetReady, Incarnation: 1,
	})}, nil)
	assert.NilError(t, err)
	p.registry.update(c)
	close(release)
	g.Wait()
	assert.Equal(t, leaves.requests(), 3)
	assert.Equal(t, stays.requests(), requests-3)
	assert.Equal(t, ok.Load(), int64(requests))
}

func TestParsePause(t *testing.T) {
	tests := []struct {
		name, value string
		status      int
		want        time.Duration
	}{
		{"whole seconds", "2", 503, 2 * time.Second},
		{"a fraction", "0.25", 503, 250 * time.Millisecond},
		{"spaces", " 1.5 ", 503, 1500 * time.Millisecond},
		{"absent", "", 503, 0},
		{"zero", "0", 503, 0},
		{"negative", "-3", 503, 0},
		{"hours", "86400", 503, maxPause},
		{"out of range", "1e400", 503, 0},
		{"infinite", "Inf", 503, maxPause},
		{"not a number", "NaN", 503, 0},
		{"a date", "Fri, 04 Dec 2026 09:00:00 GMT", 503, 0},
		{"another status", "2", 429, 0},
		{"a success", "2", 200, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Header{}
			if tt.value != "" {
				h.Set(headerRetryAfter, tt.value)
			}
			assert.Equal(t, parsePause(tt.status, h), tt.want)
		})
	}
}

// Load pattern: a target refuses requests and announces a pause. It gets no requests during the
// pause, other targets serve meanwhile, and afterwards its load is raised step by step.
func TestTargetPauses(t *testing.T) {
	const pause = 400 * time.Millisecond
	busy := newFakeTarget(t, strings.Replace(shed, "\r\n", "\r\nRetry-After: 0.4\r\n", 1), okResponse)
	other := newFakeTarget(t, okResponse)
	p := newProxy(clusterOf(t, busy, other))
	from := time.Now()
	served := 0
	for i := 0; time.Since(from) < pause-50*time.Millisecond; i++ {
		w := doRequestAs(p, fmt.Sprintf("id-%d", i), "/once/x")
		assert.Equal(t, w.Code, 200, "a caller was refused because one target pauses: %s", w.Body)
		served++
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, busy.requests(), 1)
	time.Sleep(2 * (pause - time.Since(from)))
	for i := 0; busy.requests() < 3 && i < 1000; i++ {
		doRequestAs(p, fmt.Sprintf("again-%d", i), "/once/x")
	}
	assert.Assert(t, busy.requests() >= 3, "the target is not used again")
}

// After a pause one request at a time is allowed, and one more with each success.
func TestRampUpAfterPause(t *testing.T) {
	x := &target{record: model.Target{State: model.TargetReady, Slots: 3}, dispatcher: newDispatcher(3)}
	x.updateAvailability(result{outcome: notRun, pause: time.Second}, 0)
	assert.Assert(t, !x.usable(999*time.Millisecond))
	now := 1001 * time.Millisecond
	for allowed := 1; allowed <= 3; allowed++ {
		for range allowed {
			assert.Assert(t, x.usable(now), "%d allowed", allowed)
			x.sendStarted()
		}
		assert.Assert(t, !x.usable(now), "more than %d allowed", allowed)
		for range allowed {
			x.inFlight--
		}
		x.updateAvailability(result{outcome: responded, status: 200}, now)
	}
	assert.Equal(t, x.rampLimit, 0)
	x.updateAvailability(result{outcome: notRun, pause: time.Second}, now)
	assert.Equal(t, x.rampLimit, 1, "a second pause must reset the limit to 1")
}

// Load pattern: all targets pause at the same time. Callers are refused at once with a
// Retry-After of the end of the shortest pause, spread so that they do not all retry at the same
// moment.
func TestAllTargetsPause(t *testing.T) {
	line := strings.Replace(shed, "\r\n", "\r\nRetry-After: 3\r\n", 1)
	p := newProxy(clusterOf(t, newFakeTarget(t, line), newFakeTarget(t, line)))
	doRequestAs(p, "id-1", "/once/x")
	delays := map[string]bool{}
	for i := range 20 {
		from := time.Now()
		w := doRequestAs(p, fmt.Sprintf("later-%d", i), "/once/x")
		assert.Equal(t, w.Code, 503)
		assert.Assert(t, time.Since(from) < 200*time.Millisecond, "the refusal was delayed")
		var s float64
		_, err := fmt.Sscan(w.Header().Get("Retry-After"), &s)
		assert.NilError(t, err)
		assert.Assert(t, s > 2.5 && s < 3.5, "Retry-After is %g s", s)
		delays[fmt.Sprintf("%.1f", s)] = true
	}
	assert.Assert(t, len(delays) > 1, "all callers retry at the same moment")
}

// A target sends a refusal without an id twice, the second time late, when the connection may be
// in use again. It must not be taken for the response to the next request, which runs.
func TestDuplicateLateRefusal(t *testing.T) {
	var sent atomic.Int64
	ran := make(chan string, 16)
	s := newRaw(t, func(c net.Conn, r *http.Request) bool {
		if sent.Add(1) == 1 {
			if !writeResponse(c, r, shed) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
			return writeResponse(c, r, shed)
		}
		ran <- r.Header.Get(DefaultHeaders.RequestID)
		time.Sleep(100 * time.Millisecond)
		return writeResponse(c, r, okResponse)
	})
	p := newProxy(clusterOf(t, s))
	assert.Equal(t, doRequestAs(p, "id-1", "/once/x").Code, 503)
	w := doRequestAs(p, "id-2", "/once/x")
	assert.Equal(t, w.Code, 200, w.Body.String())
	assert.Equal(t, w.Header().Get(DefaultHeaders.RequestID), "id-2")
	assert.Equal(t, <-ran, "id-2")
}
