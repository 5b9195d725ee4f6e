package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"gotest.tools/v3/assert"
)

const afterTimeout = 2 * DefaultElectionTimeout

func threeVoters() *eelpb.Membership {
	m := &eelpb.Membership{}
	for i := uint64(1); i <= 3; i++ {
		m.Members = append(m.Members, &eelpb.Member{Id: i, Incarnation: 10 + i, Voter: true})
	}
	return m
}

// newReplica returns replica 1 of three, with entries of the given terms after the initial
// snapshot at index 1.
func newReplica(h *eelpb.HardState, terms ...uint64) *Raft {
	d := PersistentState{Hard: h, Snapshot: &eelpb.Snapshot{Index: 1, Term: 1, Membership: threeVoters()}}
	for i, t := range terms {
		d.Entries = append(d.Entries, &eelpb.LogEntry{Index: uint64(i) + 2, Term: t})
	}
	return New(Config{ID: 1, Incarnation: 11, Rand: rand.New(rand.NewPCG(1, 1))}, d, 0)
}

func messageFrom(id uint64, k eelpb.MessageKind, term uint64) *eelpb.Message {
	return &eelpb.Message{Kind: k, From: id, FromIncarnation: 10 + id, To: 1, ToIncarnation: 11, Term: term}
}

// voteRequest returns a vote request for term 2.
func voteRequest(id, index, logTerm uint64) *eelpb.Message {
	m := messageFrom(id, eelpb.MessageKind_MESSAGE_VOTE, 2)
	m.LogIndex, m.LogTerm = index, logTerm
	return m
}

// grantsVote reports whether a Ready contains a granted vote.
func grantsVote(d Ready) bool {
	for _, m := range d.Messages {
		if m.Kind == eelpb.MessageKind_MESSAGE_VOTE_REPLY && !m.Reject {
			return true
		}
	}
	return false
}

func TestVotes(t *testing.T) {
	tests := []struct {
		name      string
		hard      *eelpb.HardState
		contactAt time.Duration
		m         *eelpb.Message
		want      bool
	}{
		{"first request of a term", &eelpb.HardState{Term: 1}, 0, voteRequest(2, 2, 1), true},
		{"voted for another candidate", &eelpb.HardState{Term: 2, Vote: 3}, 0, voteRequest(2, 2, 1), false},
		{"voted for the same candidate", &eelpb.HardState{Term: 2, Vote: 2}, 0, voteRequest(2, 2, 1), true},
		{"shorter log", &eelpb.HardState{Term: 1}, 0, voteRequest(2, 1, 1), false},
		{"older log", &eelpb.HardState{Term: 1}, 0, voteRequest(2, 9, 0), false},
		{"older term", &eelpb.HardState{Term: 5}, 0, voteRequest(2, 2, 1), false},
		{"recent leader contact", &eelpb.HardState{Term: 1}, afterTimeout - time.Millisecond, voteRequest(2, 2, 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReplica(tt.hard, 1)
			if tt.contactAt > 0 {
				r.Step(messageFrom(3, eelpb.MessageKind_MESSAGE_APPEND, 1), tt.contactAt)
				r.Ready()
			}
			r.Step(tt.m, afterTimeout)
			assert.Equal(t, grantsVote(r.Ready()), tt.want)
		})
	}
}

// A granted vote is in the hard state of the Ready that sends it, so it is durable before
// it is sent.
func TestVoteIsDurable(t *testing.T) {
	r := newReplica(&eelpb.HardState{Term: 2}, 1)
	r.Step(voteRequest(2, 2, 1), afterTimeout)
	d := r.Ready()
	assert.Assert(t, grantsVote(d))
	assert.Equal(t, d.Hard.GetTerm(), uint64(2))
	assert.Equal(t, d.Hard.GetVote(), uint64(2))
	again := newReplica(d.Hard, 1)
	again.Step(voteRequest(3, 2, 1), afterTimeout)
	assert.Assert(t, !grantsVote(again.Ready()), "two votes in one term")
}

// A candidate sends vote requests without waiting for its own vote to be durable, unless
// part of its log is not durable: after a restart the votes would count for a shorter log.
func TestVoteRequestsAreImmediate(t *testing.T) {
	tests := []struct {
		name   string
		before func(r *Raft)
		want   int
	}{
		{"whole log durable", func(*Raft) {}, 2},
		{"entries not yet durable", func(r *Raft) {
			m := messageFrom(3, eelpb.MessageKind_MESSAGE_APPEND, 1)
			m.LogIndex, m.LogTerm = 2, 1
			m.Entries = []*eelpb.LogEntry{{Index: 3, Term: 1}}
			r.Step(m, 0)
			r.Ready()
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReplica(&eelpb.HardState{Term: 1}, 1)
			tt.before(r)
			r.Tick(afterTimeout)
			r.ImmediateMessages()
			r.Step(messageFrom(2, eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY, 2), afterTimeout)
			assert.Equal(t, r.Role(), Candidate)
			assert.Equal(t, len(r.ImmediateMessages()), tt.want)
		})
	}
}

// electLeader makes a replica win an election with the vote of replica 2.
func electLeader(t *testing.T, r *Raft) {
	t.Helper()
	r.Tick(afterTimeout)
	r.Ready()
	r.Step(messageFrom(2, eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY, uint64(r.Term())+1), afterTimeout)
	d := r.Ready()
	r.Step(messageFrom(2, eelpb.MessageKind_MESSAGE_VOTE_REPLY, uint64(r.Term())), afterTimeout)
	assert.Equal(t, r.Role(), Candidate, "the candidate's own vote is not durable yet")
	r.Advance(d)
	assert.Equal(t, r.Role(), Leader)
	r.Advance(r.Ready())
}

// ackAppend passes in replica 2's acknowledgement of the entries up to an index.
func ackAppend(r *Raft, index uint64, sent, now time.Duration) {
	m := messageFrom(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
	m.LogIndex, m.SentAt = index, int64(sent)
	r.Step(m, now)
}

// An entry of an earlier term is committed only together with an entry of the leader's
// own term (section 5.4.2 of the Raft paper).
func TestCommitNeedsOwnTerm(t *testing.T) {
	r := newReplica(&eelpb.HardState{Term: 3}, 2, 2)
	electLeader(t, r)
	ackAppend(r, 3, afterTimeout, afterTimeout)
	assert.Equal(t, r.Commit(), Index(1))
	ackAppend(r, 4, afterTimeout, afterTimeout)
	assert.Equal(t, r.Commit(), Index(4))
}

func TestLease(t *testing.T) {
	const d = DefaultElectionTimeout
	r := newReplica(&eelpb.HardState{Term: 1}, 1)
	electLeader(t, r)
	assert.Equal(t, r.LeaseUntil(), time.Duration(0), "nothing is committed in this term yet")
	ackAppend(r, 3, afterTimeout, afterTimeout+10*time.Millisecond)
	assert.Equal(t, r.LeaseUntil(), afterTimeout+d-d/clockDriftDivisor, "the lease starts when the message was sent")
	ackAppend(r, 3, afterTimeout+d/2, afterTimeout+d/2)
	assert.Equal(t, r.LeaseUntil(), afterTimeout+d/2+d-d/clockDriftDivisor)
	r.Tick(afterTimeout + d/2 + d)
	assert.Equal(t, r.Role(), Follower, "a leader without a quorum steps down")
	assert.Equal(t, r.LeaseUntil(), time.Duration(0))
}

func TestTransferEndsLease(t *testing.T) {
	r := newReplica(&eelpb.HardState{Term: 1}, 1)
	electLeader(t, r)
	ackAppend(r, 3, afterTimeout, afterTimeout)
	assert.Assert(t, r.LeaseUntil() > afterTimeout)
	assert.Assert(t, r.TransferLeadership())
	assert.Equal(t, r.LeaseUntil(), time.Duration(0))
	_, err := r.Propose([]byte("x"))
	assert.Assert(t, errs.Is(err, KindNotLeader))
	r.Tick(afterTimeout + DefaultElectionTimeout)
	assert.Equal(t, r.Role(), Follower, "the lease must not resume after a failed transfer")
}

func TestMembershipChanges(t *testing.T) {
	r := newReplica(&eelpb.HardState{Term: 1}, 1)
	_, err := r.AddLearner(&eelpb.Member{Id: 4})
	assert.Assert(t, errs.Is(err, KindNotLeader), "%v", err)
	electLeader(t, r)
	ackAppend(r, 3, afterTimeout, afterTimeout)
	now := afterTimeout + DefaultElectionTimeout/2
	ackAppend(r, 3, now, now)
	r.Tick(now + DefaultElectionTimeout/2)
	tests := []struct {
		name string
		f    func() error
		kind Kind
	}{
		{"add an existing member", func() error { _, err := r.AddLearner(&eelpb.Member{Id: 2}); return err }, KindUnsafe},
		{"promote an unknown replica", func() error { _, err := r.Promote(9); return err }, KindUnknown},
		{"remove an unknown replica", func() error { _, err := r.Remove(9, now); return err }, KindUnknown},
		{"remove a live voter while another does not answer", func() error { _, err := r.Remove(2, now); return err }, KindUnsafe},
		{"remove the voter that does not answer", func() error { _, err := r.Remove(3, now); return err }, ""},
		{"change while another change is pending", func() error { _, err := r.AddLearner(&eelpb.Member{Id: 4}); return err }, KindPending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.f()
			if tt.kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errs.Is(err, tt.kind), "%v", err)
		})
	}
}

// A new leader has contact only with the replicas that answered since its election: a
// removal must not count the others as live.
func TestRemoveRightAfterElection(t *testing.T) {
	r := newReplica(&eelpb.HardState{Term: 1}, 1)
	electLeader(t, r)
	ackAppend(r, 3, afterTimeout, afterTimeout)
	_, err := r.Remove(1, afterTimeout)
	assert.Assert(t, errs.Is(err, KindUnsafe), "replica 3 has not answered yet: %v", err)
}

// countEntries returns the number of entries that a Ready sends to replica 2.
func countEntries(d Ready) int {
	n := 0
	for _, m := range d.Messages {
		if m.To == 2 {
			n += len(m.Entries)
		}
	}
	return n
}

// Rejections of messages sent before a resend are stale: the missing entries are resent
// once, however many messages were rejected.
func TestStaleRejections(t *testing.T) {
	const proposals, rejections = 20, 10
	r := newReplica(&eelpb.HardState{Term: 1}, 1)
	electLeader(t, r)
	for i := range proposals {
		_, err := r.Propose([]byte("x"))
		assert.NilError(t, err)
		r.Tick(afterTimeout + time.Duration(i)*time.Millisecond)
		r.Advance(r.Ready())
	}
	sent, now := 0, afterTimeout+proposals*time.Millisecond
	for i := range rejections {
		m := messageFrom(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
		m.Reject, m.Hint, m.LogIndex, m.SentAt = true, 2, uint64(3+i), int64(afterTimeout)+int64(i)*int64(time.Millisecond)
		r.Step(m, now+time.Duration(i)*time.Millisecond)
		d := r.Ready()
		sent += countEntries(d)
		r.Advance(d)
	}
	assert.Equal(t, sent, proposals+1)
}

// Until resent entries are answered, only heartbeats are sent.
func TestSingleProbe(t *testing.T) {
	r := newReplica(&eelpb.HardState{Term: 1}, 1)
	electLeader(t, r)
	m := messageFrom(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
	m.Reject, m.Hint, m.LogIndex, m.SentAt = true, 2, 3, int64(afterTimeout)
	r.Step(m, afterTimeout)
	assert.Equal(t, countEntries(r.Ready()), 1)
	for i := range 5 {
		_, err := r.Propose([]byte("x"))
		assert.NilError(t, err)
		d := r.Ready()
		assert.Equal(t, countEntries(d), 0)
		r.Advance(d)
		m := messageFrom(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
		m.Reject, m.Hint, m.LogIndex, m.SentAt = true, 2, 3, int64(afterTimeout)-1
		r.Step(m, afterTimeout+time.Duration(i)*time.Millisecond)
		assert.Equal(t, countEntries(r.Ready()), 0)
	}
	ackAppend(r, 3, afterTimeout, afterTimeout+10*time.Millisecond)
	assert.Equal(t, countEntries(r.Ready()), 5)
}

// newAppend returns an append message with one entry from the leader, replica 2.
func newAppend(index uint64) *eelpb.Message {
	m := messageFrom(2, eelpb.MessageKind_MESSAGE_APPEND, 1)
	m.LogIndex, m.LogTerm = index-1, 1
	m.Entries = []*eelpb.LogEntry{{Index: index, Term: 1}}
	return m
}

func TestReorderedAppends(t *testing.T) {
	tests := []struct {
		name    string
		order   []uint64
		last    Index
		rejects int
	}{
		{"in order", []uint64{3, 4, 5}, 5, 0},
		{"two swapped", []uint64{4, 3, 5}, 5, 0},
		{"reversed", []uint64{5, 4, 3}, 5, 0},
		{"one lost", []uint64{3, 5, 6, 7}, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReplica(&eelpb.HardState{Term: 1}, 1)
			for _, i := range tt.order {
				r.Step(newAppend(i), afterTimeout)
			}
			for i := range 10 {
				r.Tick(afterTimeout + time.Duration(i)*reorderTimeout/5)
			}
			rejects := 0
			for _, m := range r.Ready().Messages {
				if m.Kind == eelpb.MessageKind_MESSAGE_APPEND_REPLY && m.Reject {
					rejects++
				}
			}
			assert.Equal(t, r.LastIndex(), tt.last)
			assert.Equal(t, rejects, tt.rejects)
		})
	}
}

// A snapshot discards held append messages, including those whose missing entries it covers.
func TestSnapshotDropsReorderedAppends(t *testing.T) {
	r := newReplica(&eelpb.HardState{Term: 1}, 1)
	r.Step(newAppend(10), afterTimeout)
	m := messageFrom(2, eelpb.MessageKind_MESSAGE_SNAPSHOT, 1)
	m.Snapshot = &eelpb.Snapshot{Index: 20, Term: 1, Membership: threeVoters()}
	r.Step(m, afterTimeout)
	r.Tick(afterTimeout + 2*reorderTimeout)
	for _, m := range r.Ready().Messages {
		assert.Assert(t, !m.Reject)
	}
	assert.Equal(t, r.LastIndex(), Index(20))
}
