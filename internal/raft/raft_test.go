package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"gotest.tools/v3/assert"
)

const long = 2 * DefaultElectionTimeout

func three() *eelpb.Membership {
	m := &eelpb.Membership{}
	for i := uint64(1); i <= 3; i++ {
		m.Members = append(m.Members, &eelpb.Member{Id: i, Incarnation: 10 + i, Voter: true})
	}
	return m
}

// replica returns replica 1 of three, with entries of the given terms after the first snapshot.
func replica(h *eelpb.HardState, terms ...uint64) *Raft {
	d := PersistentState{HardState: h, Snapshot: &eelpb.Snapshot{Index: 1, Term: 1, Membership: three()}}
	for i, t := range terms {
		d.Entries = append(d.Entries, &eelpb.LogEntry{Index: uint64(i) + 2, Term: t})
	}
	return New(Config{ID: 1, Incarnation: 11, Rand: rand.New(rand.NewPCG(1, 1))}, d, 0)
}

func from(id uint64, k eelpb.MessageKind, term uint64) *eelpb.Message {
	return &eelpb.Message{Kind: k, From: id, FromIncarnation: 10 + id, To: 1, ToIncarnation: 11, Term: term}
}

// voteRequest asks for a vote in term 2.
func voteRequest(id, index, logTerm uint64) *eelpb.Message {
	m := from(id, eelpb.MessageKind_MESSAGE_VOTE, 2)
	m.LogIndex, m.LogTerm = index, logTerm
	return m
}

// granted tells whether a Ready grants a vote.
func granted(d Ready) bool {
	for _, m := range d.Messages {
		if m.Kind == eelpb.MessageKind_MESSAGE_VOTE_REPLY && !m.Reject {
			return true
		}
	}
	return false
}

func TestVotes(t *testing.T) {
	tests := []struct {
		name  string
		hard  *eelpb.HardState
		heard time.Duration
		m     *eelpb.Message
		want  bool
	}{
		{"first of a term", &eelpb.HardState{Term: 1}, 0, voteRequest(2, 2, 1), true},
		{"voted for another", &eelpb.HardState{Term: 2, Vote: 3}, 0, voteRequest(2, 2, 1), false},
		{"voted for the same", &eelpb.HardState{Term: 2, Vote: 2}, 0, voteRequest(2, 2, 1), true},
		{"shorter log", &eelpb.HardState{Term: 1}, 0, voteRequest(2, 1, 1), false},
		{"older log", &eelpb.HardState{Term: 1}, 0, voteRequest(2, 9, 0), false},
		{"older term", &eelpb.HardState{Term: 5}, 0, voteRequest(2, 2, 1), false},
		{"leader heard just now", &eelpb.HardState{Term: 1}, long - time.Millisecond, voteRequest(2, 2, 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := replica(tt.hard, 1)
			if tt.heard > 0 {
				r.Step(from(3, eelpb.MessageKind_MESSAGE_APPEND, 1), tt.heard)
				r.Ready()
			}
			r.Step(tt.m, long)
			assert.Equal(t, granted(r.Ready()), tt.want)
		})
	}
}

// A vote is in the hard state of the Ready that sends it, so that it is durable first.
func TestVoteIsDurable(t *testing.T) {
	r := replica(&eelpb.HardState{Term: 2}, 1)
	r.Step(voteRequest(2, 2, 1), long)
	d := r.Ready()
	assert.Assert(t, granted(d))
	assert.Equal(t, d.HardState.GetTerm(), uint64(2))
	assert.Equal(t, d.HardState.GetVote(), uint64(2))
	again := replica(d.HardState, 1)
	again.Step(voteRequest(3, 2, 1), long)
	assert.Assert(t, !granted(again.Ready()), "two votes in one term")
}

// A candidate asks for votes at once, but where the disk does not hold its whole log
// yet: after a restart the votes would count for a shorter one.
func TestVotesAreAskedForAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		before func(r *Raft)
		want   int
	}{
		{"whole log durable", func(*Raft) {}, 2},
		{"entries on their way to the disk", func(r *Raft) {
			m := from(3, eelpb.MessageKind_MESSAGE_APPEND, 1)
			m.LogIndex, m.LogTerm = 2, 1
			m.Entries = []*eelpb.LogEntry{{Index: 3, Term: 1}}
			r.Step(m, 0)
			r.Ready()
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := replica(&eelpb.HardState{Term: 1}, 1)
			tt.before(r)
			r.Tick(long)
			r.ImmediateMessages()
			r.Step(from(2, eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY, 2), long)
			assert.Equal(t, r.Role(), Candidate)
			assert.Equal(t, len(r.ImmediateMessages()), tt.want)
		})
	}
}

// lead makes a replica win an election with the vote of replica 2.
func lead(t *testing.T, r *Raft) {
	t.Helper()
	r.Tick(long)
	r.Ready()
	r.Step(from(2, eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY, uint64(r.Term())+1), long)
	d := r.Ready()
	r.Step(from(2, eelpb.MessageKind_MESSAGE_VOTE_REPLY, uint64(r.Term())), long)
	assert.Equal(t, r.Role(), Candidate, "its own vote is not durable yet")
	r.Advance(d)
	assert.Equal(t, r.Role(), Leader)
	r.Advance(r.Ready())
}

// follows acknowledges entries for replica 2.
func follows(r *Raft, index uint64, sent, now time.Duration) {
	m := from(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
	m.LogIndex, m.SentAt = index, int64(sent)
	r.Step(m, now)
}

// An entry of an earlier term is committed only with one of the leader's own
// (section 5.4.2 of the Raft paper).
func TestCommitNeedsOwnTerm(t *testing.T) {
	r := replica(&eelpb.HardState{Term: 3}, 2, 2)
	lead(t, r)
	follows(r, 3, long, long)
	assert.Equal(t, r.Commit(), Index(1))
	follows(r, 4, long, long)
	assert.Equal(t, r.Commit(), Index(4))
}

func TestLease(t *testing.T) {
	const d = DefaultElectionTimeout
	r := replica(&eelpb.HardState{Term: 1}, 1)
	lead(t, r)
	assert.Equal(t, r.LeaseUntil(), time.Duration(0), "nothing is committed in the term")
	follows(r, 3, long, long+10*time.Millisecond)
	assert.Equal(t, r.LeaseUntil(), long+d-d/clockRateBound, "the lease counts from when the message was sent")
	follows(r, 3, long+d/2, long+d/2)
	assert.Equal(t, r.LeaseUntil(), long+d/2+d-d/clockRateBound)
	r.Tick(long + d/2 + d)
	assert.Equal(t, r.Role(), Follower, "a leader without a quorum steps down")
	assert.Equal(t, r.LeaseUntil(), time.Duration(0))
}

func TestTransferEndsLease(t *testing.T) {
	r := replica(&eelpb.HardState{Term: 1}, 1)
	lead(t, r)
	follows(r, 3, long, long)
	assert.Assert(t, r.LeaseUntil() > long)
	assert.Assert(t, r.TransferLeadership())
	assert.Equal(t, r.LeaseUntil(), time.Duration(0))
	_, err := r.Propose([]byte("x"))
	assert.Assert(t, errs.Is(err, KindNotLeader))
	r.Tick(long + DefaultElectionTimeout)
	assert.Equal(t, r.Role(), Follower, "the lease does not come back after a transfer that failed")
}

func TestMembershipChanges(t *testing.T) {
	r := replica(&eelpb.HardState{Term: 1}, 1)
	_, err := r.AddLearner(&eelpb.Member{Id: 4})
	assert.Assert(t, errs.Is(err, KindNotLeader), "%v", err)
	lead(t, r)
	follows(r, 3, long, long)
	now := long + DefaultElectionTimeout/2
	follows(r, 3, now, now)
	r.Tick(now + DefaultElectionTimeout/2)
	tests := []struct {
		name string
		f    func() error
		kind Kind
	}{
		{"add a member again", func() error { _, err := r.AddLearner(&eelpb.Member{Id: 2}); return err }, KindUnsafe},
		{"promote a stranger", func() error { _, err := r.Promote(9); return err }, KindUnknown},
		{"remove a stranger", func() error { _, err := r.Remove(9, now); return err }, KindUnknown},
		{"remove a live voter while another is silent", func() error { _, err := r.Remove(2, now); return err }, KindUnsafe},
		{"remove the silent voter", func() error { _, err := r.Remove(3, now); return err }, ""},
		{"change while another is pending", func() error { _, err := r.AddLearner(&eelpb.Member{Id: 4}); return err }, KindPending},
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

// A leader that was just elected has heard of no one but those who followed it
// since: a removal must not count the others as answering.
func TestRemoveRightAfterElection(t *testing.T) {
	r := replica(&eelpb.HardState{Term: 1}, 1)
	lead(t, r)
	follows(r, 3, long, long)
	_, err := r.Remove(1, long)
	assert.Assert(t, errs.Is(err, KindUnsafe), "replica 3 has not answered yet: %v", err)
}

// entriesTo counts the entries that a Ready sends to replica 2.
func entriesTo(d Ready) int {
	n := 0
	for _, m := range d.Messages {
		if m.To == 2 {
			n += len(m.Entries)
		}
	}
	return n
}

// However many messages were rejected, what they lacked is sent again once.
func TestStaleRejections(t *testing.T) {
	const proposals, rejections = 20, 10
	r := replica(&eelpb.HardState{Term: 1}, 1)
	lead(t, r)
	for i := range proposals {
		_, err := r.Propose([]byte("x"))
		assert.NilError(t, err)
		r.Tick(long + time.Duration(i)*time.Millisecond)
		r.Advance(r.Ready())
	}
	sent, now := 0, long+proposals*time.Millisecond
	for i := range rejections {
		m := from(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
		m.Reject, m.Hint, m.LogIndex, m.SentAt = true, 2, uint64(3+i), int64(long)+int64(i)*int64(time.Millisecond)
		r.Step(m, now+time.Duration(i)*time.Millisecond)
		d := r.Ready()
		sent += entriesTo(d)
		r.Advance(d)
	}
	assert.Equal(t, sent, proposals+1)
}

// While entries that were sent again are under way, nothing else is sent but heartbeats.
func TestOneProbe(t *testing.T) {
	r := replica(&eelpb.HardState{Term: 1}, 1)
	lead(t, r)
	m := from(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
	m.Reject, m.Hint, m.LogIndex, m.SentAt = true, 2, 3, int64(long)
	r.Step(m, long)
	assert.Equal(t, entriesTo(r.Ready()), 1)
	for i := range 5 {
		_, err := r.Propose([]byte("x"))
		assert.NilError(t, err)
		d := r.Ready()
		assert.Equal(t, entriesTo(d), 0)
		r.Advance(d)
		m := from(2, eelpb.MessageKind_MESSAGE_APPEND_REPLY, uint64(r.Term()))
		m.Reject, m.Hint, m.LogIndex, m.SentAt = true, 2, 3, int64(long)-1
		r.Step(m, long+time.Duration(i)*time.Millisecond)
		assert.Equal(t, entriesTo(r.Ready()), 0)
	}
	follows(r, 3, long, long+10*time.Millisecond)
	assert.Equal(t, entriesTo(r.Ready()), 5)
}

// appendOf returns an append message of the leader, replica 2, with one entry.
func appendOf(index uint64) *eelpb.Message {
	m := from(2, eelpb.MessageKind_MESSAGE_APPEND, 1)
	m.LogIndex, m.LogTerm = index-1, 1
	m.Entries = []*eelpb.LogEntry{{Index: index, Term: 1}}
	return m
}

func TestOvertaken(t *testing.T) {
	tests := []struct {
		name    string
		order   []uint64
		last    Index
		rejects int
	}{
		{"in order", []uint64{3, 4, 5}, 5, 0},
		{"one overtook", []uint64{4, 3, 5}, 5, 0},
		{"turned round", []uint64{5, 4, 3}, 5, 0},
		{"one lost", []uint64{3, 5, 6, 7}, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := replica(&eelpb.HardState{Term: 1}, 1)
			for _, i := range tt.order {
				r.Step(appendOf(i), long)
			}
			for i := range 10 {
				r.Tick(long + time.Duration(i)*earlyWait/5)
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

// A message that waited for entries which a snapshot brought is forgotten.
func TestOvertakenBySnapshot(t *testing.T) {
	r := replica(&eelpb.HardState{Term: 1}, 1)
	r.Step(appendOf(10), long)
	m := from(2, eelpb.MessageKind_MESSAGE_SNAPSHOT, 1)
	m.Snapshot = &eelpb.Snapshot{Index: 20, Term: 1, Membership: three()}
	r.Step(m, long)
	r.Tick(long + 2*earlyWait)
	for _, m := range r.Ready().Messages {
		assert.Assert(t, !m.Reject)
	}
	assert.Equal(t, r.LastIndex(), Index(20))
}
