package state

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	take    = eelpb.ClaimKind_CLAIM_TAKE
	finish  = eelpb.ClaimKind_CLAIM_FINISH
	closeOp = eelpb.ClaimKind_CLAIM_CLOSE
	reopen  = eelpb.ClaimKind_CLAIM_REOPEN

	taken   = eelpb.ClaimState_CLAIM_TAKEN
	done    = eelpb.ClaimState_CLAIM_DONE
	unknown = eelpb.ClaimState_CLAIM_UNKNOWN
	closed  = eelpb.ClaimState_CLAIM_CLOSED
)

func op(k eelpb.ClaimKind, attempt, token uint64) *eelpb.ClaimOp {
	return &eelpb.ClaimOp{Kind: k, RequestId: "r", Digest: []byte("d"), Attempt: attempt, Vm: "v", Token: token}
}

func TestClaims(t *testing.T) {
	finishUnknown := op(finish, 1, 7)
	finishUnknown.Unknown = true
	otherDigest := op(take, 9, 9)
	otherDigest.Digest = []byte("x")
	tests := []struct {
		name string
		ops  []*eelpb.ClaimOp
		ok   bool
		want eelpb.ClaimState
	}{
		{"first", []*eelpb.ClaimOp{op(take, 1, 7)}, true, taken},
		{"retry of the same dispatch", []*eelpb.ClaimOp{op(take, 1, 7), op(take, 1, 7)}, true, taken},
		{"take by another dispatch", []*eelpb.ClaimOp{op(take, 1, 7), op(take, 1, 8)}, false, taken},
		{"later attempt while taken", []*eelpb.ClaimOp{op(take, 1, 7), op(take, 2, 8)}, false, taken},
		{"close while taken", []*eelpb.ClaimOp{op(take, 1, 7), op(closeOp, 9, 0)}, false, taken},
		{"finished", []*eelpb.ClaimOp{op(take, 1, 7), op(finish, 1, 7)}, true, done},
		{"finished by another dispatch", []*eelpb.ClaimOp{op(take, 1, 7), op(finish, 1, 8)}, false, taken},
		{"outcome unknown", []*eelpb.ClaimOp{op(take, 1, 7), finishUnknown}, true, unknown},
		{"unknown is not closed", []*eelpb.ClaimOp{op(take, 1, 7), finishUnknown, op(closeOp, 9, 0)}, false, unknown},
		{"unknown is not taken again", []*eelpb.ClaimOp{op(take, 1, 7), finishUnknown, op(take, 9, 9)}, false, unknown},
		{"done is not reopened", []*eelpb.ClaimOp{op(take, 1, 7), op(finish, 1, 7), op(reopen, 1, 7)}, false, done},
		{"closed before the take", []*eelpb.ClaimOp{op(closeOp, 1, 0), op(take, 1, 7)}, false, closed},
		{"later attempt after the close", []*eelpb.ClaimOp{op(closeOp, 1, 0), op(take, 2, 7)}, true, taken},
		{"reopened and taken by a later attempt", []*eelpb.ClaimOp{op(take, 1, 7), op(reopen, 1, 7), op(take, 2, 8)}, true, taken},
		{"reopened, then a duplicate of the take", []*eelpb.ClaimOp{op(take, 1, 7), op(reopen, 1, 7), op(take, 1, 7)}, false, closed},
		{"reopened before a delayed take", []*eelpb.ClaimOp{op(reopen, 1, 7), op(take, 1, 7)}, false, closed},
		{"finish without a claim", []*eelpb.ClaimOp{op(finish, 1, 7)}, false, 0},
		{"digest mismatch", []*eelpb.ClaimOp{op(closeOp, 1, 0), otherDigest}, false, closed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(Limits{})
			var last *eelpb.ClaimReply
			for _, o := range tt.ops {
				last = m.Apply(&eelpb.Command{NowMs: 1, Claims: []*eelpb.ClaimOp{o}}).Claims[0]
			}
			assert.Equal(t, last.Ok, tt.ok)
			assert.Equal(t, last.Record.GetState(), tt.want)
		})
	}
}

func TestClaimsAreBounded(t *testing.T) {
	m := New(Limits{MaxClaims: 3, ClaimTTL: time.Second})
	takeAt := func(i int, ms int64) *eelpb.ClaimReply {
		o := op(take, 1, 7)
		o.RequestId = fmt.Sprint(i)
		return m.Apply(&eelpb.Command{NowMs: ms, Claims: []*eelpb.ClaimOp{o}}).Claims[0]
	}
	for i := range 3 {
		assert.Assert(t, takeAt(i, 1).Ok)
	}
	assert.Assert(t, takeAt(3, 1).Full)
	assert.Assert(t, takeAt(3, 1002).Ok, "the first claims have not expired")
	n, _ := m.Claims()
	assert.Equal(t, n, 1)
}

// regionChange returns a change that writes or removes an object.
func regionChange(id string, base uint64, name string, removed bool) *eelpb.Command {
	return &eelpb.Command{Change: &eelpb.Change{
		ChangeId: id, BaseVersion: base, Objects: []*eelpb.Object{{Kind: "region", Name: name, Removed: removed}},
	}}
}

func TestDelta(t *testing.T) {
	m := New(Limits{MaxTombstones: 2})
	for i, c := range []*eelpb.Command{
		regionChange("1", 0, "a", false), regionChange("2", 1, "b", false), regionChange("3", 2, "a", true), regionChange("4", 3, "a", false),
		regionChange("5", 4, "b", true),
	} {
		r := m.Apply(c).Change
		assert.Assert(t, r.Accepted)
		assert.Equal(t, r.Version, uint64(i+1))
	}
	tests := []struct {
		after    uint64
		snapshot bool
		want     []string
	}{
		{0, true, []string{"a"}}, {2, false, []string{"a", "-b"}}, {4, false, []string{"-b"}}, {5, false, nil},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.after), func(t *testing.T) {
			d := m.Delta(tt.after)
			var got []string
			for _, o := range d.Objects {
				if o.Removed {
					got = append(got, "-"+o.Name)
					continue
				}
				got = append(got, o.Name)
			}
			assert.Equal(t, d.Snapshot, tt.snapshot)
			assert.DeepEqual(t, got, tt.want)
		})
	}
	for i := range 3 {
		id := fmt.Sprintf("x%d", i)
		m.Apply(regionChange(id, 5+2*uint64(i), id, false))
		m.Apply(regionChange(id+"-", 6+2*uint64(i), id, true))
	}
	assert.Assert(t, m.Delta(3).Snapshot, "tombstones after version 3 are still kept")
}

// A delta contains exactly the objects that changed since its base version, after many writes
// and removals, and across snapshots.
func TestDeltaOfManyChanges(t *testing.T) {
	m := New(Limits{})
	r := rand.New(rand.NewPCG(1, 1))
	last := map[string]*eelpb.Object{}
	for i := range uint64(2000) {
		name := fmt.Sprint(r.IntN(40))
		o := &eelpb.Object{Kind: "target", Name: name, Spec: []byte(fmt.Sprint(i)), Removed: r.IntN(3) == 0}
		if v := m.Apply(&eelpb.Command{Change: &eelpb.Change{AnyBase: true, Objects: []*eelpb.Object{o}}}).Change.Version; v > uint64(m.Version()) {
			t.Fatalf("result has version %d, above the version of the machine", v)
		}
		if current := m.Object("target", name); current != nil || last[name] != nil {
			last[name] = current
		}
		if i%100 == 0 {
			image := New(Limits{})
			image.Restore(m.Image())
			m = image
		}
		after := uint64(m.Version()) - min(uint64(m.Version()), uint64(r.IntN(30)))
		got := map[string]bool{}
		for _, o := range m.Delta(after).Objects {
			assert.Assert(t, !got[o.Name], "object %s twice", o.Name)
			got[o.Name] = true
			assert.Equal(t, o.Removed, last[o.Name] == nil)
		}
		for name, o := range last {
			if o != nil {
				assert.Equal(t, got[name], o.Version > after, "object %s of version %d after %d", name, o.Version, after)
			}
		}
	}
}

// BenchmarkDelta measures the delta for an entry that is one change behind.
func BenchmarkDelta(b *testing.B) {
	for _, targets := range []int{30, 3000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			m := New(Limits{})
			for i := range targets {
				m.Apply(&eelpb.Command{Change: &eelpb.Change{AnyBase: true, Objects: []*eelpb.Object{
					{Kind: "target", Name: fmt.Sprint(i), Spec: make([]byte, 150)},
				}}})
			}
			after := uint64(m.Version()) - 1
			for b.Loop() {
				m.Delta(after)
			}
		})
	}
}

func TestImage(t *testing.T) {
	m := New(Limits{})
	m.Apply(regionChange("1", 0, "a", false))
	m.Apply(regionChange("2", 1, "a", true))
	m.Apply(regionChange("2-late", 1, "a", false))
	m.Apply(&eelpb.Command{NowMs: 5, Claims: []*eelpb.ClaimOp{op(take, 1, 7)}})
	n := New(Limits{})
	n.Restore(m.Image())
	assert.Assert(t, proto.Equal(m.Image(), n.Image()))
	r, ok := n.Result("2-late")
	assert.Assert(t, ok && !r.Accepted && r.WinnerChangeId == "2")
	assert.Assert(t, !n.Apply(&eelpb.Command{NowMs: 6, Claims: []*eelpb.ClaimOp{op(take, 1, 8)}}).Claims[0].Ok)
}

// Restoring an image keeps the order of claims taken within one millisecond.
func TestImageKeepsOrderOfClaims(t *testing.T) {
	m := New(Limits{})
	for _, id := range []string{"r5", "r10", "r2"} {
		o := op(take, 1, 7)
		o.RequestId = id
		m.Apply(&eelpb.Command{NowMs: 1, Claims: []*eelpb.ClaimOp{o}})
	}
	n := New(Limits{})
	n.Restore(m.Image())
	assert.Assert(t, proto.Equal(m.Image(), n.Image()))
}

func targetObject(revision uint64, spec string) *eelpb.Object {
	return &eelpb.Object{Kind: "target", Name: "t", Owner: "o", Revision: revision, Spec: []byte(spec)}
}

// With AnyBase, the highest revision of an object wins, in whatever order and however
// often its writes arrive.
func TestMerge(t *testing.T) {
	removal := targetObject(0, "")
	removal.Removed = true
	tests := []struct {
		name    string
		writes  []*eelpb.Object
		spec    string
		version uint64
	}{
		{"first", []*eelpb.Object{targetObject(1, "a")}, "a", 1},
		{"sent again", []*eelpb.Object{targetObject(1, "a"), targetObject(1, "a")}, "a", 1},
		{"higher revision", []*eelpb.Object{targetObject(1, "a"), targetObject(3, "b")}, "b", 2},
		{"lower revision arrives late", []*eelpb.Object{targetObject(3, "b"), targetObject(1, "a")}, "b", 1},
		{"other content with the stored revision", []*eelpb.Object{targetObject(3, "b"), targetObject(3, "c")}, "b", 1},
		{"last write wins without a revision", []*eelpb.Object{targetObject(0, "a"), targetObject(0, "b")}, "b", 2},
		{"duplicate without a revision", []*eelpb.Object{targetObject(0, "a"), targetObject(0, "a")}, "a", 1},
		{"removed", []*eelpb.Object{targetObject(0, "a"), removal, removal}, "", 2},
		{"removal of a missing object", []*eelpb.Object{removal}, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(Limits{})
			for _, o := range tt.writes {
				r := m.Apply(&eelpb.Command{Change: &eelpb.Change{AnyBase: true, Objects: []*eelpb.Object{o}}})
				assert.Assert(t, r.Change.Accepted)
			}
			assert.Equal(t, string(m.Object("target", "t").GetSpec()), tt.spec)
			assert.Equal(t, uint64(m.Version()), tt.version)
			n := New(Limits{})
			n.Restore(m.Image())
			assert.Assert(t, proto.Equal(m.Image(), n.Image()))
		})
	}
}
