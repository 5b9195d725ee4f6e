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

// Propose commits a command and returns the result of applying it. An error of kind
// KindOutcomeUnknown means that the command may still be committed.
func (n *Node) Propose(ctx context.Context, c *eelpb.Command) (state.Result, error) {
	return n.ProposeIf(ctx, c, nil)
}

// ProposeIf is Propose with a check that is made at the leader, with its term, right before the
// command is appended to the log: in the order of the log, and under the lock of the replica. If the
// check fails, its error is returned and the command is not committed.
func (n *Node) ProposeIf(ctx context.Context, c *eelpb.Command, check func(raft.Term) error) (state.Result, error) {
	const op = "node.Propose"
	c.NowMs = time.Now().UnixMilli()
	b, err := proto.Marshal(c)
	if err != nil {
		return state.Result{}, errs.New(op, KindStopped, err)
	}
	p := proposal{data: b, check: check, done: make(chan outcome, 1)}
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
		return state.Result{}, errs.New(op, KindOutcomeUnknown, ctx.Err())
	case <-n.g.Context().Done():
		return state.Result{}, errs.New(op, KindOutcomeUnknown, context.Canceled)
	}
}

// IsLeader reports whether the replica holds the leader lease, so that no other replica can
// be leader.
func (n *Node) IsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Now() < n.r.LeaseUntil()
}

// Leadership returns the replica's term, the time of its last election win, and whether it
// holds the leader lease. The first two describe its leadership only while it does.
func (n *Node) Leadership() (raft.Term, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.Term(), n.r.ElectedAt(), n.Now() < n.r.LeaseUntil()
}

// Status is the state of a replica as reported to operators.
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
	// Voters, Responsive and MaxLosses are told by the leader only: the number of voters, how many of
	// them answer, and how many of these may be lost until the group can commit no change.
	Voters     int `json:"voters,omitempty"`
	Responsive int `json:"responsive,omitempty"`
	MaxLosses  int `json:"maxLosses"`
}

// MemberStatus is the state of a member as known to the reporting replica.
type MemberStatus struct {
	ID          raft.ReplicaID `json:"id"`
	Incarnation uint64         `json:"incarnation"`
	Addr        string         `json:"addr"`
	Voter       bool           `json:"voter"`
	Region      model.RegionID `json:"region,omitempty"`
	Match       raft.Index     `json:"match"`
	// SilentMillis is the time since the member's last acknowledgement, at the leader.
	SilentMillis int64 `json:"silentMillis,omitempty"`
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
			SilentMillis: n.silence(id).Milliseconds(),
		})
		if id == s.Leader {
			s.LeaderAddr = m.Addr
		}
	}
	if n.r.Role() == raft.Leader {
		q := n.quorum()
		s.Voters, s.Responsive, s.MaxLosses = q.voters, q.responsive, q.maxLosses()
	}
	return s
}

// silence returns the time since a member's last acknowledgement, or 0 unless this replica leads; the
// caller holds mu.
func (n *Node) silence(id raft.ReplicaID) time.Duration {
	if n.r.Role() != raft.Leader {
		return 0
	}
	return n.r.SinceLastAck(id)
}

// quorum counts the voters of the group and those that answer the leader.
type quorum struct{ voters, responsive int }

// maxLosses returns how many of the responsive voters may be lost until no change can be committed.
func (q quorum) maxLosses() int { return max(0, q.responsive-q.voters/2-1) }

// quorum returns the state of the quorum at the leader; the caller holds mu.
func (n *Node) quorum() quorum {
	var q quorum
	for _, m := range n.r.Members().GetMembers() {
		if !m.Voter {
			continue
		}
		q.voters++
		if n.r.SinceLastAck(raft.ReplicaID(m.Id)) < contactTimeout {
			q.responsive++
		}
	}
	return q
}

// logQuorum logs changes of the quorum at the leader, as a warning while it bears fewer losses than
// one of MaxVoters voters that all answer.
func (n *Node) logQuorum() {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.quorum()
	if q == n.loggedQuorum {
		return
	}
	n.loggedQuorum = q
	l := level.Info(n.o.Log)
	if q.maxLosses() < (n.o.MaxVoters-1)/2 {
		l = level.Warn(n.o.Log)
	}
	l.Log("msg", "quorum changed", "voters", q.voters, "responsive", q.responsive, "maxLosses", q.maxLosses())
}

// call runs a function in the event loop and returns its error.
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

// TransferLeadership transfers leadership to another voter, so that a planned stop costs
// no election timeout.
func (n *Node) TransferLeadership(ctx context.Context) error {
	return n.call(ctx, func() error {
		n.r.TransferLeadership()
		return nil
	})
}

const catchUpPoll = 50 * time.Millisecond

// Add adds the replica at the address as a learner and promotes it to voter once it has
// caught up.
func (n *Node) Add(ctx context.Context, id raft.ReplicaID, addr string) error {
	reply, err := n.o.Transport.Identify(ctx, addr)
	if err != nil {
		return errs.Newf("node.Add", KindNotLeader, "replica at %s does not answer: %v", addr, err)
	}
	if raft.ReplicaID(reply.Id) != id {
		return errs.Newf("node.Add", KindNotLeader, "replica at %s is %d, not %d", addr, reply.Id, id)
	}
	m := &eelpb.Member{Id: reply.Id, Incarnation: reply.Incarnation, Addr: addr, Region: reply.Region}
	if err := n.changeMembership(ctx, func() (raft.Index, error) { return n.r.AddLearner(m) }); err != nil {
		return err
	}
	level.Info(n.o.Log).Log("msg", "learner added", "replica", id, "addr", addr)
	return n.promote(ctx, id)
}

func (n *Node) promote(ctx context.Context, id raft.ReplicaID) error {
	for {
		err := n.changeMembership(ctx, func() (raft.Index, error) { return n.r.Promote(id) })
		if err == nil {
			level.Info(n.o.Log).Log("msg", "learner promoted to voter", "replica", id)
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

// Remove removes a replica from the group, once the remaining voters have acknowledged
// a message after the call: a voter that failed just before it must not count.
func (n *Node) Remove(ctx context.Context, id raft.ReplicaID) error {
	since := n.Now()
	for {
		err := n.changeMembership(ctx, func() (raft.Index, error) { return n.r.Remove(id, since) })
		if !errs.Is(err, raft.KindUnsafe) || n.Now() > since+raft.DefaultElectionTimeout {
			return err
		}
		if err := sleep(ctx, catchUpPoll); err != nil {
			return err
		}
	}
}

// Replace removes the former incarnation of a replica and adds the current one.
func (n *Node) Replace(ctx context.Context, id raft.ReplicaID) error {
	addr, incarnation := "", uint64(0)
	n.withLock(func() {
		for _, m := range n.r.Members().GetMembers() {
			if raft.ReplicaID(m.Id) == id {
				addr, incarnation = m.Addr, m.Incarnation
			}
		}
	})
	if addr == "" {
		return errs.Newf("node.Replace", Kind(raft.KindUnknown), "replica %d is not a member", id)
	}
	reply, err := n.o.Transport.Identify(ctx, addr)
	if err != nil {
		return errs.Newf("node.Replace", KindNotLeader, "replica at %s does not answer: %v", addr, err)
	}
	if reply.Incarnation == incarnation {
		return errs.Newf("node.Replace", Kind(raft.KindUnsafe), "replica %d still has the disk that is a member", id)
	}
	if err := n.Remove(ctx, id); err != nil {
		return err
	}
	return n.Add(ctx, id, addr)
}

// changeMembership proposes a membership change and waits until it is committed.
func (n *Node) changeMembership(ctx context.Context, f func() (raft.Index, error)) error {
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
		done, sameTerm := false, false
		n.withLock(func() {
			// A logTerm of 0 for a committed index means that the log no longer holds the
			// entry because a snapshot covers it. The change then counts as committed.
			logTerm := n.r.TermAt(i)
			done = n.r.Commit() >= i && (logTerm == t || logTerm == 0)
			sameTerm = n.r.Term() == t
		})
		if done {
			return nil
		}
		if !sameTerm {
			return outcomeUnknown()
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
