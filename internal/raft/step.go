package raft

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

// Step processes a message from another replica.
func (r *Raft) Step(m *eelpb.Message, now time.Duration) {
	r.advanceClock(now)
	if !r.isAddressee(m) {
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
		if r.inLease(m) || !r.Formed() {
			return
		}
	}
	if Term(m.Term) < r.term {
		r.rejectStaleTerm(m)
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

func (r *Raft) isAddressee(m *eelpb.Message) bool {
	return ReplicaID(m.To) == r.c.ID && Incarnation(m.ToIncarnation) == r.c.Incarnation
}

// isFromVoter reports whether the sender is a voter of the membership with a matching
// incarnation.
func (r *Raft) isFromVoter(m *eelpb.Message) bool {
	s := findMember(r.members, ReplicaID(m.From))
	return s != nil && s.Voter && s.Incarnation == m.FromIncarnation
}

// inLease reports whether a vote must be refused because of leader contact within the
// election timeout, which the leader's lease relies on.
func (r *Raft) inLease(m *eelpb.Message) bool {
	if m.Transfer {
		return false
	}
	if r.role == Leader {
		return true
	}
	return r.now < r.leaderContactAt+r.c.ElectionTimeout
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
	if !r.Formed() {
		return
	}
	ok := Term(m.Term) > r.term && !r.inLease(m) && r.upToDate(m)
	if ok && r.role == PreCandidate && ReplicaID(m.From) < r.c.ID {
		// Of simultaneous pre-candidates the one with the higher id backs off, to avoid a
		// split vote.
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
	if r.role != PreCandidate || Term(m.Term) != r.term+1 || !r.isFromVoter(m) {
		return
	}
	r.votes[ReplicaID(m.From)] = true
	r.countVotes()
}

// stepVote answers any candidate that addresses this incarnation, even if this replica
// has not received the entry that promotes it: the candidate's membership lists it as
// a voter.
func (r *Raft) stepVote(m *eelpb.Message) {
	from := ReplicaID(m.From)
	ok := (r.vote == 0 || r.vote == from || r.yieldsVoteTo(from)) && r.role != Leader && r.upToDate(m)
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

// yieldsVoteTo reports whether a candidate moves its vote to another candidate of the
// same term. Its vote for itself is not counted until it is durable, and of two
// candidates that request votes during their disk writes one should win.
func (r *Raft) yieldsVoteTo(to ReplicaID) bool {
	return r.role == Candidate && !r.termDurable() && to < r.c.ID
}

func (r *Raft) stepVoteReply(m *eelpb.Message) {
	if r.role != Candidate || !r.isFromVoter(m) {
		return
	}
	if m.Reject {
		r.capElectionTimeout()
		return
	}
	r.votes[ReplicaID(m.From)] = true
	r.countVotes()
}

// capElectionTimeout limits how long a candidate waits for further votes after a
// rejection. In a split vote no candidate wins; replicas that granted a vote wait
// longer before they campaign, so that they do not split the next election too.
func (r *Raft) capElectionTimeout() {
	d := r.c.ElectionTimeout
	r.electionDeadline = min(r.electionDeadline, r.now+d/2+time.Duration(r.c.Rand.Int64N(int64(d/2))))
}

// rejectStaleTerm informs a leader of an older term of the current term.
func (r *Raft) rejectStaleTerm(m *eelpb.Message) {
	switch m.Kind {
	case eelpb.MessageKind_MESSAGE_APPEND, eelpb.MessageKind_MESSAGE_SNAPSHOT:
		r.reply(m, &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, Reject: true})
	}
}

// reply sends a response to the sender of m, even if it is not in the membership.
func (r *Raft) reply(m, resp *eelpb.Message) {
	r.sendTo(ReplicaID(m.From), Incarnation(m.FromIncarnation), resp)
}

// followLeader makes the replica a follower of the sender and records the contact.
func (r *Raft) followLeader(m *eelpb.Message) {
	r.becomeFollower(Term(m.Term), ReplicaID(m.From))
	r.leaderContactAt, r.contactLeader = r.now, ReplicaID(m.From)
}

func (r *Raft) stepAppend(m *eelpb.Message) {
	r.followLeader(m)
	r.recordSilences(m)
	prev := Index(m.LogIndex)
	resp := &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, SentAt: m.SentAt, LogIndex: m.LogIndex}
	if prev < r.log.base {
		resp.LogIndex = uint64(r.log.commit)
		r.reply(m, resp)
		return
	}
	if prev > r.log.last() && r.reorderBuffer.add(m, r.now) {
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
	resp.LogIndex = uint64(last)
	r.acknowledge(m, resp)
	if next := r.reorderBuffer.pop(r.log.last()); next != nil {
		r.stepAppend(next)
	}
}

// acknowledge responds to an append message whose entries are now in the log. While a
// write of earlier entries stalls, it also reports at once how far the log is durable,
// so that the leader does not take a slow disk for a failed replica.
func (r *Raft) acknowledge(m, resp *eelpb.Message) {
	stalled := r.writing && r.now >= r.writingSince+r.c.HeartbeatInterval
	if !stalled || Index(resp.LogIndex) <= r.log.stable {
		r.reply(m, resp)
		return
	}
	r.reply(m, &eelpb.Message{Kind: resp.Kind, SentAt: resp.SentAt, LogIndex: uint64(r.log.stable)})
	if len(m.Entries) > 0 {
		r.reply(m, resp)
	}
}

// reject responds to an append message whose entries do not follow the log.
func (r *Raft) reject(m *eelpb.Message) {
	r.reply(m, &eelpb.Message{
		Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, SentAt: m.SentAt, LogIndex: m.LogIndex,
		Reject: true, Hint: uint64(r.conflictHint(Index(m.LogIndex))),
	})
}

// conflictHint returns the index after which the leader should retry: the one before
// the first entry of the conflicting term.
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
	r.followLeader(m)
	s := m.Snapshot
	resp := &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND_REPLY, SentAt: m.SentAt}
	if Index(s.Index) > r.log.commit {
		r.log.restore(s)
		r.reorderBuffer = reorderBuffer{}
		r.members = r.log.membership()
		r.pendingSnapshot, r.installed = s, s
	}
	resp.LogIndex = uint64(r.log.commit)
	r.reply(m, resp)
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
	p.ackedSentAt = max(p.ackedSentAt, time.Duration(m.SentAt))
	p.heardAt = max(p.heardAt, p.ackedSentAt)
	if m.Reject {
		r.stepReject(from, p, m)
		return
	}
	if i := Index(m.LogIndex); i > p.match {
		p.match = i
		p.probing = false
		p.snapIndex = 0
		r.maybeCommit()
		r.tryTransfer(from)
	}
	p.next = max(p.next, p.match+1)
	if p.next <= r.log.last() {
		r.sendAppend(from, false)
	}
}

// stepReject resends entries from where a follower's log ends or diverges. It ignores the
// rejection of a message sent before the previous resend, which is out of date.
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

// maybeCommit advances the commit index to the last entry durable on a quorum if that
// entry is of the current term.
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

// sendAppend sends the entries that a follower lacks. Append messages are pipelined: they
// do not wait for acknowledgements, and a follower that missed one rejects the next.
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
		Entries: e, Commit: uint64(r.log.commit), SentAt: int64(r.now), Silences: r.listSilences(),
	})
	p.next += Index(len(e))
}

// sendHeartbeat sends an append message without entries. It refers to the last entry that
// the follower is known to hold, or to none if that entry is compacted.
func (r *Raft) sendHeartbeat(id ReplicaID, p *progress) {
	m := &eelpb.Message{Kind: eelpb.MessageKind_MESSAGE_APPEND, SentAt: int64(r.now), Silences: r.listSilences()}
	if p.match >= r.log.base {
		m.LogIndex, m.LogTerm, m.Commit = uint64(p.match), uint64(r.log.term(p.match)), uint64(r.log.commit)
	}
	r.send(id, m)
}

// sendSnapshot queues a snapshot message, to which the caller attaches its latest snapshot.
// The same snapshot is sent at most once per election timeout.
func (r *Raft) sendSnapshot(id ReplicaID, p *progress) {
	if p.snapIndex == r.log.base && r.now < p.snapSentAt+r.c.ElectionTimeout {
		return
	}
	p.snapIndex, p.snapSentAt = r.log.base, r.now
	r.send(id, &eelpb.Message{
		Kind: eelpb.MessageKind_MESSAGE_SNAPSHOT, SentAt: int64(r.now),
		Snapshot: &eelpb.Snapshot{Index: uint64(r.log.base), Term: uint64(r.log.baseTerm), Membership: r.log.baseMembership},
	})
}
