package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/poison"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// testGroup is a group of replicas with their servers, connected by a network that can be cut.
type testGroup struct {
	t       *testing.T
	servers []*Server
	addrs   []string

	mu    sync.Mutex
	cut   map[int]bool
	conns map[net.Conn][2]int
}

func newGroup(t *testing.T, replicas int) *testGroup {
	t.Helper()
	g := &testGroup{t: t, cut: map[int]bool{}, conns: map[net.Conn][2]int{}}
	var listeners []net.Listener
	var peers []node.Peer
	for i := range replicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		g.addrs = append(g.addrs, l.Addr().String())
		peers = append(peers, node.Peer{ID: raft.ReplicaID(i + 1), Addr: g.addrs[i]})
	}
	for i, l := range listeners {
		p := NewPeers(auth.NewKey("k"), g.dialer(i))
		n, err := node.New(node.Options{ID: raft.ReplicaID(i + 1), Dir: t.TempDir(), Addr: g.addrs[i], Peers: peers, Transport: p, Log: log.NewNopLogger()})
		assert.NilError(t, err)
		s, err := New(Options{
			Node: n, Key: auth.NewKey("k"), Log: log.NewNopLogger(), Addr: g.addrs[i], Peers: p,
			DomainRegions: func() map[model.FailureDomainID]model.RegionID {
				return map[model.FailureDomainID]model.RegionID{"a-1": "a"}
			},
			Heartbeat: time.Second,
		})
		assert.NilError(t, err)
		h := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = h.Serve(l) }()
		g.servers = append(g.servers, s)
		t.Cleanup(func() {
			_ = h.Close()
			assert.NilError(t, s.Close())
			assert.NilError(t, n.Close())
		})
	}
	return g
}

var errCut = errors.New("the network is cut")

// dialer returns the function with which a replica opens connections.
func (g *testGroup) dialer(from int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to := 0
		for i, a := range g.addrs {
			if a == addr {
				to = i
			}
		}
		g.mu.Lock()
		isCut := g.cut[from] || g.cut[to]
		g.mu.Unlock()
		if isCut {
			return nil, errCut
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns[c] = [2]int{from, to}
		return c, nil
	}
}

// setCut cuts a replica off from the others, or ends the cut.
func (g *testGroup) setCut(i int, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[i] = on
	for c, ends := range g.conns {
		if on && (ends[0] == i || ends[1] == i) {
			_ = c.Close()
			delete(g.conns, c)
		}
	}
}

// leader waits until a replica leads and knows the failure domain.
func (g *testGroup) leader() int {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, s := range g.servers {
			if s.o.Node.IsLeader() && s.o.Node.Machine().Object(model.ObjectFailureDomain, "a-1") != nil {
				return i
			}
		}
	}
	g.t.Fatal("no replica leads")
	return 0
}

func (s *Server) isDrained(d model.FailureDomainID) bool {
	return s.o.Node.Machine().Object(model.ObjectDrain, string(d)) != nil
}

// testAckTimeout is how long orders are sent again.
const testAckTimeout = 4 * time.Second

// testPatience is how long operators wait for a response.
const testPatience = 900 * time.Millisecond

// setDrain sends an order as the control API does.
func (s *Server) setDrain(on bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), testAckTimeout)
	defer cancel()
	return s.SetDrain(ctx, "a-1", on, testPatience)
}

// An order that nobody waits for any more must not undo a later one that was confirmed. Here it is held at a replica
// that is cut off from the leader for longer than operators wait for a response, and the end of the operator's
// connection is not noticed there.
func TestHeldOrderDoesNotUndoConfirmedOne(t *testing.T) {
	for _, held := range []bool{false, true} {
		t.Run(fmt.Sprintf("held order starts a drain: %t", held), func(t *testing.T) {
			g := newGroup(t, 3)
			l := g.leader()
			other := (l + 1) % 3
			assert.NilError(t, g.servers[l].setDrain(!held))
			g.setCut(other, true)
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = g.servers[other].setDrain(held) // Whether it is acknowledged is free.
			}()
			time.Sleep(1100 * time.Millisecond)
			assert.NilError(t, g.servers[l].setDrain(held)) // The same order, confirmed elsewhere.
			assert.NilError(t, g.servers[l].setDrain(!held))
			g.setCut(other, false)
			<-done
			time.Sleep(time.Second)
			assert.Equal(t, g.servers[g.leader()].isDrained("a-1"), !held, "an earlier order took effect after a later one was confirmed")
		})
	}
}

// Eight orders in progress at the same time, at all replicas, are acknowledged: one that is overtaken while its
// sender waits is made again.
func TestOrdersAtTheSameTime(t *testing.T) {
	g := newGroup(t, 3)
	g.leader()
	for range 5 {
		var w sync.WaitGroup
		failed := make([]error, 8)
		for i := range failed {
			w.Go(func() { failed[i] = g.servers[i%3].setDrain(i%2 == 0) })
		}
		w.Wait()
		for _, err := range failed {
			assert.NilError(t, err)
		}
	}
}

// An order whose sender may have left by the time it is read changes nothing, and says so.
func TestExpiredOrder(t *testing.T) {
	s := newServer(t)
	for end := time.Now().Add(5 * time.Second); s.o.Node.Machine().Object(model.ObjectFailureDomain, "a-1") == nil; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the failure domain is missing")
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	tests := []struct {
		name     string
		ctx      context.Context
		patience time.Duration
	}{
		{"it was read too late", context.Background(), 0},
		{"its sender has left", left, testPatience},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := s.SetDrain(tt.ctx, "a-1", true, tt.patience)
			assert.Assert(t, errs.Is(err, KindExpired), "%v", err)
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !s.isDrained("a-1"))
		})
	}
}

// A fence passes once, only in its term, and not after a change without a fence or of an operator's own interface.
func TestFences(t *testing.T) {
	const key = "a-1"
	drain := []*eelpb.Object{{Kind: string(model.ObjectDrain), Name: key}}
	q := &eelpb.ReadRequest{Kind: string(model.ObjectDrain), Name: key}
	tests := []struct {
		name string
		// between is what comes between the fence and the change, which is made in term.
		between func(f *fences)
		term    raft.Term
		want    bool
	}{
		{"nothing between", func(*fences) {}, 2, true},
		{"a change with a fence", func(f *fences) { _ = f.pass(drain, f.of(q, 2), 2) }, 2, false},
		{"a change without a fence", func(f *fences) { _ = f.pass(drain, nil, 2) }, 2, false},
		{"a change of another object", func(f *fences) {
			_ = f.pass([]*eelpb.Object{{Kind: string(model.ObjectDrain), Name: "b-1"}}, nil, 2)
		}, 2, true},
		{"a change that has it as its second object", func(f *fences) {
			_ = f.pass([]*eelpb.Object{{Kind: string(model.ObjectRegion), Name: "a"}, drain[0]}, nil, 2)
		}, 2, false},
		{"another term", func(*fences) {}, 3, false},
		{"another term with as many changes", func(f *fences) { f.of(q, 3) }, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fences{}
			_ = f.pass(drain, nil, 2)
			fence := f.of(q, 2)
			tt.between(f)
			err := f.pass(drain, fence, tt.term)
			assert.Equal(t, err == nil, tt.want, "%v", err)
			assert.Assert(t, err == nil || errs.Is(err, KindOvertaken))
		})
	}
}

// A withdrawal that names no incarnation means the one that was there when it was sent. Read late, it must not withdraw
// the one that has started since.
func TestLateWithdrawalWithoutIncarnation(t *testing.T) {
	tests := []struct {
		name     string
		patience time.Duration
		want     model.TargetState
	}{
		{"in time", testPatience, model.TargetGone},
		{"read late", 0, model.TargetReady},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(context.Background(), testAckTimeout)
			defer cancel()
			assert.NilError(t, s.Announce(ctx, target(5, model.TargetReady), 1))
			err := s.Withdraw(ctx, "t", 0, tt.patience)
			assert.Equal(t, err == nil, tt.want == model.TargetGone, "%v", err)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.refresh()
			x, _ := s.catalogue.Targets.Get("t")
			assert.Equal(t, x.State, tt.want)
		})
	}
}

// A leader that has lost its leadership, as after a freeze, does not have its successor carry out what it had decided
// before.
func TestDeposedLeaderDecidesNothing(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	g.setCut(l, true)
	for end := time.Now().Add(20 * time.Second); g.servers[l].o.Node.IsLeader() || g.leader() == l; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the replica still leads")
	}
	g.setCut(l, false)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the replica does not learn of its successor")
		if _, ok := g.servers[l].leaderClient(); ok {
			break
		}
	}
	d := model.RequestDigest{1}
	err := g.servers[l].commitQuarantine(context.Background(), []poison.Change{{Digest: d, Quarantine: &model.Quarantine{State: model.QuarantineBanned}}})
	assert.Assert(t, err != nil, "the ban of a former leader was committed")
	assert.Assert(t, g.servers[g.leader()].o.Node.Machine().Object(model.ObjectQuarantine, d.String()) == nil)
}

// A target that fell silent and then announces itself must not be removed for its silence.
func TestTargetIsBackBeforeRemoval(t *testing.T) {
	tests := []struct {
		name string
		back bool
	}{{"silent", false}, {"back", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(context.Background(), testAckTimeout)
			defer cancel()
			assert.NilError(t, s.Announce(ctx, target(5, model.TargetReady), 1))
			o := s.o.Node.Machine().Object(model.ObjectTarget, "t")
			if tt.back {
				assert.NilError(t, s.Announce(ctx, target(5, model.TargetDraining), 2))
			}
			s.removeSilent(ctx, o)
			assert.Equal(t, s.o.Node.Machine().Object(model.ObjectTarget, "t") != nil, tt.back)
		})
	}
}
