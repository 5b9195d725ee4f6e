package raft

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"google.golang.org/protobuf/proto"
)

// AddLearner adds a replica as a learner, which receives the log but does not vote.
func (r *Raft) AddLearner(m *eelpb.Member) (Index, error) {
	const op = "raft.AddLearner"
	if err := r.checkMembershipChange(op); err != nil {
		return 0, err
	}
	if findMember(r.members, ReplicaID(m.Id)) != nil {
		return 0, errs.Newf(op, KindUnsafe, "replica %d is a member already; remove it first", m.Id)
	}
	next := cloneMembership(r.members)
	next.Members = append(next.Members, &eelpb.Member{Id: m.Id, Incarnation: m.Incarnation, Addr: m.Addr, Region: m.Region})
	return r.proposeMembership(next), nil
}

// Promote makes a learner a voter once it has caught up with the log. A learner that does not
// answer stays one: it may have ended right after it was added.
func (r *Raft) Promote(id ReplicaID) (Index, error) {
	const op = "raft.Promote"
	if err := r.checkMembershipChange(op); err != nil {
		return 0, err
	}
	next := cloneMembership(r.members)
	m := findMember(next, id)
	if m == nil {
		return 0, errs.Newf(op, KindUnknown, "replica %d is not a member", id)
	}
	if !r.CaughtUp(id) {
		return 0, errs.Newf(op, KindUnsafe, "replica %d, last heard %v ago at index %d of %d, has not caught up", id, r.SinceLastAck(id), r.progress[id].match, r.log.commit)
	}
	m.Voter = true
	return r.proposeMembership(next), nil
}

// Remove removes a replica from the group. It fails unless a quorum of the remaining
// voters has answered messages that this leader sent at or after since.
func (r *Raft) Remove(id ReplicaID, since time.Duration) (Index, error) {
	const op = "raft.Remove"
	if err := r.checkMembershipChange(op); err != nil {
		return 0, err
	}
	next := &eelpb.Membership{}
	for _, m := range r.members.Members {
		if ReplicaID(m.Id) != id {
			next.Members = append(next.Members, proto.Clone(m).(*eelpb.Member))
		}
	}
	if len(next.Members) == len(r.members.Members) {
		return 0, errs.Newf(op, KindUnknown, "replica %d is not a member", id)
	}
	if live, voters := r.liveVoters(next, since); live <= voters/2 {
		return 0, errs.Newf(op, KindUnsafe, "only %d of the %d voters that would remain answer", live, voters)
	}
	return r.proposeMembership(next), nil
}

func (r *Raft) liveVoters(s *eelpb.Membership, since time.Duration) (live, voters int) {
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		voters++
		id := ReplicaID(m.Id)
		p := r.progress[id]
		if id == r.c.ID || p.replied && p.ackedSentAt >= since {
			live++
		}
	}
	return live, voters
}

func (r *Raft) checkMembershipChange(op string) error {
	if r.role != Leader || !r.committedInTerm() || r.transferTo != 0 {
		return errs.Newf(op, KindNotLeader, "replica %d is %s in term %d", r.c.ID, r.role, r.term)
	}
	if r.log.pendingMembership() {
		return errs.Newf(op, KindPending, "another membership change is not committed yet")
	}
	return nil
}

func (r *Raft) proposeMembership(next *eelpb.Membership) Index {
	b, err := proto.Marshal(next)
	if err != nil {
		panic("raft: cannot encode membership: " + err.Error())
	}
	i := r.appendEntry(eelpb.EntryKind_ENTRY_MEMBERSHIP, b)
	r.members = next
	r.syncProgress()
	r.broadcast(false)
	return i
}

func cloneMembership(m *eelpb.Membership) *eelpb.Membership {
	return proto.Clone(m).(*eelpb.Membership)
}
