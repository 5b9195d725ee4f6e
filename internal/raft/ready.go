package raft

import "github.com/eelgrassroad/eelgrassroad/internal/eelpb"

// Ready is the work that the caller must do next, in the order of the fields. The
// caller must pass it to Advance before it takes another.
type Ready struct {
	// Hard is set if the term or vote changed; it must be durable before Messages are sent.
	Hard *eelpb.HardState
	// Snapshot is set if a snapshot was received from the leader.
	Snapshot *eelpb.Snapshot
	// Entries must be durable before Messages are sent; they replace all stored entries
	// from their first index on.
	Entries  []*eelpb.LogEntry
	Messages []*eelpb.Message
}

// MustSync reports whether the Ready contains state that must be made durable.
func (d Ready) MustSync() bool {
	return d.Hard != nil || d.Snapshot != nil || len(d.Entries) > 0
}

// outgoing is a queued message.
type outgoing struct {
	m *eelpb.Message
	// immediate is set if the message depends only on durable state.
	immediate bool
}

// HasReady reports whether there is state to make durable or a message to send.
func (r *Raft) HasReady() bool {
	return r.hardDirty || r.pendingSnapshot != nil || len(r.outbox) > 0 || r.log.hasUnstable()
}

// Ready returns the state to make durable and the messages to send afterwards.
func (r *Raft) Ready() Ready {
	d := Ready{Snapshot: r.pendingSnapshot, Entries: r.log.unstable()}
	if r.hardDirty {
		d.Hard = &eelpb.HardState{Term: uint64(r.term), Vote: uint64(r.vote), Commit: uint64(r.log.commit)}
	}
	for _, o := range r.outbox {
		d.Messages = append(d.Messages, o.m)
	}
	r.hardSaving, r.snapSaving = d.Hard != nil, d.Snapshot != nil
	r.hardDirty, r.pendingSnapshot, r.outbox = false, nil, nil
	return d
}

// SetWriting records that a disk write begins or ends, either of a Ready or of a
// snapshot taken locally.
func (r *Raft) SetWriting(on bool) {
	r.writing, r.writingSince = on, r.now
}

// ImmediateMessages removes and returns the queued messages that depend only on durable
// state and so may be sent before the next Advance.
func (r *Raft) ImmediateMessages() []*eelpb.Message {
	var free []*eelpb.Message
	kept := r.outbox[:0]
	for _, o := range r.outbox {
		if o.immediate {
			free = append(free, o.m)
			continue
		}
		kept = append(kept, o)
	}
	r.outbox = kept
	return free
}

// InstalledSnapshot returns a snapshot received from the leader, which replaces the state
// machine's state. Each snapshot is returned once; otherwise the result is nil.
func (r *Raft) InstalledSnapshot() *eelpb.Snapshot {
	s := r.installed
	r.installed = nil
	return s
}

// Committed returns the entries to apply next, after InstalledSnapshot. They are
// durable on a quorum, but possibly not on this replica yet.
func (r *Raft) Committed() []*eelpb.LogEntry {
	e := r.log.committed()
	r.log.applied += Index(len(e))
	return e
}

// Advance records that a Ready has been made durable and sent.
func (r *Raft) Advance(d Ready) {
	if d.Hard != nil && r.role != Leader {
		// A vote is sent and counted only once durable, so the election timeout restarts
		// here. Other replicas' disks may be as slow and may have to finish another write
		// before that of their vote, so the deadline is extended by twice this write's
		// duration.
		r.resetElection()
		if r.writing {
			r.electionDeadline += 2 * (r.now - r.writingSince)
		}
	}
	r.hardSaving, r.snapSaving = false, false
	if n := len(d.Entries); n > 0 {
		e := d.Entries[n-1]
		r.log.stableTo(Index(e.Index), Term(e.Term))
	}
	switch r.role {
	case Leader:
		r.maybeCommit()
	case Candidate:
		r.countVotes()
	}
}

// termDurable reports whether the current term and vote are durable.
func (r *Raft) termDurable() bool { return !r.hardDirty && !r.hardSaving }

// isImmediate reports whether everything that a message asserts is already durable:
// the term and vote, and the entries that it refers to. A vote request does not
// assert the candidate's own vote, which is counted only once it is durable.
func (r *Raft) isImmediate(m *eelpb.Message) bool {
	if r.pendingSnapshot != nil || r.snapSaving {
		return false
	}
	switch m.Kind {
	case eelpb.MessageKind_MESSAGE_PRE_VOTE, eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY:
		return true
	case eelpb.MessageKind_MESSAGE_VOTE:
		// After a restart the votes would count for a log without its unsaved entries.
		return Index(m.LogIndex) <= r.log.stable
	case eelpb.MessageKind_MESSAGE_APPEND_REPLY:
		return r.termDurable() && (m.Reject || Index(m.LogIndex) <= r.log.stable)
	}
	return r.termDurable()
}
