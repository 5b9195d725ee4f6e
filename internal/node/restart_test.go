package node

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	changeCount = 10_000
	// changesPerClaim is the number of changes per claim.
	changesPerClaim = 5
	// maxSnapshot exceeds the size of the state after all changes and claims, in bytes.
	maxSnapshot = 4 << 20
	// maxRestartTime is the time within which a configuration must be in force again.
	maxRestartTime = 5 * time.Second
)

// startSingle starts a group of one replica in a directory and waits until it leads.
func startSingle(t *testing.T, dir string, snapshotBytes int64) *Node {
	t.Helper()
	n, err := New(Options{
		ID: 1, Dir: dir, Addr: "1", Peers: []Peer{{ID: 1, Addr: "1"}}, Transport: &memTransport{nodes: map[string]*Node{}},
		Log: log.NewNopLogger(), SnapshotBytes: snapshotBytes,
	})
	assert.NilError(t, err)
	for !n.IsLeader() {
		time.Sleep(time.Millisecond)
	}
	return n
}

func image(t *testing.T, n *Node) []byte {
	t.Helper()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(n.Machine().Image())
	assert.NilError(t, err)
	return b
}

func dirBytes(t *testing.T, dir string) int64 {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	assert.NilError(t, err)
	sum := int64(0)
	for _, f := range names {
		s, err := os.Stat(f)
		assert.NilError(t, err)
		sum += s.Size()
	}
	return sum
}

// After 10,000 changes and 2,000 claims with snapshots in between, the size of the
// directory is bounded, a restart takes less than maxRestartTime, and every version and
// claim is restored.
func TestManyChanges(t *testing.T) {
	tests := []struct {
		name     string
		snapshot int64
	}{
		{"many snapshots", 256 << 10},
		{"default snapshot size", snapshotBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			n := startSingle(t, dir, tt.snapshot)
			for i := range changeCount {
				proposeChange(t, n, uint64(i))
			}
			want := image(t, n)
			assert.NilError(t, n.Close())
			size := dirBytes(t, dir)
			assert.Assert(t, size <= tt.snapshot+2*maxSnapshot, "directory has %d bytes", size)
			from := time.Now()
			n = startSingle(t, dir, tt.snapshot)
			took := time.Since(from)
			t.Logf("%d bytes, restarted in %s", size, took)
			assert.Assert(t, took < maxRestartTime)
			assert.Assert(t, bytes.Equal(image(t, n), want), "state differs after restart")
			other := newClaim(0)
			other.Claims[0].Token = changeCount + 1
			r, err := n.Propose(context.Background(), other)
			assert.NilError(t, err)
			assert.Assert(t, !r.Claims[0].Ok, "claim was taken twice")
			assert.NilError(t, n.Close())
		})
	}
}

// proposeChange commits one change of the catalogue, and a claim with every
// changesPerClaim-th change.
func proposeChange(t *testing.T, n *Node, i uint64) {
	t.Helper()
	c := &eelpb.Command{Change: &eelpb.Change{
		ChangeId: fmt.Sprintf("change-%d", i), BaseVersion: i,
		Objects: []*eelpb.Object{{Kind: "drain", Name: fmt.Sprintf("d%d", i%40), Owner: "o", Spec: []byte(`{"target":"t"}`)}},
	}}
	r, err := n.Propose(context.Background(), c)
	assert.NilError(t, err)
	assert.Equal(t, r.Change.Version, i+1)
	if i%changesPerClaim == 0 {
		r, err := n.Propose(context.Background(), newClaim(i))
		assert.NilError(t, err)
		assert.Assert(t, r.Claims[0].Ok)
	}
}

func newClaim(i uint64) *eelpb.Command {
	return &eelpb.Command{Claims: []*eelpb.ClaimOp{{
		Kind: eelpb.ClaimKind_CLAIM_TAKE, RequestId: fmt.Sprintf("r%d", i), Digest: make([]byte, 32), Attempt: 1, Vm: "v", Token: i + 1,
	}}}
}

// A restarted replica shows the state on its disk before it has contact with any leader:
// everything except what was committed after its last write.
func TestStateBeforeLeaderContact(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSim(t, seed, 3)
			s.run(5 * time.Second)
			s.proposeFor(3 * time.Second)
			h := s.hosts[s.rnd.IntN(3)]
			before := h.n.machine.Version()
			commit := h.n.r.Commit()
			s.crash(h)
			s.boot(h)
			assert.NilError(t, h.n.processReady())
			assert.Equal(t, h.n.r.Leader(), raft.ReplicaID(0))
			assert.Assert(t, h.n.machine.Version() > 0, "no state after restart")
			assert.Assert(t, h.n.machine.Version() <= before, "restarted at version %d, but only %d was committed", h.n.machine.Version(), before)
			assert.Assert(t, h.n.r.Commit() <= commit)
			assert.Assert(t, uint64(before-h.n.machine.Version()) <= 8, "restarted at version %d, at most 8 behind %d expected", h.n.machine.Version(), before)
			s.proposeFor(2 * time.Second)
			s.healAndVerify()
		})
	}
}
