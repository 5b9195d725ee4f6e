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

// stallFS is a file system whose syncs can be delayed, like those of a stalled disk.
type stallFS struct {
	*memfs.FS
	stall atomic.Int64
}

// Append opens a file whose syncs can stall.
func (f *stallFS) Append(name string) (store.File, error) {
	w, err := f.FS.Append(name)
	return &stallFile{File: w, f: f}, err
}

type stallFile struct {
	store.File
	f *stallFS
}

// Sync waits for the configured stall before it syncs.
func (w *stallFile) Sync() error {
	time.Sleep(time.Duration(w.f.stall.Load()))
	return w.File.Sync()
}

// startThree starts three replicas on disks that can stall, and returns them with their
// disks, and the leader. The replicas send through tr, which must deliver through w.
func startThree(t *testing.T, w *memTransport, tr Transport) (map[*Node]*stallFS, *Node) {
	disks := map[*Node]*stallFS{}
	var peers []Peer
	for i := 1; i <= 3; i++ {
		peers = append(peers, Peer{ID: raft.ReplicaID(i), Addr: fmt.Sprint(i)})
	}
	for i, p := range peers {
		d := &stallFS{FS: memfs.New()}
		o := Options{ID: p.ID, Dir: "/d", Addr: p.Addr, Peers: peers, Transport: tr, Log: log.NewNopLogger(), SnapshotBytes: snapshotBytes}
		n, err := start(o, environment{fs: d, clock: clock.Stopwatch(), random: func() uint64 { return uint64(i) + 1 }})
		assert.NilError(t, err)
		w.mu.Lock()
		w.nodes[p.Addr] = n
		w.mu.Unlock()
		disks[n] = d
		t.Cleanup(func() { assert.NilError(t, n.Close()) })
	}
	return disks, waitForLeader(t, disks)
}

// leaderTimeout allows for forming the group and for several elections.
const leaderTimeout = 10 * time.Second

func waitForLeader(t *testing.T, nodes map[*Node]*stallFS) *Node {
	t.Helper()
	for end := time.Now().Add(leaderTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for n := range nodes {
			if n.IsLeader() {
				return n
			}
		}
	}
	t.Fatal("no leader elected")
	return nil
}

// A disk that stalls for longer than the election timeout does not cost the leader its
// leadership, and a command waits only for the disks of a quorum.
func TestStalledDisk(t *testing.T) {
	const stall = 3 * raft.DefaultElectionTimeout
	tests := []struct {
		name string
		// isStalled reports whether the leader's or a follower's disk stalls.
		isStalled func(leader bool) bool
		// minLatency and maxLatency bound the time of a commit that is proposed at the start
		// of the stall.
		minLatency, maxLatency time.Duration
	}{
		{"leader", func(leader bool) bool { return leader }, 0, stall / 3},
		{"followers", func(leader bool) bool { return !leader }, stall / 2, 2 * stall},
		{"all", func(bool) bool { return true }, stall / 2, 2 * stall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &memTransport{delay: time.Millisecond, nodes: map[string]*Node{}}
			disks, l := startThree(t, w, w)
			_, err := l.Propose(context.Background(), newClaim(1))
			assert.NilError(t, err)
			term, _, _ := l.Leadership()
			for n, d := range disks {
				if tt.isStalled(n == l) {
					d.stall.Store(int64(stall))
				}
			}
			began := time.Now()
			var latency time.Duration
			done := make(chan error, 1)
			go func() {
				_, err := l.Propose(context.Background(), newClaim(2))
				latency = time.Since(began)
				done <- err
			}()
			for time.Since(began) < stall {
				now, _, isLeader := l.Leadership()
				assert.Assert(t, isLeader && now == term, "lost leadership after %s", time.Since(began))
				time.Sleep(10 * time.Millisecond)
			}
			for _, d := range disks {
				d.stall.Store(0)
			}
			assert.NilError(t, <-done)
			assert.Assert(t, latency >= tt.minLatency && latency <= tt.maxLatency, "commit took %s", latency)
			now, _, isLeader := l.Leadership()
			assert.Assert(t, isLeader && now == term)
		})
	}
}
