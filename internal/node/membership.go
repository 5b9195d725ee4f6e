package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/go-kit/log/level"
)

const (
	// DefaultMaxVoters tolerates the loss of two disks; further replicas are learners.
	DefaultMaxVoters = 5
	// initialVoters is the maximum number of seeds that form a group. A group does not shrink below it
	// because voters are silent.
	initialVoters = 3
	// balanceInterval is the interval at which the leader checks for a membership change,
	// such as the promotion of a learner that has caught up.
	balanceInterval = 200 * time.Millisecond
	// DefaultCatchUp is the default of Options.CatchUp.
	DefaultCatchUp = 16 * time.Second
	// removalFraction is the part of Options.CatchUp after which a silent voter may be replaced. The
	// rest is for an election and two changes of the membership.
	removalFraction = 0.5
	// minRemovalTimeout covers an election in which the votes were split.
	minRemovalTimeout = 2 * raft.DefaultElectionTimeout
	// learnerRemovalTimeout is the time since its last acknowledgement after which a
	// learner is removed.
	learnerRemovalTimeout = 30 * time.Second
	// joinInterval is the interval between two rounds of join requests.
	joinInterval = 200 * time.Millisecond
	// contactTimeout is the time without contact with a leader after which a member sends
	// join requests, as it may have been removed. The leader counts a member as responsive
	// if it acknowledged a message within this time.
	contactTimeout = 2 * time.Second
	joinTimeout    = 2 * time.Second
	// joinReplyWindow is how long further replies to a join request are awaited after the first.
	joinReplyWindow = 500 * time.Millisecond
	// changeTimeout bounds one call of Admit or balance.
	changeTimeout = 3 * time.Second
)

// Admit adds a replica to the group in its current incarnation, as a learner. A former
// incarnation with the same id is removed first. It reports whether the membership
// contains the replica now.
func (n *Node) Admit(ctx context.Context, m *eelpb.Member) (bool, error) {
	if !n.membershipMu.TryLock() {
		return false, nil
	}
	defer n.membershipMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	id := raft.ReplicaID(m.Id)
	if current := n.member(id); current != nil {
		if current.Incarnation == m.Incarnation && current.Addr == m.Addr {
			return true, nil
		}
		level.Info(n.o.Log).Log("msg", "removing former incarnation of replica", "replica", m.Id, "was", current.Incarnation, "is", m.Incarnation)
		if err := n.Remove(ctx, id); err != nil {
			return false, err
		}
	}
	l := &eelpb.Member{Id: m.Id, Incarnation: m.Incarnation, Addr: m.Addr, Region: m.Region}
	if err := n.changeMembership(ctx, func() (raft.Index, error) { return n.r.AddLearner(l) }); err != nil {
		return false, err
	}
	level.Info(n.o.Log).Log("msg", "learner added", "replica", m.Id, "incarnation", m.Incarnation, "addr", m.Addr)
	return true, nil
}

func (n *Node) member(id raft.ReplicaID) *eelpb.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.r.Members().GetMembers() {
		if raft.ReplicaID(m.Id) == id {
			return m
		}
	}
	return nil
}

// Addrs returns the addresses of the group's members.
func (n *Node) Addrs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, m := range n.r.Members().GetMembers() {
		out = append(out, m.Addr)
	}
	return out
}

// balance maintains an odd number of up to MaxVoters voters while this replica leads: it promotes
// learners, and replaces voters that are unresponsive or whose region has too many. One change follows
// the other at once, so that the group is short of a voter only for a moment.
func (n *Node) balance(ctx context.Context) {
	if !n.IsLeader() || !n.membershipMu.TryLock() {
		return
	}
	defer n.membershipMu.Unlock()
	n.logQuorum()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for p := n.nextChange(); p != (membershipPlan{}); p = n.nextChange() {
		if err := n.carryOut(ctx, p); err != nil {
			level.Info(n.o.Log).Log("msg", "membership change failed", "remove", uint64(p.remove), "promote", uint64(p.promote), "err", err)
			return
		}
	}
}

// carryOut commits a membership change.
func (n *Node) carryOut(ctx context.Context, p membershipPlan) error {
	if p.remove != 0 {
		level.Info(n.o.Log).Log("msg", "removing unresponsive or surplus replica", "replica", uint64(p.remove),
			"silentMillis", n.sinceLastAck(p.remove).Milliseconds())
		return n.Remove(ctx, p.remove)
	}
	if err := n.changeMembership(ctx, func() (raft.Index, error) { return n.r.Promote(p.promote) }); err != nil {
		return err
	}
	level.Info(n.o.Log).Log("msg", "learner promoted to voter", "replica", uint64(p.promote))
	return nil
}

func (n *Node) sinceLastAck(id raft.ReplicaID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.SinceLastAck(id)
}

// removalTimeout is the time since its last acknowledgement after which a voter is replaced by
// a learner.
func (o Options) removalTimeout() time.Duration {
	return max(time.Duration(float64(o.CatchUp)*removalFraction), minRemovalTimeout)
}

// membershipPlan is the next membership change; 0 means none.
type membershipPlan struct {
	remove  raft.ReplicaID
	promote raft.ReplicaID
}

// contact is what the leader knows of a member.
type contact struct {
	// silent is the time since its last acknowledgement.
	silent time.Duration
	// caughtUp is set if it answers and holds nearly all committed entries.
	caughtUp bool
}

func (n *Node) nextChange() membershipPlan {
	n.mu.Lock()
	defer n.mu.Unlock()
	return planMembership(n.r.Members(), n.o.MaxVoters, n.o.ID, n.o.removalTimeout(), n.contactOf)
}

// contactOf returns the contact with a member; the caller holds mu.
func (n *Node) contactOf(id raft.ReplicaID) contact {
	return contact{silent: n.r.SinceLastAck(id), caughtUp: n.r.CaughtUp(id)}
}

// planMembership returns the leader's next membership change, given its contact with each member.
//
// An even number of voters tolerates no more losses than one voter less, and none once one of four is
// lost. The group therefore grows to odd numbers only; a learner beyond that stands by to replace the
// next voter that is lost. A voter is removed only if a learner can be promoted in its place at once,
// or if the others are an odd number that tolerates as many losses.
func planMembership(
	s *eelpb.Membership, maxVoters int, leader raft.ReplicaID, removalTimeout time.Duration, contactOf func(raft.ReplicaID) contact,
) membershipPlan {
	var voters, ready []*eelpb.Member
	unresponsive, longest := raft.ReplicaID(0), removalTimeout
	allResponsive := true
	for _, m := range s.GetMembers() {
		id := raft.ReplicaID(m.Id)
		switch c := contactOf(id); {
		case m.Voter:
			voters = append(voters, m)
			allResponsive = allResponsive && c.silent < contactTimeout
			if c.silent > longest {
				unresponsive, longest = id, c.silent
			}
		case c.silent > learnerRemovalTimeout:
			return membershipPlan{remove: id}
		case c.caughtUp:
			ready = append(ready, m)
		}
	}
	even := len(voters)%2 == 0
	if unresponsive != 0 && (len(ready) > 0 || even && len(voters) > initialVoters) {
		return membershipPlan{remove: unresponsive}
	}
	if len(ready) == 0 {
		return membershipPlan{}
	}
	counts := countByRegion(voters)
	next := slices.MinFunc(ready, func(a, b *eelpb.Member) int {
		return cmp.Or(cmp.Compare(counts[a.Region], counts[b.Region]), cmp.Compare(a.Id, b.Id))
	})
	switch {
	case even && len(voters) < maxVoters, len(voters)+2 <= maxVoters && len(ready) > 1 && allResponsive:
		return membershipPlan{promote: raft.ReplicaID(next.Id)}
	case len(voters) >= maxVoters && allResponsive:
		return membershipPlan{remove: surplusVoter(voters, leader, next.Region)}
	}
	return membershipPlan{}
}

// countByRegion counts members by region.
func countByRegion(list []*eelpb.Member) map[string]int {
	out := map[string]int{}
	for _, m := range list {
		out[m.Region]++
	}
	return out
}

// surplusVoter returns the voter to replace by one of the given region because the loss
// of its own region would lose the quorum, or 0 if there is none.
func surplusVoter(voters []*eelpb.Member, leader raft.ReplicaID, region string) raft.ReplicaID {
	counts := countByRegion(voters)
	out := raft.ReplicaID(0)
	for _, m := range voters {
		remaining := len(voters) - counts[m.Region]
		if m.Region == "" || remaining > len(voters)/2 || counts[region]+1 >= counts[m.Region] || raft.ReplicaID(m.Id) == leader {
			continue
		}
		out = max(out, raft.ReplicaID(m.Id))
	}
	return out
}

// joinLoop sends join requests whenever this replica has no indication that it is a
// member.
func (n *Node) joinLoop(ctx context.Context) error {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for {
		if n.needsJoin() {
			n.requestJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// needsJoin reports whether the replica has no group, or has no contact with its leader.
func (n *Node) needsJoin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.r.Formed() || n.r.SinceLeaderContact() > contactTimeout
}

// requestJoin asks all known replicas at the same time, since those that are gone may not answer at all,
// and then the leaders that they name.
func (n *Node) requestJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	m := &eelpb.Member{Id: n.identity.ID, Incarnation: n.identity.Incarnation, Addr: n.o.Addr, Region: string(n.o.Region)}
	replies := make(chan joinReply)
	tried := map[string]bool{n.o.Addr: true}
	pending := 0
	ask := func(addr string) {
		if addr == "" || tried[addr] {
			return
		}
		tried[addr] = true
		pending++
		n.g.Go(func(context.Context) error {
			r, err := n.o.Transport.Join(ctx, addr, m)
			select {
			case replies <- joinReply{addr, r, err}:
			case <-ctx.Done():
			}
			return nil
		})
	}
	for _, a := range append(n.o.Seeds(), n.Addrs()...) {
		ask(a)
	}
	window := time.NewTimer(joinTimeout)
	defer window.Stop()
	for ; pending > 0; pending-- {
		select {
		case r := <-replies:
			window.Reset(joinReplyWindow)
			if r.err != nil {
				level.Debug(n.o.Log).Log("msg", "join failed", "by", r.addr, "err", r.err)
				continue
			}
			if r.reply.Joined {
				level.Info(n.o.Log).Log("msg", "joined group", "by", r.addr)
				return
			}
			ask(r.reply.LeaderAddr)
		case <-window.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// joinReply is the reply of the replica at an address to a join request.
type joinReply struct {
	addr  string
	reply *eelpb.JoinReply
	err   error
}
