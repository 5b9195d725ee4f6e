package raft

import "github.com/eelgrassroad/eelgrassroad/internal/eelpb"

// Ready is what the caller must do next, in the order of the fields. Until
// Advance is called with it, no other may be taken.
type Ready struct {
	// HardState is set when term or vote changed; it must be durable before messages go out.
	HardState *eelpb.HardState
	// Snapshot is set when a snapshot came from the leader.
	Snapshot *eelpb.Snapshot
	// Entries must be durable before messages go out; they replace what the disk holds from the first index on.
	Entries  []*eelpb.LogEntry
	Messages []*eelpb.Message
}

// MustSync tells whether anything must be made durable.
func (d Ready) MustSync() bool {
	return d.HardState != nil || d.Snapshot != nil || len(d.Entries) > 0
}

// outgoing is a message that waits to be sent.
type outgoing struct {
	m *eelpb.Message
	// free says that it depends on nothing that is not durable yet.
	free bool
}

// HasReady tells whether Ready has anything to do.
func (r *Raft) HasReady() bool {
	return r.hardDirty || r.snapDirty != nil || len(r.out) > 0 || r.log.hasUnstable()
}

// Ready returns what is to be made durable and sent now.
func (r *Raft) Ready() Ready {
	d := Ready{Snapshot: r.snapDirty, Entries: r.log.unstable()}
	if r.hardDirty {
		d.HardState = &eelpb.HardState{Term: uint64(r.term), Vote: uint64(r.vote), Commit: uint64(r.log.commit)}
	}
	for _, o := range r.out {
		d.Messages = append(d.Messages, o.m)
	}
	r.hardSaving, r.snapSaving = d.HardState != nil, d.Snapshot != nil
	r.hardDirty, r.snapDirty, r.out = false, nil, nil
	return d
}

// SetWriting tells the replica that its disk begins or ends a write, be it of a
// Ready or of a snapshot of its own.
func (r *Raft) SetWriting(on bool) {
	r.writing, r.writingSince = on, r.now
}

// ImmediateMessages returns the messages that depend on nothing that is not durable yet.
func (r *Raft) ImmediateMessages() []*eelpb.Message {
	var free []*eelpb.Message
	kept := r.out[:0]
	for _, o := range r.out {
		if o.free {
			free = append(free, o.m)
			continue
		}
		kept = append(kept, o)
	}
	r.out = kept
	return free
}

// InstalledSnapshot returns the leader's snapshot that replaces the state, once, or nil.
func (r *Raft) InstalledSnapshot() *eelpb.Snapshot {
	s := r.restored
	r.restored = nil
	return s
}

// Committed returns the entries to apply next, after Restored. A quorum has made
// them durable; this replica may not have yet.
func (r *Raft) Committed() []*eelpb.LogEntry {
	e := r.log.committed()
	r.log.applied += Index(len(e))
	return e
}

// Advance tells the replica that a Ready was saved and sent.
func (r *Raft) Advance(d Ready) {
	if d.HardState != nil && r.role != Leader {
		// A vote goes out, and counts, only now. The disks of others may be as slow,
		// and end a write before that of their vote.
		r.resetElection()
		if r.writing {
			r.electAt += 2 * (r.now - r.writingSince)
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

// termDurable tells whether the disk holds the present term and vote.
func (r *Raft) termDurable() bool { return !r.hardDirty && !r.hardSaving }

// independent tells whether all that a message promises is durable already: the
// term and vote, and the entries that it speaks of. A request for votes promises no
// vote: the candidate counts its own once it is durable.
func (r *Raft) independent(m *eelpb.Message) bool {
	if r.snapDirty != nil || r.snapSaving {
		return false
	}
	switch m.Kind {
	case eelpb.MessageKind_MESSAGE_PRE_VOTE, eelpb.MessageKind_MESSAGE_PRE_VOTE_REPLY:
		return true
	case eelpb.MessageKind_MESSAGE_VOTE:
		// After a restart the answers would count for what is left of the log.
		return Index(m.LogIndex) <= r.log.stable
	case eelpb.MessageKind_MESSAGE_APPEND_REPLY:
		return r.termDurable() && (m.Reject || Index(m.LogIndex) <= r.log.stable)
	}
	return r.termDurable()
}
