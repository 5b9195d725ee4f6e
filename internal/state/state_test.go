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
	take   = eelpb.ClaimKind_CLAIM_TAKE
	finish = eelpb.ClaimKind_CLAIM_FINISH
	shut   = eelpb.ClaimKind_CLAIM_CLOSE
	reopen = eelpb.ClaimKind_CLAIM_REOPEN

	taken   = eelpb.ClaimState_CLAIM_TAKEN
	ended   = eelpb.ClaimState_CLAIM_DONE
	unknown = eelpb.ClaimState_CLAIM_UNKNOWN
	closed  = eelpb.ClaimState_CLAIM_CLOSED
)

func op(k eelpb.ClaimKind, attempt, token uint64) *eelpb.ClaimOp {
	return &eelpb.ClaimOp{Kind: k, RequestId: "r", Digest: []byte("d"), Attempt: attempt, Vm: "v", Token: token}
}

func TestClaims(t *testing.T) {
	lost := op(finish, 1, 7)
	lost.Unknown = true
	other := op(take, 9, 9)
	other.Digest = []byte("x")
	tests := []struct {
		name string
		ops  []*eelpb.ClaimOp
		ok   bool
		want eelpb.ClaimState
	}{
		{"first", []*eelpb.ClaimOp{op(take, 1, 7)}, true, taken},
		{"same dispatch again", []*eelpb.ClaimOp{op(take, 1, 7), op(take, 1, 7)}, true, taken},
		{"another dispatch", []*eelpb.ClaimOp{op(take, 1, 7), op(take, 1, 8)}, false, taken},
		{"a later attempt while taken", []*eelpb.ClaimOp{op(take, 1, 7), op(take, 2, 8)}, false, taken},
		{"close while taken", []*eelpb.ClaimOp{op(take, 1, 7), op(shut, 9, 0)}, false, taken},
		{"finished", []*eelpb.ClaimOp{op(take, 1, 7), op(finish, 1, 7)}, true, ended},
		{"finished by another", []*eelpb.ClaimOp{op(take, 1, 7), op(finish, 1, 8)}, false, taken},
		{"lost", []*eelpb.ClaimOp{op(take, 1, 7), lost}, true, unknown},
		{"unknown stays", []*eelpb.ClaimOp{op(take, 1, 7), lost, op(shut, 9, 0)}, false, unknown},
		{"unknown is not taken again", []*eelpb.ClaimOp{op(take, 1, 7), lost, op(take, 9, 9)}, false, unknown},
		{"done is not reopened", []*eelpb.ClaimOp{op(take, 1, 7), op(finish, 1, 7), op(reopen, 1, 7)}, false, ended},
		{"closed first", []*eelpb.ClaimOp{op(shut, 1, 0), op(take, 1, 7)}, false, closed},
		{"a later attempt after the close", []*eelpb.ClaimOp{op(shut, 1, 0), op(take, 2, 7)}, true, taken},
		{"reopened", []*eelpb.ClaimOp{op(take, 1, 7), op(reopen, 1, 7), op(take, 2, 8)}, true, taken},
		{"reopened, and the take once more", []*eelpb.ClaimOp{op(take, 1, 7), op(reopen, 1, 7), op(take, 1, 7)}, false, closed},
		{"reopened before a late take", []*eelpb.ClaimOp{op(reopen, 1, 7), op(take, 1, 7)}, false, closed},
		{"finish of nothing", []*eelpb.ClaimOp{op(finish, 1, 7)}, false, 0},
		{"other content", []*eelpb.ClaimOp{op(shut, 1, 0), other}, false, closed},
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
	at := func(i int, ms int64) *eelpb.ClaimReply {
		o := op(take, 1, 7)
		o.RequestId = fmt.Sprint(i)
		return m.Apply(&eelpb.Command{NowMs: ms, Claims: []*eelpb.ClaimOp{o}}).Claims[0]
	}
	for i := range 3 {
		assert.Assert(t, at(i, 1).Ok)
	}
	assert.Assert(t, at(3, 1).Full)
	assert.Assert(t, at(3, 1002).Ok, "the first claims have expired")
	n, _ := m.Claims()
	assert.Equal(t, n, 1)
}

// object returns a change that puts or removes an object.
func object(id string, base uint64, name string, removed bool) *eelpb.Command {
	return &eelpb.Command{Change: &eelpb.Change{
		ChangeId: id, BaseVersion: base, Objects: []*eelpb.Object{{Kind: "region", Name: name, Removed: removed}},
	}}
}

func TestDelta(t *testing.T) {
	m := New(Limits{MaxTombstones: 2})
	for i, c := range []*eelpb.Command{
		object("1", 0, "a", false), object("2", 1, "b", false), object("3", 2, "a", true), object("4", 3, "a", false),
		object("5", 4, "b", true),
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
		m.Apply(object(id, 5+2*uint64(i), id, false))
		m.Apply(object(id+"-", 6+2*uint64(i), id, true))
	}
	assert.Assert(t, m.Delta(3).Snapshot, "the tombstones since are gone")
}

// However often objects are put and removed, a delta holds what changed since and no more.
func TestDeltaOfManyChanges(t *testing.T) {
	m := New(Limits{})
	r := rand.New(rand.NewPCG(1, 1))
	last := map[string]*eelpb.Object{}
	for i := range uint64(2000) {
		name := fmt.Sprint(r.IntN(40))
		o := &eelpb.Object{Kind: "target", Name: name, Spec: []byte(fmt.Sprint(i)), Removed: r.IntN(3) == 0}
		if v := m.Apply(&eelpb.Command{Change: &eelpb.Change{AnyBase: true, Objects: []*eelpb.Object{o}}}).Change.Version; v > uint64(m.Version()) {
			t.Fatalf("version %d is not in force", v)
		}
		if held := m.Object("target", name); held != nil || last[name] != nil {
			last[name] = held
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

// BenchmarkDelta measures what a replica does for an entry that is one change behind.
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
	m.Apply(object("1", 0, "a", false))
	m.Apply(object("2", 1, "a", true))
	m.Apply(object("2-late", 1, "a", false))
	m.Apply(&eelpb.Command{NowMs: 5, Claims: []*eelpb.ClaimOp{op(take, 1, 7)}})
	n := New(Limits{})
	n.Restore(m.Image())
	assert.Assert(t, proto.Equal(m.Image(), n.Image()))
	r, ok := n.Result("2-late")
	assert.Assert(t, ok && !r.Accepted && r.WinnerChangeId == "2")
	assert.Assert(t, !n.Apply(&eelpb.Command{NowMs: 6, Claims: []*eelpb.ClaimOp{op(take, 1, 8)}}).Claims[0].Ok)
}

// Claims taken within one millisecond come back from an image in their order.
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

func put(revision uint64, spec string) *eelpb.Object {
	return &eelpb.Object{Kind: "target", Name: "t", Owner: "o", Revision: revision, Spec: []byte(spec)}
}

// Changes that hold at any version: the highest revision of an object stays,
// whatever the order in which its writes arrive and however often.
func TestMerge(t *testing.T) {
	gone := put(0, "")
	gone.Removed = true
	tests := []struct {
		name    string
		writes  []*eelpb.Object
		spec    string
		version uint64
	}{
		{"first", []*eelpb.Object{put(1, "a")}, "a", 1},
		{"sent again", []*eelpb.Object{put(1, "a"), put(1, "a")}, "a", 1},
		{"higher", []*eelpb.Object{put(1, "a"), put(3, "b")}, "b", 2},
		{"lower comes late", []*eelpb.Object{put(3, "b"), put(1, "a")}, "b", 1},
		{"other content under the held revision", []*eelpb.Object{put(3, "b"), put(3, "c")}, "b", 1},
		{"without a revision the last counts", []*eelpb.Object{put(0, "a"), put(0, "b")}, "b", 2},
		{"without a revision, the same again", []*eelpb.Object{put(0, "a"), put(0, "a")}, "a", 1},
		{"removed", []*eelpb.Object{put(0, "a"), gone, gone}, "", 2},
		{"removed before it was there", []*eelpb.Object{gone}, "", 0},
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
