package raft

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

// Step takes a message of another replica.
func (r *Raft) Step(m *eelpb.Message, now time.Duration) {
	r.advanceClock(now)
	if !r.forMe(m) {
		return
	}
	switch m.Kind {
	case eelpb.MessageKind_MESSAGE_PRE_VOTE:
		r.stepPreVote(m)
		return
	case eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY:
		r.stepPreVoteReply(m)
		return
	case eelpb.MessageKind_MESSAGE_VOTE:
		if r.inLease(m) || !r.HasMembership() {
			return
		}
	}
	if Term(m.Term) < r.term {
		r.refuseOld(m)
		return
	}
	if Term(m.Term) > r.term {
		r.becomeFollower(Term(m.Term), 0)
	}
	r.stepCurrent(m)
}

func (r *Raft) stepCurrent(m *eelpb.Message) {
	switch m.Kind {
	case eelpb.MessageKind_MESSAGE_VOTE:
		r.stepVote(m)
	case eelpb.MessageKind_MESSAGE_VOTE_REPLY:
		r.stepVoteReply(m)
	case eelpb.MessageKind_MESSAGE_APPEND:
		r.stepAppend(m)
	case eelpb.MessageKind_MESSAGE_APPEND_REPLY:
		r.stepAppendReply(m)
	case eelpb.MessageKind_MESSAGE_SNAPSHOT:
		r.stepSnapshot(m)
	case eelpb.MessageKind_MESSAGE_TIMEOUT_NOW:
		if r.isVoter() {
			r.campaign(true)
		}
	}
}

func (r *Raft) forMe(m *eelpb.Message) bool {
	return ReplicaID(m.To) == r.c.ID && Incarnation(m.ToIncarnation) == r.c.Incarnation
}

// knows tells whether the sender is a voter of the membership in its present incarnation.
func (r *Raft) knows(m *eelpb.Message) bool {
	s := findMember(r.members, ReplicaID(m.From))
	return s != nil && s.Voter && s.Incarnation == m.FromIncarnation
}

// inLease tells whether a vote must be refused because a leader was heard
// within the timeout that its lease relies on.
func (r *Raft) inLease(m *eelpb.Message) bool {
	if m.Transfer {
		return false
	}
	if r.role == Leader {
		return true
	}
	return r.now < r.heardAt+r.c.ElectionTimeout
}

func (r *Raft) upToDate(m *eelpb.Message) bool {
	last := r.log.last()
	t := r.log.term(last)
	if Term(m.LogTerm) != t {
		return Term(m.LogTerm) > t
	}
	return Index(m.LogIndex) >= last
}

func (r *Raft) stepPreVote(m *eelpb.Message) {
	if !r.HasMembership() {
		return
	}
	ok := Term(m.Term) > r.term && !r.inLease(m) && r.upToDate(m)
	if ok && r.role == PreCandidate && ReplicaID(m.From) < r.c.ID {
		// Of those that ask at the same time one goes on, or they would split the votes.
		r.role = Follower
		r.resetElection()
	}
	t := m.Term
	if !ok {
		t = uint64(r.term)
	}
	r.reply(m, &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY, Term: t, Reject: !ok})
}

func (r *Raft) stepPreVoteReply(m *eelpb.Message) {
	if m.Reject {
		if Term(m.Term) > r.term {
			r.becomeFollower(Term(m.Term), 0)
		}
		return
	}
	if r.role != PreCandidate || Term(m.Term) != r.term+1 || !r.knows(m) {
		return
	}
	r.votes[ReplicaID(m.From)] = true
	r.countVotes()
}

// stepVote answers any candidate that addresses this incarnation: the candidate's
// membership has it as a voter, even where this replica has not heard of its
// promotion yet.
func (r *Raft) stepVote(m *eelpb.Message) {
	from := ReplicaID(m.From)
	ok := (r.vote == 0 || r.vote == from || r.yields(from)) && r.role != Leader && r.upToDate(m)
	if ok {
		if r.role == Candidate {
			r.role = Follower
		}
		r.vote = from
		r.hardDirty = true
		r.resetElection()
	}
	r.reply(m, &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_VOTE_REPLY, Reject: !ok})
}

// yields tells whether a candidate gives its vote to another of the same term. Its
// own counts for nothing until it is durable, and of two candidates that ask
// while their disks are at work one should win.
func (r *Raft) yields(to ReplicaID) bool {
	return r.role == Candidate && !r.termDurable() && to < r.c.ID
}

func (r *Raft) stepVoteReply(m *eelpb.Message) {
	if r.role != Candidate || !r.knows(m) {
		return
	}
	if m.Reject {
		r.rejected()
		return
	}
	r.votes[ReplicaID(m.From)] = true
	r.countVotes()
}

// rejected bounds how long a candidate still waits for votes once another has got
// some: with the votes split nobody wins, and those who voted wait longer for the
// next try, so that they do not split it again.
func (r *Raft) rejected() {
	d := r.c.ElectionTimeout
	r.electAt = min(r.electAt, r.now+d/2+time.Duration(r.c.Rand.Int64N(int64(d/2))))
}

// refuseOld tells the leader of an older term that its term is over.
func (r *Raft) refuseOld(m *eelpb.Message) {
	switch m.Kind {
	case eelpb.MessageKind_MESSAGE_APPEND, eelpb.MessageKind_MESSAGE_SNAPSHOT:
		r.reply(m, &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, Reject: true})
	}
}

// reply answers the sender, also when the membership does not name it.
func (r *Raft) reply(m, answer *eelpb.Message) {
	r.sendTo(ReplicaID(m.From), Incarnation(m.FromIncarnation), answer)
}

func (r *Raft) heard(m *eelpb.Message) {
	r.becomeFollower(Term(m.Term), ReplicaID(m.From))
	r.heardAt = r.now
}

func (r *Raft) stepAppend(m *eelpb.Message) {
	r.heard(m)
	prev := Index(m.LogIndex)
	answer := &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, SentAt: m.SentAt, LogIndex: m.LogIndex}
	if prev < r.log.base {
		answer.LogIndex = uint64(r.log.commit)
		r.reply(m, answer)
		return
	}
	if prev > r.log.last() && r.early.keep(m, r.now) {
		return
	}
	if prev > r.log.last() || r.log.term(prev) != Term(m.LogTerm) {
		r.reject(m)
		return
	}
	r.log.merge(m.Entries)
	r.members = r.log.membership()
	last := prev + Index(len(m.Entries))
	r.log.commit = max(r.log.commit, min(Index(m.Commit), last))
	answer.LogIndex = uint64(last)
	r.acknowledge(m, answer)
	if next := r.early.take(r.log.last()); next != nil {
		r.stepAppend(next)
	}
}

// acknowledge answers an append message whose entries the log holds now. While
// the disk stalls on earlier ones, the leader hears at once how far the log is
// durable, so that the disk is not taken for a replica that is gone.
func (r *Raft) acknowledge(m, answer *eelpb.Message) {
	stalls := r.writing && r.now >= r.writingSince+r.c.HeartbeatInterval
	if !stalls || Index(answer.LogIndex) <= r.log.stable {
		r.reply(m, answer)
		return
	}
	r.reply(m, &eelpb.Message{Kind: answer.Kind, SentAt: answer.SentAt, LogIndex: uint64(r.log.stable)})
	if len(m.Entries) > 0 {
		r.reply(m, answer)
	}
}

// reject tells the leader that the entries of a message do not follow on the log.
func (r *Raft) reject(m *eelpb.Message) {
	r.reply(m, &eelpb.Message{
		Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, SentAt: m.SentAt, LogIndex: m.LogIndex,
		Reject: true, Hint: uint64(r.conflictHint(Index(m.LogIndex))),
	})
}

// conflictHint returns the index from which the leader should try again: the
// one before the first entry of the term that conflicts.
func (r *Raft) conflictHint(prev Index) Index {
	if prev > r.log.last() {
		return r.log.last()
	}
	t := r.log.term(prev)
	i := prev
	for i > r.log.base && r.log.term(i) == t {
		i--
	}
	return max(i, r.log.commit)
}

func (r *Raft) stepSnapshot(m *eelpb.Message) {
	r.heard(m)
	s := m.Snapshot
	answer := &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, SentAt: m.SentAt}
	if Index(s.Index) > r.log.commit {
		r.log.restore(s)
		r.early = early{}
		r.members = r.log.membership()
		r.snapDirty, r.restored = s, s
	}
	answer.LogIndex = uint64(r.log.commit)
	r.reply(m, answer)
}

func (r *Raft) stepAppendReply(m *eelpb.Message) {
	from := ReplicaID(m.From)
	p, ok := r.progress[from]
	if r.role != Leader || !ok {
		return
	}
	if t := findMember(r.members, from); t.Incarnation != m.FromIncarnation {
		return
	}
	p.replied = true
	p.acked = max(p.acked, time.Duration(m.SentAt))
	if m.Reject {
		r.stepReject(from, p, m)
		return
	}
	if i := Index(m.LogIndex); i > p.match {
		p.match = i
		p.probing = false
		p.snap = 0
		r.maybeCommit()
		r.tryTransfer(from)
	}
	p.next = max(p.next, p.match+1)
	if p.next <= r.log.last() {
		r.sendAppend(from, false)
	}
}

// stepReject sends entries again from where a follower's log ends. A rejection
// of a message from before the last such sending says nothing new.
func (r *Raft) stepReject(id ReplicaID, p *progress, m *eelpb.Message) {
	if time.Duration(m.SentAt) < p.probedAt {
		return
	}
	p.next = max(min(p.next-1, Index(m.Hint)+1), p.match+1)
	p.probing = false
	first := p.next
	r.sendAppend(id, false)
	p.probing, p.probedAt = p.next > first, r.now
}

// maybeCommit commits what a quorum has made durable, if it is of this term.
func (r *Raft) maybeCommit() {
	i := r.quorumMatch()
	if i <= r.log.commit || r.log.term(i) != r.term {
		return
	}
	r.log.commit = i
	r.broadcast(true)
	if !r.isVoter() {
		r.becomeFollower(r.term, 0)
	}
}

func (r *Raft) quorumMatch() Index {
	var best Index
	for i := r.log.last(); i > r.log.commit; i-- {
		if r.isQuorumAt(i) {
			best = i
			break
		}
	}
	return best
}

func (r *Raft) isQuorumAt(i Index) bool {
	n, voters := 0, 0
	for _, m := range r.members.Members {
		if !m.Voter {
			continue
		}
		voters++
		if ReplicaID(m.Id) == r.c.ID {
			if r.log.stable >= i {
				n++
			}
			continue
		}
		if r.progress[ReplicaID(m.Id)].match >= i {
			n++
		}
	}
	return n > voters/2
}

func (r *Raft) broadcast(heartbeat bool) {
	for _, m := range r.members.Members {
		if id := ReplicaID(m.Id); id != r.c.ID {
			r.sendAppend(id, heartbeat)
		}
	}
}

// sendAppend sends the entries that the follower lacks. Entries are sent ahead
// of their acknowledgement; a follower that lost some rejects the next message.
func (r *Raft) sendAppend(id ReplicaID, heartbeat bool) {
	p := r.progress[id]
	if p.probing && r.now < p.probedAt+r.c.ElectionTimeout {
		if heartbeat {
			r.sendHeartbeat(id, p)
		}
		return
	}
	if p.next <= r.log.base {
		r.sendSnapshot(id, p)
		if heartbeat {
			r.sendHeartbeat(id, p)
		}
		return
	}
	e := r.log.slice(p.next, maxBatchBytes)
	if len(e) == 0 && !heartbeat {
		return
	}
	prev := p.next - 1
	r.send(id, &eelpb.Message{
		Kind: eelpb.MessageKind_MESSAGE_APPEND, LogIndex: uint64(prev), LogTerm: uint64(r.log.term(prev)),
		Entries: e, Commit: uint64(r.log.commit), SentAt: int64(r.now),
	})
	p.next += Index(len(e))
}

// sendHeartbeat sends a message without entries that follows on what the
// follower is known to hold, or on nothing.
func (r *Raft) sendHeartbeat(id ReplicaID, p *progress) {
	m := &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND, SentAt: int64(r.now)}
	if p.match >= r.log.base {
		m.LogIndex, m.LogTerm, m.Commit = uint64(p.match), uint64(r.log.term(p.match)), uint64(r.log.commit)
	}
	r.send(id, m)
}

// sendSnapshot asks the caller to attach its latest snapshot, at most once in an election timeout.
func (r *Raft) sendSnapshot(id ReplicaID, p *progress) {
	if p.snap == r.log.base && r.now < p.snapSent+r.c.ElectionTimeout {
		return
	}
	p.snap, p.snapSent = r.log.base, r.now
	r.send(id, &eelpb.Message{
		Kind: eelpb.MessageKind_MESSAGE_SNAPSHOT, SentAt: int64(r.now),
		Snapshot: &eelpb.Snapshot{Index: uint64(r.log.base), Term: uint64(r.log.baseTerm), Membership: r.log.baseMember},
	})
}
