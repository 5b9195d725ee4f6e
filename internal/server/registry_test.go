package server

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// noPeers is a transport without other replicas.
type noPeers struct{}

func (noPeers) Send(context.Context, string, []*eelpb.Message) error { return nil }

func (noPeers) Identify(context.Context, string) (*eelpb.IdentifyReply, error) {
	return nil, errors.New("no other replica")
}

func (noPeers) Join(context.Context, string, *eelpb.Member) (*eelpb.JoinReply, error) {
	return nil, errors.New("no other replica")
}

// newServer returns the server of a group of one replica that leads.
func newServer(t *testing.T) *Server {
	t.Helper()
	s, closeServer := startServer(t, t.TempDir())
	t.Cleanup(closeServer)
	return s
}

// startServer starts the server of a replica with the data in a folder, and waits until it leads.
func startServer(t *testing.T, dir string) (*Server, func()) {
	t.Helper()
	n, err := node.New(node.Options{ID: 1, Dir: dir, Addr: "1", Peers: []node.Peer{{ID: 1, Addr: "1"}}, Transport: noPeers{}, Log: log.NewNopLogger()})
	assert.NilError(t, err)
	s, err := New(Options{
		Node: n, Key: auth.NewKey("k"), Log: log.NewNopLogger(), Addr: "1", Peers: NewPeers(auth.NewKey("k"), nil),
		DomainRegions: func() map[model.FailureDomainID]model.RegionID {
			return map[model.FailureDomainID]model.RegionID{"a-1": "a"}
		},
		Heartbeat: 100 * time.Millisecond,
	})
	assert.NilError(t, err)
	for !n.IsLeader() {
		time.Sleep(time.Millisecond)
	}
	return s, func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, n.Close())
	}
}

func target(incarnation uint64, st model.TargetState) model.Target {
	return model.Target{ID: "t", Service: "s", FailureDomain: "a-1", Addr: "10.0.0.1:80", Slots: 3, State: st, Incarnation: incarnation}
}

// The announcements of one target take effect in the order in which it sent them, whatever
// the order in which they arrive.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	type step struct {
		incarnation, sequence uint64
		state                 model.TargetState
	}
	const ready, draining, gone = model.TargetReady, model.TargetDraining, model.TargetGone
	tests := []struct {
		name            string
		steps           []step
		state           model.TargetState
		wantIncarnation uint64
	}{
		{"drains", []step{{5, 1, ready}, {5, 2, draining}}, draining, 5},
		{"a late ready after draining", []step{{5, 1, ready}, {5, 3, draining}, {5, 2, ready}}, draining, 5},
		{"a late ready after gone", []step{{5, 1, ready}, {5, 0, gone}, {5, 9, ready}}, gone, 5},
		{"restarts", []step{{5, 7, ready}, {5, 0, gone}, {6, 1, ready}}, ready, 6},
		{"a late ready of a former incarnation", []step{{6, 1, draining}, {5, 9, ready}}, draining, 6},
		{"a late withdrawal of a former incarnation", []step{{6, 1, ready}, {5, 0, gone}}, ready, 6},
		{"withdrawal before the first announcement", []step{{5, 0, gone}, {5, 1, ready}}, gone, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for _, x := range tt.steps {
				if x.state == gone {
					assert.NilError(t, s.Withdraw(ctx, "t", x.incarnation, testPatience))
					continue
				}
				assert.NilError(t, s.Announce(ctx, target(x.incarnation, x.state), x.sequence))
			}
			o, v := s.o.Node.Machine().Objects()
			c, err := model.NewCatalogue(v, o)
			assert.NilError(t, err)
			got, ok := c.Targets.Get("t")
			assert.Assert(t, ok)
			assert.Equal(t, got.State, tt.state)
			assert.Equal(t, got.Incarnation, tt.wantIncarnation)
		})
	}
}

// A late announcement that is committed in the same change as a withdrawal does not undo it, in
// whatever order they arrived. Compared with the state before the change only, both take effect
// and the last one wins.
func TestLateAnnouncementInSameChange(t *testing.T) {
	write := func(sequence uint64, st model.TargetState) *eelpb.Object {
		o, err := object(model.ObjectTarget, "t", revision(5, sequence), target(5, st))
		assert.NilError(t, err)
		return o
	}
	ready, draining, gone := write(2, model.TargetReady), write(3, model.TargetDraining), write(minGoneSequence, model.TargetGone)
	removal := &eelpb.Object{Kind: string(model.ObjectTarget), Name: "t", Removed: true}
	tests := []struct {
		name   string
		writes []*eelpb.Object
		want   model.TargetState
	}{
		{"in order", []*eelpb.Object{ready, gone}, model.TargetGone},
		{"late", []*eelpb.Object{gone, ready}, model.TargetGone},
		{"late, after draining", []*eelpb.Object{draining, ready}, model.TargetDraining},
		{"twice", []*eelpb.Object{gone, ready, gone, draining}, model.TargetGone},
		{"removed as silent, and announced again", []*eelpb.Object{removal, ready}, model.TargetReady},
		{"removed last", []*eelpb.Object{ready, removal}, ""},
	}
	s := newServer(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for _, o := range []*eelpb.Object{removal, write(1, model.TargetReady)} {
				_, err := s.submit(ctx, &eelpb.Change{Objects: []*eelpb.Object{o}})
				assert.NilError(t, err)
			}
			_, err := s.submit(ctx, &eelpb.Change{Objects: tt.writes})
			assert.NilError(t, err)
			x, _ := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0)).Targets.Get("t")
			assert.Equal(t, x.State, tt.want)
			assert.Equal(t, len(compact(tt.writes)), 1)
		})
	}
}

// Announcements and withdrawals that arrive together are combined into one change. Once a
// withdrawal is acknowledged, no announcement that was sent before it brings the target back.
func TestWithdrawalBesideLateAnnouncements(t *testing.T) {
	const targets = 20
	s := newServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	named := func(i int, cold model.Millis) model.Target {
		x := target(5, model.TargetReady)
		x.ID, x.Addr, x.ColdMillis = model.TargetID(fmt.Sprint("t", i)), fmt.Sprintf("10.0.0.1:%d", 8000+i), cold
		return x
	}
	for round := range 5 {
		var g errgroup.Group
		for i := range targets {
			x := named(round*targets+i, 3000)
			assert.NilError(t, s.Announce(ctx, x, 1))
			g.Go(func() error { return s.Withdraw(ctx, x.ID, 5, testPatience) })
			g.Go(func() error { return s.Announce(ctx, named(round*targets+i, 0), 2) })
		}
		assert.NilError(t, g.Wait())
	}
	for id, x := range state.ApplyDelta(nil, s.o.Node.Machine().Delta(0)).Targets.All() {
		assert.Check(t, x.State == model.TargetGone, "%s is %s", id, x.State)
	}
}

// A target that has announced itself for longer than its revision has bits for the sequence number
// drains, leaves and starts again. Cut to size, its announcements would all count as the same one.
func TestAnnouncementsAfterLongUptime(t *testing.T) {
	const ready, draining, gone = model.TargetReady, model.TargetDraining, model.TargetGone
	const start, last = 1_764_800_000_000, 4_320_000
	type step struct {
		incarnation, sequence uint64
		state                 model.TargetState
	}
	tests := []struct {
		name  string
		steps []step
		state model.TargetState
	}{
		{"drains", []step{{start, last, ready}, {start, last + 1, draining}}, draining},
		{"a late ready after draining", []step{{start, last, ready}, {start, last + 2, draining}, {start, last + 1, ready}}, draining},
		{"leaves", []step{{start, last, ready}, {start, 0, gone}}, gone},
		{"a late ready after it left", []step{{start, last, ready}, {start, 0, gone}, {start, last + 1, ready}}, gone},
		{"leaves after its first announcement was committed", []step{{start, 1, ready}, {start, last, ready}, {start, 0, gone}, {start, last - 1, ready}}, gone},
		{"the withdrawal is sent again", []step{{start, last, ready}, {start, 0, gone}, {start, 0, gone}}, gone},
		{"starts again a second after it left", []step{{start, last, ready}, {start, 0, gone}, {start + 1500*last, 1, ready}}, ready},
		{"grows beyond the bits while it is up", []step{{start, minGoneSequence - 1, ready}, {start, minGoneSequence, draining}, {start, minGoneSequence + 1, ready}}, ready},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for _, x := range tt.steps {
				if x.state == gone {
					assert.NilError(t, s.Withdraw(ctx, "t", x.incarnation, testPatience))
					continue
				}
				assert.NilError(t, s.Announce(ctx, target(x.incarnation, x.state), x.sequence))
			}
			x, _ := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0)).Targets.Get("t")
			assert.Equal(t, x.State, tt.state)
		})
	}
}

// The revisions of the starts of a target do not overlap, whatever the sequence numbers.
func TestRevisionsInOrder(t *testing.T) {
	var r registry
	const start, interval = 1_764_800_000_000, 100
	for _, sequence := range []uint64{0, 1, minGoneSequence - 1, minGoneSequence, minGoneSequence + 1, 1 << 30, model.MaxSequence} {
		x := target(start, model.TargetReady)
		r.recordAnnouncement(nil, x, sequence, 0)
		announced, gone := revision(start, sequence), r.goneRevision(nil, x)
		assert.Assert(t, announced < revision(start, sequence+1))
		assert.Assert(t, announced < gone, "sequence %d", sequence)
		assert.Assert(t, gone < revision(start+interval*max(sequence, 10), 0), "sequence %d", sequence)
		assert.Assert(t, sequence >= minGoneSequence || announced == start<<sequenceBits|sequence, "the revision of an earlier build differs")
	}
}

// An address is reused by another target. It belongs to the target that started last, even if
// an announcement of the former one arrives late.
func TestAddressReused(t *testing.T) {
	s := newServer(t)
	ctx := context.Background()
	former, later := target(5, model.TargetReady), target(9, model.TargetReady)
	later.ID, later.Service = "u", "other"
	state := func(id string) model.TargetState {
		o, v := s.o.Node.Machine().Objects()
		c, err := model.NewCatalogue(v, o)
		assert.NilError(t, err)
		x, _ := c.Targets.Get(model.TargetID(id))
		return x.State
	}
	assert.NilError(t, s.Announce(ctx, former, 1))
	assert.NilError(t, s.Announce(ctx, later, 1))
	assert.Equal(t, state("t"), model.TargetGone)
	assert.Equal(t, state("u"), model.TargetReady)
	assert.NilError(t, s.Announce(ctx, former, 7))
	assert.Equal(t, state("t"), model.TargetGone)
	// A delayed announcement of a target that is not in the catalogue.
	x := target(6, model.TargetReady)
	x.ID = "v"
	assert.NilError(t, s.Announce(ctx, x, 3))
	assert.Equal(t, state("v"), model.TargetState(""))
	assert.Equal(t, state("u"), model.TargetReady)
}

// Another writer announces a service that no routing names at the address of a target. The target
// stays in use, and its own later announcements count.
func TestAddressAnnouncedByAnotherWriter(t *testing.T) {
	s := newServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	state := func(id model.TargetID) model.TargetState {
		x, _ := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0)).Targets.Get(id)
		return x.State
	}
	assert.NilError(t, s.PutRouting(ctx, &model.Routing{Revision: 1, Services: []model.RoutedService{{Name: "s"}, {Name: "s2"}}}, nil, []byte("{}")))
	other := target(9, model.TargetReady)
	other.ID, other.Service = "u", "metrics"
	assert.NilError(t, s.Announce(ctx, target(5, model.TargetReady), 1))
	assert.NilError(t, s.Announce(ctx, other, 1))
	assert.Equal(t, state("t"), model.TargetReady)
	assert.NilError(t, s.Announce(ctx, target(5, model.TargetDraining), 2))
	assert.Equal(t, state("t"), model.TargetDraining)
	// A target of a service of the routing does take over the address.
	other.ID, other.Service = "v", "s2"
	assert.NilError(t, s.Announce(ctx, other, 1))
	assert.Equal(t, state("t"), model.TargetGone)
}

// An announcement without a change is not committed, nor is the countdown of a warm-up. Its
// start, end or increase is.
func TestUnchangedAnnouncementNotCommitted(t *testing.T) {
	s := newServer(t)
	ctx := context.Background()
	cold := func(ms model.Millis) model.Target {
		x := target(5, model.TargetReady)
		x.ColdMillis = ms
		return x
	}
	steps := []struct {
		cold    model.Millis
		changed bool
	}{{3000, true}, {1500, false}, {100, false}, {0, true}, {0, false}, {3000, true}, {2000, false}, {3000, true}, {3000, false}, {2500, false}, {3500, true}}
	for i, x := range steps {
		before := s.o.Node.Machine().Version()
		assert.NilError(t, s.Announce(ctx, cold(x.cold), uint64(i+1)))
		assert.Equal(t, s.o.Node.Machine().Version() > before, x.changed, "step %d", i)
	}
}

// A target becomes cold again before it was warm. Taken for the same warm-up counting down, it would
// get its full share of requests while it is cold.
func TestColdAgainWhileCold(t *testing.T) {
	type step struct {
		sequence uint64
		cold     model.Millis
		// want is what the catalogue holds then.
		want model.Millis
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"below the first time", []step{{1, 3000, 3000}, {2, 1500, 3000}, {3, 2600, 2600}, {4, 1100, 2600}, {5, 0, 0}}},
		{"the first time", []step{{1, 3000, 3000}, {2, 1500, 3000}, {3, 3000, 3001}, {4, 1500, 3001}, {5, 3001, 3002}}},
		{"above the first time", []step{{1, 3000, 3000}, {2, 1500, 3000}, {3, 4000, 4000}}},
		{"a late announcement", []step{{1, 3000, 3000}, {3, 500, 3000}, {2, 1500, 3000}, {4, 0, 0}}},
		{"cold again after it was warm", []step{{1, 3000, 3000}, {2, 0, 0}, {3, 2000, 2000}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for i, x := range tt.steps {
				y := target(5, model.TargetReady)
				y.ColdMillis = x.cold
				assert.NilError(t, s.Announce(ctx, y, x.sequence))
				got, _ := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0)).Targets.Get("t")
				assert.Equal(t, got.ColdMillis, x.want, "step %d", i)
			}
		})
	}
}

// The commit that a target is cold again fails. Its next announcement, which counts down from there, is
// committed in its place.
func TestColdAgainAfterFailedCommit(t *testing.T) {
	s := newServer(t)
	cold := func(ms model.Millis) model.Target {
		x := target(5, model.TargetReady)
		x.ColdMillis = ms
		return x
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Announce(ctx, cold(3000), 1))
	assert.NilError(t, s.Announce(ctx, cold(1500), 2))
	assert.Assert(t, s.registry.recordAnnouncement(s.o.Node.Machine().Object(model.ObjectTarget, "t"), cold(2600), 3, s.now()) != "", "the increase is not found")
	assert.NilError(t, s.Announce(ctx, cold(1100), 4))
	got, _ := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0)).Targets.Get("t")
	assert.Equal(t, got.ColdMillis, model.Millis(1100))
	version := s.o.Node.Machine().Version()
	assert.NilError(t, s.Announce(ctx, cold(600), 5))
	assert.Equal(t, s.o.Node.Machine().Version(), version, "the countdown was committed")
}

// A target without heartbeats is removed, and added again by its next announcement.
func TestTargetExpires(t *testing.T) {
	s := newServer(t)
	ctx := context.Background()
	assert.NilError(t, s.Announce(ctx, target(5, model.TargetReady), 1))
	present := func() bool { return s.o.Node.Machine().Object(model.ObjectTarget, "t") != nil }
	for end := time.Now().Add(10 * time.Second); present() && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, !present(), "the target was not removed")
	assert.NilError(t, s.Announce(ctx, target(5, model.TargetReady), 2))
	assert.Assert(t, present())
}

// The routing of the highest revision stays in force and is read back as it was sent, also
// if routings are sent repeatedly and in any order.
func TestRoutingByRevision(t *testing.T) {
	s := newServer(t)
	ctx := context.Background()
	put := func(rev model.Revision, doc string) {
		assert.NilError(t, s.PutRouting(ctx, &model.Routing{Revision: rev}, nil, []byte(doc)))
	}
	for _, x := range []struct {
		rev  model.Revision
		doc  string
		want string
	}{{3, "three", "three"}, {3, "other", "three"}, {2, "two", "three"}, {7, "seven", "seven"}, {3, "three", "seven"}} {
		put(x.rev, x.doc)
		got, err := s.Document(ctx)
		assert.NilError(t, err)
		assert.Equal(t, string(got), x.want)
	}
	err := s.PutRouting(ctx, &model.Routing{Revision: 9, Hosts: []model.VirtualHost{{Host: ""}}}, nil, []byte("bad"))
	assert.ErrorContains(t, err, "host")
	got, err := s.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "seven")
}

// The number 0 is below every other one: the routing of revision 0 takes effect only where there
// is none, however late it arrives. Taken for "no revision", it replaced every later routing.
func TestRoutingOfRevisionZero(t *testing.T) {
	type step struct {
		rev  model.Revision
		doc  string
		want string
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"first", []step{{0, "zero", "zero"}, {0, "zero", "zero"}, {0, "other", "zero"}}},
		{"replaced", []step{{0, "zero", "zero"}, {1, "one", "one"}, {0, "zero", "one"}}},
		{"after a later one", []step{{7, "seven", "seven"}, {0, "zero", "seven"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			for _, x := range tt.steps {
				key := model.Workspace{Name: "w", Keys: []model.KeyDigest{model.DigestOf(x.doc)}}
				assert.NilError(t, s.PutRouting(ctx, &model.Routing{Revision: x.rev, Keyed: true}, []model.Workspace{key}, []byte(x.doc)))
				got, err := s.Document(ctx)
				assert.NilError(t, err)
				assert.Equal(t, string(got), x.want)
				c := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0))
				_, ok := c.Workspaces.Of(model.DigestOf(x.want))
				assert.Assert(t, ok, "the key of routing %q is missing", x.want)
			}
		})
	}
}

// Of routings that are sent at the same time, the one with the highest revision takes effect,
// also if another one has the number 0.
func TestRoutingOfRevisionZeroBesideAnother(t *testing.T) {
	s := newServer(t)
	for i := range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := s.submit(ctx, &eelpb.Change{Objects: []*eelpb.Object{
			{Kind: string(model.ObjectRouting), Name: model.RoutingName, Removed: true}, {Kind: string(model.ObjectDocument), Name: model.RoutingName, Removed: true},
		}})
		assert.NilError(t, err)
		var g errgroup.Group
		for rev := range model.Revision(3) {
			g.Go(func() error {
				return s.PutRouting(ctx, &model.Routing{Revision: rev}, nil, fmt.Appendf(nil, "r%d", rev))
			})
		}
		assert.NilError(t, g.Wait())
		got, err := s.Document(ctx)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "r2", "round %d", i)
		cancel()
	}
}

// An announcement without an incarnation and with sequence number 0 is the first one of its
// target, so it takes no effect where the leader has a later one, whatever this replica has.
func TestFirstAnnouncementDelayed(t *testing.T) {
	s := newServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ready, draining := target(0, model.TargetReady), target(0, model.TargetDraining)
	assert.NilError(t, s.Announce(ctx, ready, 0))
	assert.NilError(t, s.Announce(ctx, draining, 1))
	late, err := object(model.ObjectTarget, "t", revision(0, 0), ready)
	assert.NilError(t, err)
	_, err = s.writeTarget(ctx, late)
	assert.NilError(t, err)
	c := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0))
	x, _ := c.Targets.Get("t")
	assert.Equal(t, x.State, model.TargetDraining)
}

// Starting and ending the drain of a failure domain are idempotent.
func TestSetDrain(t *testing.T) {
	s := newServer(t)
	ctx := context.Background()
	for end := time.Now().Add(5 * time.Second); s.o.Node.Machine().Object(model.ObjectFailureDomain, "a-1") == nil && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	for _, on := range []bool{true, true, false, false, true} {
		assert.NilError(t, s.SetDrain(ctx, "a-1", on, testPatience))
		o, v := s.o.Node.Machine().Objects()
		c, err := model.NewCatalogue(v, o)
		assert.NilError(t, err)
		assert.Equal(t, c.Drained("a-1", ""), on)
	}
}

// Load pattern: all targets start at the same time, as after a power loss. Their announcements
// are committed in batches, not one by one.
func TestAllTargetsStartTogether(t *testing.T) {
	const targets = 400
	s := newServer(t)
	before := s.o.Node.Status().Commits
	var g errgroup.Group
	for i := range targets {
		g.Go(func() error {
			x := target(1, model.TargetReady)
			x.ID, x.Addr = model.TargetID(fmt.Sprint("t", i)), fmt.Sprintf("10.0.%d.%d:80", i/200, i%200)
			return s.Announce(context.Background(), x, 1)
		})
	}
	assert.NilError(t, g.Wait())
	found := s.o.Node.Machine().Find(model.ObjectTarget, func(*eelpb.Object) bool { return true })
	assert.Equal(t, len(found), targets)
	commits := s.o.Node.Status().Commits - before
	assert.Assert(t, commits <= targets/4, "%d commits for %d targets", commits, targets)
}

// Once the withdrawal of a key is acknowledged, the catalogue of the version that lease
// renewals confirm does not contain the key, even if older routings arrive late.
func TestWithdrawnKey(t *testing.T) {
	s := newServer(t)
	ctx := context.Background()
	put := func(rev model.Revision, keys ...string) {
		w := model.Workspace{Name: "w", Allowance: model.Allowance{PerSecond: 5, Burst: 5}}
		for _, k := range keys {
			w.Keys = append(w.Keys, model.DigestOf(k))
		}
		assert.NilError(t, s.PutRouting(ctx, &model.Routing{Revision: rev, Keyed: true}, []model.Workspace{w}, []byte("{}")))
	}
	for end := time.Now().Add(5 * time.Second); s.o.Node.Machine().Object(model.ObjectFailureDomain, "a-1") == nil && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	put(1, "a", "b")
	first := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0))
	put(3, "b")
	put(1, "a", "b")
	put(2, "a")
	q := &eelpb.RenewRequest{Vm: "e1", Incarnation: 1, Addr: "127.0.0.1:1", FailureDomain: "a-1", Sequence: 1, Uses: []*eelpb.AllowanceUse{
		{Workspace: "w", Used: 3, Wanted: 2}, {Workspace: "gone", Used: 3, Wanted: 2},
	}}
	r, err := (stateService{s}).Renew(ctx, q)
	assert.NilError(t, err)
	assert.Assert(t, r.Version > uint64(first.Version), "the confirmed version is that of the former catalogue")
	assert.Equal(t, len(r.Credits), 1)
	c := state.ApplyDelta(first, s.o.Node.Machine().Delta(uint64(first.Version)))
	assert.Equal(t, uint64(c.Version), r.Version)
	_, ok := c.Workspaces.Of(model.DigestOf("a"))
	assert.Assert(t, !ok, "the withdrawn key is still in the catalogue")
	_, ok = c.Workspaces.Of(model.DigestOf("b"))
	assert.Assert(t, ok, "the other key is missing")
	shared := []model.Workspace{{Name: "x", Keys: []model.KeyDigest{model.DigestOf("k")}}, {Name: "y", Keys: []model.KeyDigest{model.DigestOf("k")}}}
	err = s.PutRouting(ctx, &model.Routing{Revision: 9, Keyed: true}, shared, []byte("{}"))
	assert.ErrorContains(t, err, "share a key")
	assert.Assert(t, errs.Is(err, model.KindInvalid))
}
