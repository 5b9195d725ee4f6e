package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// memTransport is a Transport between nodes in one process, with a one-way delay.
type memTransport struct {
	delay time.Duration
	mu    sync.Mutex
	nodes map[string]*Node
}

func (w *memTransport) node(addr string) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[addr]
}

// Send delivers messages after the delay.
func (w *memTransport) Send(_ context.Context, addr string, m []*eelpb.Message) error {
	time.Sleep(w.delay)
	if n := w.node(addr); n != nil {
		n.Step(m)
	}
	return nil
}

// Join is not used by these tests.
func (w *memTransport) Join(context.Context, string, *eelpb.Member) (*eelpb.JoinReply, error) {
	return nil, errors.New("join is not supported")
}

// Identify returns the identity of a node without delay.
func (w *memTransport) Identify(_ context.Context, addr string) (*eelpb.IdentifyReply, error) {
	n := w.node(addr)
	if n == nil {
		return nil, fmt.Errorf("node %s has not started", addr)
	}
	return n.Identify(), nil
}

// startBenchLeader starts a group on real files and returns its leader.
func startBenchLeader(b *testing.B, replicas int, delay time.Duration) *Node {
	w := &memTransport{delay: delay, nodes: map[string]*Node{}}
	var peers []Peer
	for i := 1; i <= replicas; i++ {
		peers = append(peers, Peer{ID: raft.ReplicaID(i), Addr: fmt.Sprint(i)})
	}
	for _, p := range peers {
		n, err := New(Options{ID: p.ID, Dir: b.TempDir(), Addr: p.Addr, Peers: peers, Transport: w, Log: log.NewNopLogger()})
		assert.NilError(b, err)
		w.mu.Lock()
		w.nodes[p.Addr] = n
		w.mu.Unlock()
		b.Cleanup(func() { assert.NilError(b, n.Close()) })
	}
	for {
		for _, n := range w.nodes {
			if n.IsLeader() {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkCommit measures claims by 1 and by 256 concurrent callers.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			for _, callers := range []int{1, 256} {
				b.Run(fmt.Sprintf("replicas=%d/delay=%s/callers=%d", replicas, delay, callers), func(b *testing.B) {
					commitMany(b, startBenchLeader(b, replicas, delay), callers)
				})
			}
		}
	}
}

func commitMany(b *testing.B, n *Node, callers int) {
	b.ResetTimer()
	var wg sync.WaitGroup
	for k := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := k; i < b.N; i += callers {
				o := &eelpb.ClaimOp{RequestId: fmt.Sprintf("r%d", i), Digest: make([]byte, 32), Attempt: 1, Vm: "v", Token: 1}
				if _, err := n.Propose(context.Background(), &eelpb.Command{Claims: []*eelpb.ClaimOp{o}}); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}
