package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/clock"
	"github.com/eelgrassroad/eelgrassroad/internal/memfs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/store"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// stallFS is a disk whose syncs wait while it stalls.
type stallFS struct {
	*memfs.FS
	stall atomic.Int64
}

// Append opens a file whose syncs may stall.
func (f *stallFS) Append(name string) (store.File, error) {
	w, err := f.FS.Append(name)
	return &stallFile{File: w, f: f}, err
}

type stallFile struct {
	store.File
	f *stallFS
}

// Sync waits as long as the disk stalls.
func (w *stallFile) Sync() error {
	time.Sleep(time.Duration(w.f.stall.Load()))
	return w.File.Sync()
}

// trio starts three replicas on disks that can stall, and returns them with their
// disks and the leader. What goes through the transport ends at the wires.
func trio(t *testing.T, w *wires, tr Transport) (map[*Node]*stallFS, *Node) {
	disks := map[*Node]*stallFS{}
	var peers []Peer
	for i := 1; i <= 3; i++ {
		peers = append(peers, Peer{ID: raft.ReplicaID(i), Addr: fmt.Sprint(i)})
	}
	for i, p := range peers {
		d := &stallFS{FS: memfs.New()}
		o := Options{ID: p.ID, Dir: "/d", Addr: p.Addr, Peers: peers, Transport: tr, Log: log.NewNopLogger(), SnapshotBytes: snapshotBytes}
		n, err := start(o, world{fs: d, clock: clock.Stopwatch(), random: func() uint64 { return uint64(i) + 1 }})
		assert.NilError(t, err)
		w.mu.Lock()
		w.nodes[p.Addr] = n
		w.mu.Unlock()
		disks[n] = d
		t.Cleanup(func() { assert.NilError(t, n.Close()) })
	}
	return disks, awaitLead(t, disks)
}

// formLimit leaves time to form the group and for some elections.
const formLimit = 10 * time.Second

func awaitLead(t *testing.T, nodes map[*Node]*stallFS) *Node {
	t.Helper()
	for end := time.Now().Add(formLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for n := range nodes {
			if n.IsLeader() {
				return n
			}
		}
	}
	t.Fatal("no replica leads")
	return nil
}

// A disk that stalls for longer than the election timeout costs no leader its
// place, and commands wait for no more disks than a quorum needs.
func TestStalledDisk(t *testing.T) {
	const stall = 3 * raft.DefaultElectionTimeout
	tests := []struct {
		name string
		// stalls tells which disks stall.
		stalls func(leader bool) bool
		// least and most bound the time of a commit that begins with the stall.
		least, most time.Duration
	}{
		{"the leader's", func(leader bool) bool { return leader }, 0, stall / 3},
		{"the followers'", func(leader bool) bool { return !leader }, stall / 2, 2 * stall},
		{"all", func(bool) bool { return true }, stall / 2, 2 * stall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &wires{delay: time.Millisecond, nodes: map[string]*Node{}}
			disks, l := trio(t, w, w)
			_, err := l.Propose(context.Background(), claim(1))
			assert.NilError(t, err)
			term, _, _ := l.Leadership()
			for n, d := range disks {
				if tt.stalls(n == l) {
					d.stall.Store(int64(stall))
				}
			}
			began := time.Now()
			var took time.Duration
			done := make(chan error, 1)
			go func() {
				_, err := l.Propose(context.Background(), claim(2))
				took = time.Since(began)
				done <- err
			}()
			for time.Since(began) < stall {
				now, _, holds := l.Leadership()
				assert.Assert(t, holds && now == term, "lost its place after %s", time.Since(began))
				time.Sleep(10 * time.Millisecond)
			}
			for _, d := range disks {
				d.stall.Store(0)
			}
			assert.NilError(t, <-done)
			assert.Assert(t, took >= tt.least && took <= tt.most, "the commit took %s", took)
			now, _, holds := l.Leadership()
			assert.Assert(t, holds && now == term)
		})
	}
}
