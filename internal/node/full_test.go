package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/clock"
	"github.com/eelgrassroad/eelgrassroad/internal/memfs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/store"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// fullFS is a file system that can be full: a write stores half of its bytes and fails.
type fullFS struct {
	*memfs.FS
	full atomic.Bool
}

// Create creates a file on the disk that can be full.
func (f *fullFS) Create(name string) (store.File, error) {
	w, err := f.FS.Create(name)
	return &fullFile{File: w, f: f}, err
}

// Append opens a file on the disk that can be full.
func (f *fullFS) Append(name string) (store.File, error) {
	w, err := f.FS.Append(name)
	return &fullFile{File: w, f: f}, err
}

type fullFile struct {
	store.File
	f *fullFS
}

// Write writes the first half of the bytes if the disk is full.
func (w *fullFile) Write(b []byte) (int, error) {
	if !w.f.full.Load() {
		return w.File.Write(b)
	}
	n, err := w.File.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// fullGroup is a group of replicas that are started again when they stop.
type fullGroup struct {
	t     *testing.T
	w     *memTransport
	peers []Peer
	disks []*fullFS
	mu    sync.Mutex
	nodes []*Node
	stops int
	done  chan struct{}
	g     sync.WaitGroup
}

func newFullGroup(t *testing.T, n int) *fullGroup {
	t.Helper()
	g := &fullGroup{t: t, w: &memTransport{delay: time.Millisecond, nodes: map[string]*Node{}}, done: make(chan struct{})}
	for i := 1; i <= n; i++ {
		g.peers = append(g.peers, Peer{ID: raft.ReplicaID(i), Addr: fmt.Sprint(i)})
		g.disks = append(g.disks, &fullFS{FS: memfs.New()})
		g.nodes = append(g.nodes, nil)
	}
	for i := range g.peers {
		g.g.Go(func() { g.keepRunning(i) })
	}
	t.Cleanup(func() {
		close(g.done)
		g.g.Wait()
	})
	return g
}

// keepRunning starts a replica again a while after it has stopped.
func (g *fullGroup) keepRunning(i int) {
	const restartDelay = 100 * time.Millisecond
	for try := uint64(0); ; try++ {
		o := Options{ID: g.peers[i].ID, Dir: "/d", Addr: g.peers[i].Addr, Peers: g.peers, Transport: g.w, Log: log.NewNopLogger(), SnapshotBytes: 4 << 10}
		n, err := start(o, environment{fs: g.disks[i], clock: clock.Stopwatch(), random: func() uint64 { return uint64(i) + 1 + 10*try }})
		if err == nil {
			g.set(i, n)
			select {
			case <-n.Done():
			case <-g.done:
			}
			g.set(i, nil)
			_ = n.Close()
		}
		select {
		case <-g.done:
			return
		case <-time.After(restartDelay):
		}
		g.mu.Lock()
		g.stops++
		g.mu.Unlock()
	}
}

func (g *fullGroup) set(i int, n *Node) {
	g.w.mu.Lock()
	g.w.nodes[g.peers[i].Addr] = n
	g.w.mu.Unlock()
	g.mu.Lock()
	g.nodes[i] = n
	g.mu.Unlock()
}

// leader returns the index of the leader, or -1.
func (g *fullGroup) leader() (int, *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, n := range g.nodes {
		if n != nil && n.IsLeader() {
			return i, n
		}
	}
	return -1, nil
}

// propose commits a command at whichever replica leads, until a time, and reports whether that was
// acknowledged.
func (g *fullGroup) propose(i uint64, until time.Time) bool {
	for time.Now().Before(until) {
		_, n := g.leader()
		if n == nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		_, err := n.Propose(ctx, newClaim(i))
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// The disks of replicas are full for a while, one after another, under load. Changes must go on, also
// after the last disk has room again, nothing that was acknowledged may be lost, and a replica whose
// disk is full must not end: it goes on when there is room.
func TestFullDisksInTurn(t *testing.T) {
	const (
		// ackTimeout bounds the time to the acknowledgement of a change.
		ackTimeout = 4 * time.Second
		fullTime   = 600 * time.Millisecond
	)
	tests := []struct {
		name string
		// pick returns the replicas whose disks are full, one after another.
		pick func(*fullGroup) []int
	}{
		{"each", func(*fullGroup) []int { return []int{0, 1, 2, 3, 4} }},
		{"the leader, whoever that is", func(*fullGroup) []int { return []int{-1, -1, -1} }},
		{"the same again and again", func(*fullGroup) []int { return []int{2, 2, 2, 2} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := newFullGroup(t, 5)
			assert.Assert(t, g.propose(0, time.Now().Add(leaderTimeout)))
			stop := make(chan struct{})
			var load sync.WaitGroup
			var next atomic.Uint64
			var acked sync.Map
			for range 4 {
				load.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						i := next.Add(1)
						if assert.Check(t, g.propose(i, time.Now().Add(ackTimeout)), "change %d is not acknowledged within %v", i, ackTimeout) {
							acked.Store(i, true)
						}
						time.Sleep(2 * time.Millisecond)
					}
				})
			}
			for _, i := range tt.pick(g) {
				if i < 0 {
					for i, _ = g.leader(); i < 0; i, _ = g.leader() {
						time.Sleep(time.Millisecond)
					}
				}
				g.disks[i].full.Store(true)
				time.Sleep(fullTime)
				g.disks[i].full.Store(false)
				time.Sleep(fullTime / 3)
			}
			close(stop)
			load.Wait()
			assert.Assert(t, g.propose(next.Add(1), time.Now().Add(ackTimeout)))
			_, l := g.leader()
			assert.Assert(t, l != nil)
			n := 0
			acked.Range(func(k, _ any) bool {
				n++
				c := newClaim(k.(uint64))
				c.Claims[0].Token = 1 << 40
				r, err := l.Propose(context.Background(), c)
				assert.Check(t, err == nil && !r.Claims[0].Ok, "claim %v was acknowledged and is gone", k)
				return true
			})
			g.mu.Lock()
			defer g.mu.Unlock()
			t.Logf("%d changes acknowledged, %d replicas stopped", n, g.stops)
			assert.Equal(t, g.stops, 0, "replicas stopped")
		})
	}
}
