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
	// DefaultMaxVoters outlasts the loss of two disks; further replicas are learners.
	DefaultMaxVoters = 5
	// balanceEvery is how soon a learner that has caught up is made a voter.
	balanceEvery = 200 * time.Millisecond
	// silentVoter is after how long without an answer a voter gives way to a
	// learner; longer than the partitions that replicas usually come back from.
	silentVoter = 8 * time.Second
	// silentLearner is after how long without an answer a learner is forgotten.
	silentLearner = 30 * time.Second
	// joinEvery is the pause between two requests to be taken in.
	joinEvery = 200 * time.Millisecond
	// leaderless is after how long without a leader a member asks whether it still is one.
	leaderless  = 2 * time.Second
	joinTimeout = 2 * time.Second
	// changeTimeout bounds one change of the membership.
	changeTimeout = 3 * time.Second
)

// Admit takes a replica into the group in its present incarnation: a former
// incarnation at the same id is removed first. It tells whether the membership
// names the replica now.
func (n *Node) Admit(ctx context.Context, m *eelpb.Member) (bool, error) {
	if !n.admitting.TryLock() {
		return false, nil
	}
	defer n.admitting.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	id := raft.ReplicaID(m.Id)
	if held := n.member(id); held != nil {
		if held.Incarnation == m.Incarnation && held.Addr == m.Addr {
			return true, nil
		}
		level.Info(n.o.Log).Log("msg", "replica lost its disk", "replica", m.Id, "was", held.Incarnation, "is", m.Incarnation)
		if err := n.Remove(ctx, id); err != nil {
			return false, err
		}
	}
	l := &eelpb.Member{Id: m.Id, Incarnation: m.Incarnation, Addr: m.Addr, Region: m.Region}
	if err := n.change(ctx, func() (raft.Index, error) { return n.r.AddLearner(l) }); err != nil {
		return false, err
	}
	level.Info(n.o.Log).Log("msg", "added learner", "replica", m.Id, "incarnation", m.Incarnation, "addr", m.Addr)
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

// balance keeps as many voters as wanted while this replica leads: it promotes
// learners, and lets them take the place of voters that fell silent.
func (n *Node) balance(ctx context.Context) {
	if !n.IsLeader() || !n.admitting.TryLock() {
		return
	}
	defer n.admitting.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	p := n.plan()
	var err error
	switch {
	case p.remove != 0:
		level.Info(n.o.Log).Log("msg", "removes a replica that is silent or whose region has too many voters", "replica", uint64(p.remove),
			"silentMillis", n.silentFor(p.remove).Milliseconds())
		err = n.Remove(ctx, p.remove)
	case p.promote != 0:
		err = n.change(ctx, func() (raft.Index, error) { return n.r.Promote(p.promote) })
		if err == nil {
			level.Info(n.o.Log).Log("msg", "promoted to voter", "replica", uint64(p.promote))
		}
	}
	if err != nil {
		level.Debug(n.o.Log).Log("msg", "membership not changed", "err", err)
	}
}

func (n *Node) silentFor(id raft.ReplicaID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.SinceLastAck(id)
}

// membershipPlan is the next change of the membership; 0 means none.
type membershipPlan struct {
	remove  raft.ReplicaID
	promote raft.ReplicaID
}

func (n *Node) plan() membershipPlan {
	n.mu.Lock()
	defer n.mu.Unlock()
	return planMembership(n.r.Members(), n.o.MaxVoters, n.o.ID, func(id raft.ReplicaID) time.Duration { return n.r.SinceLastAck(id) })
}

// planMembership decides the leader's next change from how long each member has been silent.
func planMembership(s *eelpb.Membership, maxVoters int, leader raft.ReplicaID, silent func(raft.ReplicaID) time.Duration) membershipPlan {
	var voters, ready []*eelpb.Member
	var quiet []raft.ReplicaID
	calm := true
	for _, m := range s.GetMembers() {
		id := raft.ReplicaID(m.Id)
		switch t := silent(id); {
		case m.Voter:
			voters = append(voters, m)
			calm = calm && t < leaderless
			if t > silentVoter {
				quiet = append(quiet, id)
			}
		case t > silentLearner:
			return membershipPlan{remove: id}
		case t < leaderless:
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return membershipPlan{}
	}
	in := byRegion(voters)
	next := slices.MinFunc(ready, func(a, b *eelpb.Member) int {
		return cmp.Or(cmp.Compare(in[a.Region], in[b.Region]), cmp.Compare(a.Id, b.Id))
	})
	switch {
	case len(voters) < maxVoters:
		return membershipPlan{promote: raft.ReplicaID(next.Id)}
	case len(quiet) > 0:
		return membershipPlan{remove: quiet[0]}
	case calm:
		return membershipPlan{remove: crowding(voters, leader, next.Region)}
	}
	return membershipPlan{}
}

// byRegion counts members by region.
func byRegion(list []*eelpb.Member) map[string]int {
	out := map[string]int{}
	for _, m := range list {
		out[m.Region]++
	}
	return out
}

// crowding returns the voter that should give way to one of another region, since
// the loss of its own would take the quorum along; 0 where there is none.
func crowding(voters []*eelpb.Member, leader raft.ReplicaID, to string) raft.ReplicaID {
	in := byRegion(voters)
	out := raft.ReplicaID(0)
	for _, m := range voters {
		left := len(voters) - in[m.Region]
		if m.Region == "" || left > len(voters)/2 || in[to]+1 >= in[m.Region] || raft.ReplicaID(m.Id) == leader {
			continue
		}
		out = max(out, raft.ReplicaID(m.Id))
	}
	return out
}

// join asks the group to take this replica in whenever it is not a member, as
// far as it can tell.
func (n *Node) join(ctx context.Context) error {
	t := time.NewTicker(joinEvery)
	defer t.Stop()
	for {
		if n.stranger() {
			n.askToJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// stranger tells whether the replica has no group, or hears no leader of its own.
func (n *Node) stranger() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.r.Formed() || n.r.SinceLeaderContact() > leaderless
}

func (n *Node) askToJoin(ctx context.Context) {
	m := &eelpb.Member{Id: n.identity.ID, Incarnation: n.identity.Incarnation, Addr: n.o.Addr, Region: string(n.o.Region)}
	asked := map[string]bool{n.o.Addr: true}
	list := append(n.o.Seeds(), n.Addrs()...)
	for i := 0; i < len(list); i++ {
		if asked[list[i]] {
			continue
		}
		asked[list[i]] = true
		c, cancel := context.WithTimeout(ctx, joinTimeout)
		r, err := n.o.Transport.Join(c, list[i], m)
		cancel()
		if err != nil {
			level.Debug(n.o.Log).Log("msg", "not taken in", "by", list[i], "err", err)
			continue
		}
		if r.Joined {
			level.Info(n.o.Log).Log("msg", "taken in", "by", list[i])
			return
		}
		if r.LeaderAddr != "" {
			list = append(list, r.LeaderAddr)
		}
	}
}
