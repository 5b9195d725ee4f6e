package node

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
)

// Propose commits a command and returns what applying it gave. An error of kind
// KindLost means that the command may still be committed.
func (n *Node) Propose(ctx context.Context, c *eelpb.Command) (state.Result, error) {
	const op = "node.Propose"
	c.NowMs = time.Now().UnixMilli()
	b, err := proto.Marshal(c)
	if err != nil {
		return state.Result{}, errs.New(op, KindStopped, err)
	}
	p := proposal{data: b, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return state.Result{}, errs.New(op, KindNotLeader, ctx.Err())
	case <-n.g.Context().Done():
		return state.Result{}, errs.Newf(op, KindStopped, "replica has stopped")
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, errs.New(op, KindLost, ctx.Err())
	case <-n.g.Context().Done():
		return state.Result{}, errs.New(op, KindLost, context.Canceled)
	}
}

// IsLeader tells whether no other replica can be leader at this moment.
func (n *Node) IsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Now() < n.r.LeaseUntil()
}

// Leadership returns the term of this leader and when it won it, while its lease holds.
func (n *Node) Leadership() (raft.Term, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.Term(), n.r.ElectedAt(), n.Now() < n.r.LeaseUntil()
}

// Status is what operators see of a replica.
type Status struct {
	ID          raft.ReplicaID `json:"id"`
	Incarnation uint64         `json:"incarnation"`
	Role        string         `json:"role"`
	Term        raft.Term      `json:"term"`
	Leader      raft.ReplicaID `json:"leader"`
	LeaderAddr  string         `json:"leaderAddr"`
	Commit      raft.Index     `json:"commit"`
	Applied     raft.Index     `json:"applied"`
	Formed      bool           `json:"formed"`
	Commits     int64          `json:"commits"`
	Syncs       int64          `json:"syncs"`
	Members     []MemberStatus `json:"members"`
}

// MemberStatus is what a replica knows of a member.
type MemberStatus struct {
	ID          raft.ReplicaID `json:"id"`
	Incarnation uint64         `json:"incarnation"`
	Addr        string         `json:"addr"`
	Voter       bool           `json:"voter"`
	Region      model.RegionID `json:"region,omitempty"`
	Match       raft.Index     `json:"match"`
}

// Status returns the replica's view of the group.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Status{
		ID: n.o.ID, Incarnation: n.identity.Incarnation, Role: n.r.Role().String(), Term: n.r.Term(),
		Leader: n.r.Leader(), Commit: n.r.Commit(), Applied: n.r.Applied(), Formed: n.r.Formed(),
		Commits: n.commits.Load(), Syncs: n.syncs.Load(),
	}
	for _, m := range n.r.Members().GetMembers() {
		id := raft.ReplicaID(m.Id)
		s.Members = append(s.Members, MemberStatus{
			ID: id, Incarnation: m.Incarnation, Addr: m.Addr, Voter: m.Voter, Region: model.RegionID(m.Region), Match: n.r.Match(id),
		})
		if id == s.Leader {
			s.LeaderAddr = m.Addr
		}
	}
	return s
}

// call runs a function on the core and waits until what it did is durable.
func (n *Node) call(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	select {
	case n.calls <- func() { done <- f() }:
		return <-done
	case <-ctx.Done():
		return ctx.Err()
	case <-n.g.Context().Done():
		return errs.Newf("node.call", KindStopped, "replica has stopped")
	}
}

// Transfer hands leadership over, so that a planned stop costs no election timeout.
func (n *Node) Transfer(ctx context.Context) error {
	return n.call(ctx, func() error {
		n.r.TransferLeadership()
		return nil
	})
}

const catchUpPoll = 50 * time.Millisecond

// Add admits the replica at the address: as a learner first, as a voter once it has caught up.
func (n *Node) Add(ctx context.Context, id raft.ReplicaID, addr string) error {
	who, err := n.o.Transport.Identify(ctx, addr)
	if err != nil {
		return errs.Newf("node.Add", KindNotLeader, "replica at %s does not answer: %v", addr, err)
	}
	if raft.ReplicaID(who.Id) != id {
		return errs.Newf("node.Add", KindNotLeader, "replica at %s is %d, not %d", addr, who.Id, id)
	}
	m := &eelpb.Member{Id: who.Id, Incarnation: who.Incarnation, Addr: addr, Region: who.Region}
	if err := n.change(ctx, func() (raft.Index, error) { return n.r.AddLearner(m) }); err != nil {
		return err
	}
	level.Info(n.o.Log).Log("msg", "added learner", "replica", id, "addr", addr)
	return n.promote(ctx, id)
}

func (n *Node) promote(ctx context.Context, id raft.ReplicaID) error {
	for {
		err := n.change(ctx, func() (raft.Index, error) { return n.r.Promote(id) })
		if err == nil {
			level.Info(n.o.Log).Log("msg", "promoted to voter", "replica", id)
			return nil
		}
		if !errs.Is(err, raft.KindUnsafe) {
			return err
		}
		if err := sleep(ctx, catchUpPoll); err != nil {
			return err
		}
	}
}

// Remove takes a replica out of the group, once the voters that remain have
// answered after the call: a replica that fell silent just now must not count.
func (n *Node) Remove(ctx context.Context, id raft.ReplicaID) error {
	since := n.Now()
	for {
		err := n.change(ctx, func() (raft.Index, error) { return n.r.Remove(id, since) })
		if !errs.Is(err, raft.KindUnsafe) || n.Now() > since+raft.DefaultElectionTimeout {
			return err
		}
		if err := sleep(ctx, catchUpPoll); err != nil {
			return err
		}
	}
}

// Replace takes out the former incarnation of a replica and admits the present one.
func (n *Node) Replace(ctx context.Context, id raft.ReplicaID) error {
	addr, inc := "", uint64(0)
	n.locked(func() {
		for _, m := range n.r.Members().GetMembers() {
			if raft.ReplicaID(m.Id) == id {
				addr, inc = m.Addr, m.Incarnation
			}
		}
	})
	if addr == "" {
		return errs.Newf("node.Replace", Kind(raft.KindUnknown), "replica %d is not a member", id)
	}
	who, err := n.o.Transport.Identify(ctx, addr)
	if err != nil {
		return errs.Newf("node.Replace", KindNotLeader, "replica at %s does not answer: %v", addr, err)
	}
	if who.Incarnation == inc {
		return errs.Newf("node.Replace", Kind(raft.KindUnsafe), "replica %d still has the disk that is a member", id)
	}
	if err := n.Remove(ctx, id); err != nil {
		return err
	}
	return n.Add(ctx, id, addr)
}

// change proposes a membership change and waits until it is committed.
func (n *Node) change(ctx context.Context, f func() (raft.Index, error)) error {
	var i raft.Index
	var t raft.Term
	err := n.call(ctx, func() error {
		var err error
		i, err = f()
		t = n.r.Term()
		return err
	})
	if err != nil {
		return err
	}
	for {
		done, still := false, false
		n.locked(func() {
			kept := n.r.TermAt(i)
			done = n.r.Commit() >= i && (kept == t || kept == 0)
			still = n.r.Term() == t
		})
		if done {
			return nil
		}
		if !still {
			return lost()
		}
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
