package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/proxy"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// fixedCluster is a cluster of one VM with a fixed catalogue.
type fixedCluster struct{ c *model.Catalogue }

func (f fixedCluster) Catalogue() *model.Catalogue          { return f.c }
func (fixedCluster) Fresh() bool                            { return true }
func (fixedCluster) MajorityRead() bool                     { return true }
func (fixedCluster) VMCount(model.RegionID) int             { return 1 }
func (fixedCluster) Position(string) limit.Position         { return limit.Position{VMs: 1, Domains: 1} }
func (fixedCluster) PeerAddrs() []string                    { return nil }
func (fixedCluster) Entries(model.RegionID) []wire.Entry    { return nil }
func (fixedCluster) ConfirmationAge() (time.Duration, bool) { return 0, true }

// stopCatalogue returns a catalogue with one target and a route that runs requests at most once.
func stopCatalogue(t *testing.T, addr string, timeout time.Duration) *model.Catalogue {
	t.Helper()
	object := func(k model.ObjectKind, name string, spec any) model.Object {
		b, err := json.Marshal(spec)
		assert.NilError(t, err)
		return model.Object{Kind: k, Name: name, Owner: "o", Spec: b}
	}
	c, err := model.NewCatalogue(1, []model.Object{
		object(model.ObjectRegion, "a", model.Region{}),
		object(model.ObjectFailureDomain, "a-1", model.FailureDomain{Region: "a"}),
		object(model.ObjectRouting, model.RoutingName, model.Routing{Revision: 1, Services: []model.RoutedService{{Name: "s"}}, Hosts: []model.VirtualHost{{
			Host: "h.example", Routes: []model.Route{{
				Name: "once", Prefix: "/once/", Delivery: model.AtMostOnce, ObjectiveMillis: 400, TimeoutMillis: model.Millis(timeout.Milliseconds()), MaxAttempts: 2,
				Split: []model.SplitPart{{Service: "s", Weight: 1}},
			}},
		}}}),
		object(model.ObjectTarget, "t0", model.Target{Service: "s", FailureDomain: "a-1", Addr: addr, Slots: 100, State: model.TargetReady, Incarnation: 1}),
	})
	assert.NilError(t, err)
	return c
}

// Callers send requests that must not be repeated on kept connections until these are closed, while the
// entry stops as planned. A request that comes late in the grace and takes long was passed on and cut
// at the end of the grace: each one that reaches the target must be answered whole.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	const callers = 24
	tests := []struct {
		grace, timeout, minServiceTime, maxServiceTime time.Duration
	}{
		{6 * time.Second, 2500 * time.Millisecond, 2 * time.Second, 2400 * time.Millisecond},
		{6 * time.Second, 2500 * time.Millisecond, 0, 2400 * time.Millisecond},
		{6 * time.Second, 2500 * time.Millisecond, 0, 300 * time.Millisecond},
		{6 * time.Second, 5 * time.Second, 3 * time.Second, 4800 * time.Millisecond},
		{10 * time.Second, 6 * time.Second, 0, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("grace %v, service times of %v to %v", tt.grace, tt.minServiceTime, tt.maxServiceTime), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			ran := map[string]bool{}
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(proxy.DefaultHeaders.RequestID)
				mu.Lock()
				ran[id] = true
				mu.Unlock()
				time.Sleep(tt.minServiceTime + rand.N(tt.maxServiceTime-tt.minServiceTime))
				w.Header().Set(proxy.DefaultHeaders.RequestID, id)
				w.Header().Set(proxy.DefaultHeaders.Digest, "d")
				_, _ = io.WriteString(w, "body")
			}))
			defer target.Close()
			k := auth.NewKey("k")
			x, err := entry.New(entry.Options{
				ID: "v", Addr: "127.0.0.1:1", Domain: "a-1", Replicas: []string{"127.0.0.1:1"}, Key: k, Log: log.NewNopLogger(), Dial: (&net.Dialer{}).DialContext,
			})
			assert.NilError(t, err)
			c := fixedCluster{stopCatalogue(t, target.Listener.Addr().String(), tt.timeout)}
			f := proxy.New(proxy.Options{
				Domain: "a-1", Cluster: c, Headers: proxy.DefaultHeaders, Log: log.NewNopLogger(), Key: k, Ends: x,
				Budget: proxy.BudgetOptions{Ratio: 1, Burst: 10, Window: 10 * time.Second},
			})
			d := &daemon{l: log.NewNopLogger(), failed: make(chan error, 1)}
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			addr := lis.Addr().String()
			assert.NilError(t, lis.Close())
			_, err = d.serveClients("clients", addr, f, 0, func() model.RequestLimits { return requestLimits(c.Catalogue()) })
			assert.NilError(t, err)
			var g sync.WaitGroup
			var answered, cut, closed int
			stopped := make(chan struct{})
			for n := range callers {
				g.Go(func() {
					for i := 0; ; i++ {
						n, passedOn := callUntilClosed(addr, fmt.Sprintf("c%d-%d", n, i), func(id string) bool {
							mu.Lock()
							defer mu.Unlock()
							return ran[id]
						})
						mu.Lock()
						answered += n
						if passedOn {
							cut++
						} else {
							closed++
						}
						mu.Unlock()
						select {
						case <-stopped:
							return
						case <-time.After(50 * time.Millisecond):
						}
					}
				})
			}
			time.Sleep(time.Second)
			start := time.Now()
			d.stopEntry(x, f, tt.grace)
			assert.Check(t, time.Since(start) < tt.grace)
			close(stopped)
			g.Wait()
			t.Logf("%d requests answered, %d connections closed, %d requests cut", answered, closed, cut)
			assert.Assert(t, answered >= callers)
			assert.Equal(t, cut, 0, "requests were passed on and not answered")
			assert.NilError(t, f.Close())
			assert.NilError(t, x.Close())
		})
	}
}

// callUntilClosed sends requests on one connection until it ends. It returns the number of whole answers,
// and whether a request was passed on to the target and not answered.
func callUntilClosed(addr, name string, ran func(id string) bool) (answered int, cut bool) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	b := bufio.NewReader(c)
	for ; ; answered++ {
		id := fmt.Sprintf("%s-%d", name, answered)
		if _, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nContent-Length: 2\r\n\r\nin", proxy.DefaultHeaders.RequestID, id); err != nil {
			return answered, ran(id)
		}
		r, err := http.ReadResponse(b, nil)
		if err != nil {
			return answered, ran(id)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return answered, true
		}
		r.Body.Close()
		time.Sleep(rand.N(100 * time.Millisecond))
	}
}
