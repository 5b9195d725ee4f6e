package raft

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

// TransferLeadership starts a leadership transfer to the most up-to-date other voter and
// reports whether there is one.
func (r *Raft) TransferLeadership() bool {
	if r.role != Leader {
		return false
	}
	var best ReplicaID
	for _, m := range r.members.Members {
		id := ReplicaID(m.Id)
		if !m.Voter || id == r.c.ID {
			continue
		}
		if best == 0 || r.progress[id].match > r.progress[best].match {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	r.transferTo = best
	r.transferDeadline = r.now + r.c.ElectionTimeout
	r.sendAppend(best, true)
	r.tryTransfer(best)
	return true
}

func (r *Raft) tryTransfer(id ReplicaID) {
	if r.transferTo == id && r.progress[id].match == r.log.last() {
		r.send(id, &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_TIMEOUT_NOW})
	}
}

func (r *Raft) resetElection() {
	d := r.c.ElectionTimeout
	r.electionDeadline = r.now + d + time.Duration(r.c.Rand.Int64N(int64(d)))
}

func (r *Raft) becomeFollower(t Term, leader ReplicaID) {
	if t > r.term {
		r.term = t
		r.vote = 0
		r.hardDirty = true
		r.reorderBuffer = reorderBuffer{}
	}
	r.role = Follower
	r.leader = leader
	r.transferTo = 0
	r.resetElection()
}

func (r *Raft) campaign(transfer bool) {
	r.votes = map[ReplicaID]bool{r.c.ID: true}
	r.resetElection()
	r.leader = 0
	if !transfer {
		r.role = PreCandidate
		r.requestVotes(eelpb.MessageKind_MESSAGE_PRE_VOTE, r.term+1, false)
		r.countVotes()
		return
	}
	r.startElection(true)
}

func (r *Raft) startElection(transfer bool) {
	r.role = Candidate
	r.term++
	r.reorderBuffer = reorderBuffer{}
	r.vote = r.c.ID
	r.hardDirty = true
	r.votes = map[ReplicaID]bool{r.c.ID: true}
	r.resetElection()
	r.requestVotes(eelpb.MessageKind_MESSAGE_VOTE, r.term, transfer)
	r.countVotes()
}

func (r *Raft) requestVotes(k eelpb.MessageKind, t Term, transfer bool) {
	for _, m := range r.members.Members {
		if !m.Voter || ReplicaID(m.Id) == r.c.ID {
			continue
		}
		r.send(ReplicaID(m.Id), &eelpb.Message{
			Kind: k, Term: uint64(t), Transfer: transfer,
			LogIndex: uint64(r.log.last()), LogTerm: uint64(r.log.term(r.log.last())),
		})
	}
}

func (r *Raft) countVotes() {
	if r.role == Candidate && !r.termDurable() {
		return
	}
	n, voters := 0, 0
	for _, m := range r.members.Members {
		if !m.Voter {
			continue
		}
		voters++
		if r.votes[ReplicaID(m.Id)] {
			n++
		}
	}
	if n <= voters/2 {
		return
	}
	if r.role == PreCandidate {
		r.startElection(false)
		return
	}
	r.becomeLeader()
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.c.ID
	r.electedAt = r.now
	r.progress = map[ReplicaID]*progress{}
	r.syncProgress()
	r.inheritSilences()
	r.appendEntry(eelpb.EntryKind_ENTRY_NOOP, nil)
	r.heartbeatAt = r.now + r.c.HeartbeatInterval
	r.broadcast(true)
}

// syncProgress makes the progress map hold exactly one entry for each member.
func (r *Raft) syncProgress() {
	for _, m := range r.members.Members {
		id := ReplicaID(m.Id)
		if _, ok := r.progress[id]; !ok {
			r.progress[id] = &progress{next: r.log.last() + 1, ackedSentAt: r.now, heardAt: r.now}
		}
	}
	for id := range r.progress {
		if findMember(r.members, id) == nil {
			delete(r.progress, id)
		}
	}
}

func (r *Raft) isVoter() bool {
	m := findMember(r.members, r.c.ID)
	return m != nil && m.Voter && Incarnation(m.Incarnation) == r.c.Incarnation
}

func findMember(s *eelpb.Membership, id ReplicaID) *eelpb.Member {
	for _, m := range s.GetMembers() {
		if ReplicaID(m.Id) == id {
			return m
		}
	}
	return nil
}
