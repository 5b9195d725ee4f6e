// Package raft is the consensus core of the state replicas: the Raft algorithm
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
// 2014) with pre-vote, leader leases by check-quorum, single-member membership
// changes, learners and snapshots (Ongaro's thesis, chapters 4, 6 and 9).
//
// The core performs no I/O and reads no clock. The caller passes in messages and
// the monotonic time, takes a Ready, makes its entries durable, and only then
// sends its messages. During that write the core accepts further messages, and
// messages that do not depend on unsaved state may be sent: a leader whose disk
// stalls keeps sending heartbeats and still commits entries that are durable on a
// quorum of other replicas (Ongaro's thesis, 10.2.1).
//
// # Usage
//
//	r := raft.New(raft.Config{ID: 1, Incarnation: 9, Rand: rnd}, state, now)
//	r.Tick(now)
//	r.Step(message, now)
//	send(r.ImmediateMessages())
//	restore(r.InstalledSnapshot()) // unless nil
//	apply(r.Committed())
//	if r.HasReady() {     // one at a time
//		d := r.Ready()
//		save(d)           // with a sync; all of the above may run concurrently
//		send(d.Messages)
//		r.Advance(d)
//	}
//
// A replica is identified by its id and incarnation. A wiped disk gets a new
// incarnation. The core ignores messages addressed to another incarnation and
// counts only votes from incarnations in the membership, so a replica that lost
// its term and vote cannot vote again until it is re-admitted.
package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// ReplicaID identifies a state replica.
type ReplicaID uint64

// Incarnation identifies a replica's disk from its initialization until it is wiped.
type Incarnation uint64

// Term is a period with at most one leader.
type Term uint64

// Index is a position in the log, counted from 1.
type Index uint64

// Role is a replica's role in its current term.
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

// Kind classifies the errors of the package.
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
	// DefaultElectionTimeout is the minimum time without leader contact before an election.
	DefaultElectionTimeout = 600 * time.Millisecond
	// DefaultHeartbeatInterval is the interval between a leader's heartbeats.
	DefaultHeartbeatInterval = 200 * time.Millisecond
	// clockDriftDivisor divides a timeout to give the maximum clock drift between
	// replicas over that timeout.
	clockDriftDivisor = 50
	// maxBatchBytes is the maximum size of the entries in one append message.
	maxBatchBytes = 256 << 10
	// noSizeLimit is a size in bytes that exceeds that of any log held in memory.
	noSizeLimit = 1 << 40
	// maxCatchUpLag is the maximum number of entries by which a learner may lag behind
	// the commit index when it is promoted.
	maxCatchUpLag = 16
)

// Config is a replica's configuration, known before its disk is read.
type Config struct {
	ID                ReplicaID
	Incarnation       Incarnation
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	Rand              *rand.Rand
}

// PersistentState is the state that a replica reads from its disk.
type PersistentState struct {
	Hard     *eelpb.HardState
	Snapshot *eelpb.Snapshot
	Entries  []*eelpb.LogEntry
}

// progress is the leader's view of one follower.
type progress struct {
	match Index
	next  Index
	// ackedSentAt is when the latest acknowledged message was sent, or at first when the
	// leader began to track the follower.
	ackedSentAt time.Duration
	// heardAt is when the latest message that this leader or an earlier one knows to be
	// acknowledged was sent.
	heardAt time.Duration
	// probing is set once entries have been resent after a rejection, at probedAt; no
	// other entries are sent until they are answered or an election timeout passes.
	probing  bool
	probedAt time.Duration
	// replied is set once the replica has answered an append message of this leader.
	replied    bool
	snapSentAt time.Duration
	snapIndex  Index
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

	now             time.Duration
	leaderContactAt time.Duration
	// contactLeader is the leader that was in contact at leaderContactAt, or 0.
	contactLeader ReplicaID
	// silences are the members that a leader had not heard for a while at silencesAt.
	silences         []*eelpb.Silence
	silencesAt       time.Duration
	electionDeadline time.Duration
	heartbeatAt      time.Duration
	electedAt        time.Duration
	transferTo       ReplicaID
	transferDeadline time.Duration

	reorderBuffer reorderBuffer
	hardDirty     bool
	// pendingSnapshot is the leader's snapshot that the next Ready contains, or nil.
	pendingSnapshot *eelpb.Snapshot
	// installed is the leader's snapshot that the caller has not taken yet.
	installed *eelpb.Snapshot
	// hardSaving and snapSaving report whether the outstanding Ready, which has not been
	// passed to Advance yet, contains a hard state and a snapshot.
	hardSaving bool
	snapSaving bool
	// writing is set while a disk write is in progress, begun at writingSince.
	writing      bool
	writingSince time.Duration
	outbox       []outgoing
}

// New returns a replica with the state recovered from its disk.
func New(c Config, d PersistentState, now time.Duration) *Raft {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	r := &Raft{c: c, log: newLog(d.Snapshot, d.Entries), now: now}
	if d.Hard != nil {
		r.term = Term(d.Hard.Term)
		r.vote = ReplicaID(d.Hard.Vote)
		// A committed entry stays committed, so the stored commit index is valid without a leader.
		r.log.commit = max(r.log.commit, min(Index(d.Hard.Commit), r.log.last()))
	}
	r.members = r.log.membership()
	// A restarted replica does not know its last leader contact. It assumes contact at
	// the start and so stays out of elections for one timeout.
	r.leaderContactAt = now
	r.resetElection()
	return r
}

// Role returns the replica's role.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() Term { return r.term }

// Leader returns the leader known to this replica, or 0.
func (r *Raft) Leader() ReplicaID { return r.leader }

// Commit returns the commit index.
func (r *Raft) Commit() Index { return r.log.commit }

// Applied returns the index of the last entry returned by Committed to be applied.
func (r *Raft) Applied() Index { return r.log.applied }

// LastIndex returns the last index of the log.
func (r *Raft) LastIndex() Index { return r.log.last() }

// Members returns the membership in force.
func (r *Raft) Members() *eelpb.Membership { return r.members }

// Formed reports whether the replica knows the members of its group.
func (r *Raft) Formed() bool { return len(r.members.GetMembers()) > 0 }

// ElectedAt returns when this replica became leader.
func (r *Raft) ElectedAt() time.Duration { return r.electedAt }

// Match returns the last index that a replica's log is known to share with this leader's.
func (r *Raft) Match(id ReplicaID) Index {
	p, ok := r.progress[id]
	if !ok {
		return 0
	}
	return p.match
}

// SinceLeaderContact returns the time since this replica last received a message from a
// leader, or 0 if it is the leader.
func (r *Raft) SinceLeaderContact() time.Duration {
	if r.role == Leader {
		return 0
	}
	return r.now - r.leaderContactAt
}

// LeaseUntil returns the end of the leader lease: no other replica can be leader before
// it. It is zero if this replica is not the leader, has not committed an entry in its
// term yet, or is transferring leadership.
func (r *Raft) LeaseUntil() time.Duration {
	if r.role != Leader || r.transferTo != 0 || !r.committedInTerm() {
		return 0
	}
	return r.quorumAckAt() + r.c.ElectionTimeout - r.c.ElectionTimeout/clockDriftDivisor
}

func (r *Raft) committedInTerm() bool {
	return r.log.term(r.log.commit) == r.term
}

// Tick advances the replica's clock and handles expired timeouts.
func (r *Raft) Tick(now time.Duration) {
	r.advanceClock(now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.reorderBuffer.expired(r.now) {
		r.reject(r.reorderBuffer.flush())
	}
	// During a disk write a campaign would have to wait for it, and the write may
	// contain a vote for another candidate.
	if r.now >= r.electionDeadline && r.isVoter() && !r.writing {
		r.campaign(false)
	}
}

func (r *Raft) advanceClock(now time.Duration) {
	r.now = max(r.now, now)
}

func (r *Raft) tickLeader() {
	if r.now >= r.quorumAckAt()+r.c.ElectionTimeout {
		r.becomeFollower(r.term, 0)
		return
	}
	if r.transferTo != 0 && r.now >= r.transferDeadline {
		// The timeout-now message may still be in flight, so this term's lease cannot resume.
		r.becomeFollower(r.term, 0)
		return
	}
	if r.now >= r.heartbeatAt {
		r.heartbeatAt = r.now + r.c.HeartbeatInterval
		r.broadcast(true)
	}
}

// quorumAckAt returns the latest time such that a quorum has answered messages that this
// leader sent at or after it.
func (r *Raft) quorumAckAt() time.Duration {
	t := make([]time.Duration, 0, len(r.members.Members))
	for _, m := range r.members.Members {
		if !m.Voter {
			continue
		}
		if ReplicaID(m.Id) == r.c.ID {
			t = append(t, r.now)
			continue
		}
		t = append(t, r.progress[ReplicaID(m.Id)].ackedSentAt)
	}
	if len(t) == 0 {
		return r.now
	}
	slices.Sort(t)
	return t[(len(t)-1)/2]
}

// Propose appends commands to the leader's log and returns the index of the first.
func (r *Raft) Propose(data ...[]byte) (Index, error) {
	if r.role != Leader || r.transferTo != 0 {
		return 0, errs.Newf("raft.Propose", KindNotLeader, "replica %d is %s in term %d", r.c.ID, r.role, r.term)
	}
	first := r.log.last() + 1
	for _, d := range data {
		r.appendEntry(eelpb.EntryKind_ENTRY_COMMAND, d)
	}
	r.broadcast(false)
	return first, nil
}

func (r *Raft) appendEntry(k eelpb.EntryKind, data []byte) Index {
	e := &eelpb.LogEntry{Index: uint64(r.log.last() + 1), Term: uint64(r.term), Kind: k, Data: data}
	r.log.append(e)
	return Index(e.Index)
}

// Compact discards the entries up to index i, which a snapshot now covers.
func (r *Raft) Compact(i Index) {
	r.log.compact(i)
}

// MembershipAt returns the membership as of an index that has not been compacted.
func (r *Raft) MembershipAt(i Index) *eelpb.Membership {
	return r.log.membershipAt(i)
}

// TermAt returns the term of the entry at an index, or 0 if the log does not hold the entry.
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
	r.outbox = append(r.outbox, outgoing{m: m, immediate: r.isImmediate(m)})
}

// EntriesAfter returns the entries after index i.
func (r *Raft) EntriesAfter(i Index) []*eelpb.LogEntry {
	return r.log.slice(i+1, noSizeLimit)
}
