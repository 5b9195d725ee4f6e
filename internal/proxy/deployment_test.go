package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/server"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// deployment is a state replica that leads, the proxies of some VMs and targets that end under a
// request whose path contains "deadly" and are back at the same address after a while.
type deployment struct {
	t       *testing.T
	server  *server.Server
	addr    string
	key     *auth.Key
	entries []*entry.Entry
	proxies []*Proxy
	targets []*mortalTarget
	dialers []*switchedDialer
}

const (
	mortalDownTime  = 700 * time.Millisecond
	mortalHeartbeat = 200 * time.Millisecond
)

// mortalTarget is a target that ends under a deadly request.
type mortalTarget struct {
	d           *deployment
	index       int
	addr        string
	mu          sync.Mutex
	incarnation uint64
	conns       map[net.Conn]bool
	lis         net.Listener
	// deadly are the times at which a deadly request arrived.
	deadly []time.Time
	ends   []time.Time
	stop   chan struct{}
}

func newDeployment(t *testing.T, vms, targets int) *deployment {
	t.Helper()
	d := &deployment{t: t, key: auth.NewKey("k")}
	peers := server.NewPeers(d.key, nil)
	srv := httptest.NewUnstartedServer(nil)
	d.addr = srv.Listener.Addr().String()
	n, err := node.New(node.Options{
		ID: 1, Dir: t.TempDir(), Addr: d.addr, Peers: []node.Peer{{ID: raft.ReplicaID(1), Addr: d.addr}}, Transport: peers, Log: log.NewNopLogger(),
	})
	assert.NilError(t, err)
	d.server, err = server.New(server.Options{
		Node: n, Key: d.key, AdminTokenHash: auth.HashToken("admin"), Log: log.NewNopLogger(), Addr: d.addr, Peers: peers,
		DomainRegions: func() map[model.FailureDomainID]model.RegionID {
			return map[model.FailureDomainID]model.RegionID{"a-1": "a", "b-1": "b"}
		},
		Heartbeat: mortalHeartbeat,
	})
	assert.NilError(t, err)
	srv.Config.Handler = d.server.Handler()
	srv.Start()
	t.Cleanup(func() {
		srv.Close()
		assert.Check(t, d.server.Close() == nil)
		assert.Check(t, n.Close() == nil)
	})
	for !n.IsLeader() {
		time.Sleep(time.Millisecond)
	}
	r := clusterOf(t).c.Routing
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, d.server.PutRouting(ctx, r, nil, []byte("{}")))
	for i := range targets {
		d.targets = append(d.targets, d.startTarget(i))
	}
	for i := range vms {
		d.startVM(i, linksUp)
	}
	for _, p := range d.proxies {
		for !p.Ready() || p.Metrics().UsableTargets < targets {
			time.Sleep(5 * time.Millisecond)
			doRequest(p, http.MethodGet, "/safe/warm", "")
		}
	}
	return d
}

// startVM starts a VM whose links to targets are in a state.
func (d *deployment) startVM(i int, m cutMode) {
	domain := model.FailureDomainID([]string{"a-1", "b-1"}[i%2])
	srv := httptest.NewUnstartedServer(nil)
	links := newSwitchedDialer()
	links.set(m)
	x, err := entry.New(entry.Options{
		ID: model.VMID(fmt.Sprintf("v%d", i)), Addr: srv.Listener.Addr().String(), Domain: domain, Replicas: []string{d.addr}, Key: d.key,
		Sole: true, RenewInterval: 800 * time.Millisecond, MinPullInterval: 200 * time.Millisecond, LongPollTimeout: time.Second,
		Dial: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext, Log: log.NewNopLogger(),
	})
	assert.NilError(d.t, err)
	p := New(Options{
		Domain: domain, Cluster: x, Headers: DefaultHeaders, Log: log.NewNopLogger(), Dial: links.dial, Key: d.key, Ends: x, Hop: HopOptions{Dial: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext, Self: model.VMID(fmt.Sprintf("v%d", i))},
		Budget: BudgetOptions{Ratio: 0.2, Burst: 60, Window: 10 * time.Second},
	})
	srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if IsHopPath(r.URL.Path) {
			p.HopHandler().ServeHTTP(w, r)
			return
		}
		x.Handler().ServeHTTP(w, r)
	})
	srv.Start()
	d.entries, d.proxies, d.dialers = append(d.entries, x), append(d.proxies, p), append(d.dialers, links)
	d.t.Cleanup(func() {
		srv.Close()
		assert.Check(d.t, p.Close() == nil)
		assert.Check(d.t, x.Close() == nil)
	})
}

func (d *deployment) startTarget(i int) *mortalTarget {
	s := &mortalTarget{d: d, index: i, incarnation: 1, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	s.lis, s.addr = lis, lis.Addr().String()
	s.announce(1)
	var g sync.WaitGroup
	g.Go(s.heartbeats)
	go s.accept(lis)
	d.t.Cleanup(func() {
		close(s.stop)
		g.Wait()
		s.end()
	})
	return s
}

func (s *mortalTarget) announce(sequence uint64) {
	s.mu.Lock()
	n, up := s.incarnation, s.lis != nil
	s.mu.Unlock()
	if !up {
		return
	}
	domain := model.FailureDomainID([]string{"a-1", "b-1"}[s.index%2])
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := s.d.server.Announce(ctx, model.Target{
		ID: model.TargetID(fmt.Sprintf("t%d-%d", s.index, n)), Service: "s", FailureDomain: domain, Addr: s.addr, Slots: 4, State: model.TargetReady, Incarnation: n,
	}, sequence)
	assert.Check(s.d.t, err == nil, "%v", err)
}

func (s *mortalTarget) heartbeats() {
	for sequence := uint64(2); ; sequence++ {
		select {
		case <-s.stop:
			return
		case <-time.After(mortalHeartbeat):
			s.announce(sequence)
		}
	}
}

func (s *mortalTarget) accept(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *mortalTarget) serve(c net.Conn) {
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
		if strings.Contains(r.URL.Path, "deadly") {
			s.mu.Lock()
			s.deadly = append(s.deadly, time.Now())
			s.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			s.crash()
			return
		}
		time.Sleep(30 * time.Millisecond)
		if _, err := io.WriteString(c, strings.ReplaceAll(okResponse, "ID", r.Header.Get(DefaultHeaders.RequestID))); err != nil {
			return
		}
	}
}

// crash ends the target; it is back after mortalDownTime.
func (s *mortalTarget) crash() {
	s.mu.Lock()
	if s.lis == nil {
		s.mu.Unlock()
		return
	}
	s.ends = append(s.ends, time.Now())
	s.mu.Unlock()
	s.end()
	time.AfterFunc(mortalDownTime, func() {
		select {
		case <-s.stop:
			return
		default:
		}
		lis, err := net.Listen("tcp", s.addr)
		if !assert.Check(s.d.t, err == nil, "%v", err) {
			return
		}
		s.mu.Lock()
		s.lis = lis
		s.incarnation++
		s.mu.Unlock()
		s.announce(1)
		go s.accept(lis)
	})
}

func (s *mortalTarget) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lis != nil {
		s.lis.Close()
		s.lis = nil
	}
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	clear(s.conns)
}

// deadlyArrivals returns when deadly requests arrived at targets, and when targets ended.
func (d *deployment) deadlyArrivals() (arrivals, ends []time.Time) {
	for _, s := range d.targets {
		s.mu.Lock()
		arrivals, ends = append(arrivals, s.deadly...), append(ends, s.ends...)
		s.mu.Unlock()
	}
	return arrivals, ends
}

// send sends one request to a VM and returns the response.
func (d *deployment) send(vm int, id, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h.example"
	r.Header.Set(DefaultHeaders.RequestID, id)
	r.Header.Set(DefaultHeaders.Deadline, "2000")
	w := httptest.NewRecorder()
	d.proxies[vm%len(d.proxies)].ServeHTTP(w, r)
	return w
}
