// Package raft is the consensus core of the state replicas: the Raft algorithm
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
// 2014) with pre-vote, leader leases by check-quorum, single-member membership
// changes, learners and snapshots (Ongaro's thesis, chapters 4, 6 and 9).
//
// The core does no input or output and reads no clock. The caller feeds it
// messages and the monotonic time, takes a Ready, makes its entries durable,
// and only then sends its messages. While that lasts the core takes further
// messages, and what depends on nothing unsaved may be sent: a disk that stalls
// costs a leader neither its heartbeats nor what the other disks commit
// (Ongaro's thesis, 10.2.1).
//
// # Usage
//
//	r := raft.New(raft.Config{ID: 1, Incarnation: 9, Rand: rnd}, restored)
//	r.Tick(now)
//	r.Step(message, now)
//	send(r.Free())
//	restore(r.Restored()) // if there is one
//	apply(r.Committed())
//	if r.HasReady() {     // one at a time
//		d := r.Ready()
//		save(d)           // synced; all of the above may go on meanwhile
//		send(d.Messages)
//		r.Advance(d)
//	}
//
// A replica is known by its id and incarnation. A wiped disk has a new
// incarnation, and the core neither counts nor answers votes of an incarnation
// that is not in the membership: a replica that forgot what it promised can
// not vote again before it was re-admitted.
package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// ReplicaID names a state replica.
type ReplicaID uint64

// Incarnation names one life of a replica's disk.
type Incarnation uint64

// Term is a period with at most one leader.
type Term uint64

// Index is a position in the log, counted from 1.
type Index uint64

// Role is what a replica is in its term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the short name of the role.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindNotLeader Kind = "notLeader"
	KindPending   Kind = "changePending"
	KindUnsafe    Kind = "unsafeChange"
	KindUnknown   Kind = "unknownReplica"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// DefaultElectionTimeout is the least time without a leader before an election.
	DefaultElectionTimeout = 600 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats of a leader.
	DefaultHeartbeatInterval = 200 * time.Millisecond
	// clockRateBound divides a timeout to give what clocks may drift apart in it.
	clockRateBound = 50
	// maxBatchBytes bounds the entries of one append message.
	maxBatchBytes = 256 << 10
	// maxLogBytes is above what a log in memory ever holds.
	maxLogBytes = 1 << 40
	// maxCatchUpLag is how far behind the commit index a learner may be when it is promoted.
	maxCatchUpLag = 16
)

// Config is what a replica knows before its disk is read.
type Config struct {
	ID                ReplicaID
	Incarnation       Incarnation
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	Rand              *rand.Rand
}

// PersistentState is what a replica reads from its disk.
type PersistentState struct {
	HardState *eelpb.HardState
	Snapshot  *eelpb.Snapshot
	Entries   []*eelpb.LogEntry
}

type progress struct {
	match Index
	next  Index
	acked time.Duration
	// probing says that entries were sent again after a rejection, at probedAt,
	// and that nothing else is sent before they are answered.
	probing  bool
	probedAt time.Duration
	// replied says that the replica has followed this leader.
	replied  bool
	snapSent time.Duration
	snap     Index
}

// Raft is the state of one replica. It is not safe for concurrent use.
type Raft struct {
	c Config

	role   Role
	term   Term
	vote   ReplicaID
	leader ReplicaID
	log    *log

	members  *eelpb.Membership
	progress map[ReplicaID]*progress
	votes    map[ReplicaID]bool

	now         time.Duration
	heardAt     time.Duration
	electAt     time.Duration
	beatAt      time.Duration
	wonAt       time.Duration
	transferTo  ReplicaID
	transferEnd time.Duration

	early     early
	hardDirty bool
	snapDirty *eelpb.Snapshot
	// restored is the leader's snapshot that the caller was not given yet.
	restored *eelpb.Snapshot
	// hardSaving and snapSaving tell what the Ready that was taken and not advanced
	// yet makes durable.
	hardSaving bool
	snapSaving bool
	// writing says that the disk is at work, since writingSince.
	writing      bool
	writingSince time.Duration
	out          []outgoing
}

// New returns a replica as its disk left it.
func New(c Config, d PersistentState, now time.Duration) *Raft {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	r := &Raft{c: c, log: newLog(d.Snapshot, d.Entries), now: now}
	if d.HardState != nil {
		r.term = Term(d.HardState.Term)
		r.vote = ReplicaID(d.HardState.Vote)
		// What was committed once stays so, and no leader is needed to know it.
		r.log.commit = max(r.log.commit, min(Index(d.HardState.Commit), r.log.last()))
	}
	r.members = r.log.membership()
	// A restarted replica forgot when it last heard its leader, so it sits out one timeout.
	r.heardAt = now
	r.resetElection()
	return r
}

// Role returns the replica's role.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() Term { return r.term }

// Leader returns the leader that this replica knows, or 0.
func (r *Raft) Leader() ReplicaID { return r.leader }

// Commit returns the last committed index.
func (r *Raft) Commit() Index { return r.log.commit }

// Applied returns the last index that was handed out to be applied.
func (r *Raft) Applied() Index { return r.log.applied }

// LastIndex returns the last index of the log.
func (r *Raft) LastIndex() Index { return r.log.last() }

// Members returns the membership in force.
func (r *Raft) Members() *eelpb.Membership { return r.members }

// HasMembership tells whether the replica belongs to a group.
func (r *Raft) HasMembership() bool { return len(r.members.GetMembers()) > 0 }

// ElectedAt returns when this replica became leader.
func (r *Raft) ElectedAt() time.Duration { return r.wonAt }

// Match returns how far the replica with the id follows this leader.
func (r *Raft) Match(id ReplicaID) Index {
	p, ok := r.progress[id]
	if !ok {
		return 0
	}
	return p.match
}

// SinceLastAck returns how long ago a member last followed a message of this leader.
func (r *Raft) SinceLastAck(id ReplicaID) time.Duration {
	p, ok := r.progress[id]
	if !ok || id == r.c.ID {
		return 0
	}
	return r.now - p.acked
}

// SinceLeaderContact returns for how long this replica has heard no leader; a leader has.
func (r *Raft) SinceLeaderContact() time.Duration {
	if r.role == Leader {
		return 0
	}
	return r.now - r.heardAt
}

// LeaseUntil returns the time until which no other replica can be leader. It is
// zero when this replica is no leader or has not committed in its term yet.
func (r *Raft) LeaseUntil() time.Duration {
	if r.role != Leader || r.transferTo != 0 || !r.committedInTerm() {
		return 0
	}
	return r.quorumAck() + r.c.ElectionTimeout - r.c.ElectionTimeout/clockRateBound
}

func (r *Raft) committedInTerm() bool {
	return r.log.term(r.log.commit) == r.term
}

// Tick tells the replica the time.
func (r *Raft) Tick(now time.Duration) {
	r.advanceClock(now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.early.due(r.now) {
		r.reject(r.early.drop())
	}
	// A campaign would wait for a disk that is at work, perhaps on a vote for another.
	if r.now >= r.electAt && r.isVoter() && !r.writing {
		r.campaign(false)
	}
}

func (r *Raft) advanceClock(now time.Duration) {
	r.now = max(r.now, now)
}

func (r *Raft) tickLeader() {
	if r.now >= r.quorumAck()+r.c.ElectionTimeout {
		r.becomeFollower(r.term, 0)
		return
	}
	if r.transferTo != 0 && r.now >= r.transferEnd {
		// The request to take over may still be on its way, so this term's lease is over.
		r.becomeFollower(r.term, 0)
		return
	}
	if r.now >= r.beatAt {
		r.beatAt = r.now + r.c.HeartbeatInterval
		r.broadcast(true)
	}
}

// quorumAck returns the latest time at which a quorum is known to have followed this leader.
func (r *Raft) quorumAck() time.Duration {
	t := make([]time.Duration, 0, len(r.members.Members))
	for _, m := range r.members.Members {
		if !m.Voter {
			continue
		}
		if ReplicaID(m.Id) == r.c.ID {
			t = append(t, r.now)
			continue
		}
		t = append(t, r.progress[ReplicaID(m.Id)].acked)
	}
	if len(t) == 0 {
		return r.now
	}
	slices.Sort(t)
	return t[(len(t)-1)/2]
}

// Propose appends commands to the log of the leader and returns the index of the first.
func (r *Raft) Propose(data ...[]byte) (Index, error) {
	if r.role != Leader || r.transferTo != 0 {
		return 0, errs.Newf("raft.Propose", KindNotLeader, "replica %d is %s in term %d", r.c.ID, r.role, r.term)
	}
	first := r.log.last() + 1
	for _, d := range data {
		r.appendOwn(eelpb.EntryKind_ENTRY_COMMAND, d)
	}
	r.broadcast(false)
	return first, nil
}

func (r *Raft) appendOwn(k eelpb.EntryKind, data []byte) Index {
	e := &eelpb.LogEntry{Index: uint64(r.log.last() + 1), Term: uint64(r.term), Kind: k, Data: data}
	r.log.append(e)
	return Index(e.Index)
}

// Compact drops the log up to the index, which a snapshot now holds.
func (r *Raft) Compact(i Index) {
	r.log.compact(i)
}

// MembershipAt returns the membership as of an index that the log still holds.
func (r *Raft) MembershipAt(i Index) *eelpb.Membership {
	return r.log.membershipAt(i)
}

// TermAt returns the term of an index that the log still holds.
func (r *Raft) TermAt(i Index) Term {
	return r.log.term(i)
}

func (r *Raft) send(to ReplicaID, m *eelpb.Message) {
	t := findMember(r.members, to)
	if t == nil {
		return
	}
	r.sendTo(to, Incarnation(t.Incarnation), m)
}

func (r *Raft) sendTo(to ReplicaID, inc Incarnation, m *eelpb.Message) {
	m.From, m.FromIncarnation = uint64(r.c.ID), uint64(r.c.Incarnation)
	m.To, m.ToIncarnation = uint64(to), uint64(inc)
	if m.Term == 0 {
		m.Term = uint64(r.term)
	}
	r.out = append(r.out, outgoing{m: m, free: r.independent(m)})
}

// EntriesAfter returns the entries behind an index.
func (r *Raft) EntriesAfter(i Index) []*eelpb.LogEntry {
	return r.log.slice(i+1, maxLogBytes)
}
