package raft

import (
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"google.golang.org/protobuf/proto"
)

// log holds the entries after the latest snapshot.
type log struct {
	base           Index
	baseTerm       Term
	baseMembership *eelpb.Membership
	entries        []*eelpb.LogEntry
	stable         Index
	commit         Index
	applied        Index
}

func newLog(s *eelpb.Snapshot, entries []*eelpb.LogEntry) *log {
	l := &log{baseMembership: &eelpb.Membership{}, entries: entries}
	if s != nil {
		l.base, l.baseTerm = Index(s.Index), Term(s.Term)
		l.baseMembership = s.Membership
	}
	l.commit, l.applied = l.base, l.base
	l.stable = l.last()
	return l
}

func (l *log) last() Index {
	return l.base + Index(len(l.entries))
}

// term returns the term of the entry at index i, or 0 if the log does not hold it.
func (l *log) term(i Index) Term {
	if i == l.base {
		return l.baseTerm
	}
	if i < l.base || i > l.last() {
		return 0
	}
	return Term(l.entries[i-l.base-1].Term)
}

func (l *log) append(e *eelpb.LogEntry) {
	l.entries = append(l.entries, e)
}

// merge appends the leader's entries, drops local entries that conflict with them,
// and reports whether any were dropped.
func (l *log) merge(entries []*eelpb.LogEntry) bool {
	dropped := false
	for _, e := range entries {
		i := Index(e.Index)
		if i <= l.base {
			continue
		}
		if i <= l.last() {
			if l.term(i) == Term(e.Term) {
				continue
			}
			l.truncate(i)
			dropped = true
		}
		l.append(e)
	}
	return dropped
}

func (l *log) truncate(from Index) {
	if from <= l.commit {
		panic("raft: truncation would remove a committed entry")
	}
	l.entries = slices.Clone(l.entries[:from-l.base-1])
	l.stable = min(l.stable, from-1)
}

func (l *log) hasUnstable() bool {
	return l.stable < l.last()
}

func (l *log) unstable() []*eelpb.LogEntry {
	if !l.hasUnstable() {
		return nil
	}
	return slices.Clone(l.entries[l.stable-l.base:])
}

// stableTo marks the entries up to i as durable unless they have been replaced since.
func (l *log) stableTo(i Index, t Term) {
	if i <= l.last() && l.term(i) == t {
		l.stable = max(l.stable, i)
	}
}

// committed returns the committed entries that have not been applied.
func (l *log) committed() []*eelpb.LogEntry {
	if l.commit <= l.applied {
		return nil
	}
	return slices.Clone(l.entries[l.applied-l.base : l.commit-l.base])
}

// slice returns the entries from an index on, at most maxBytes of data but at least one entry.
func (l *log) slice(from Index, maxBytes int) []*eelpb.LogEntry {
	if from > l.last() {
		return nil
	}
	s := l.entries[from-l.base-1:]
	n := 0
	for i, e := range s {
		n += len(e.Data)
		if n > maxBytes && i > 0 {
			return slices.Clone(s[:i])
		}
	}
	return slices.Clone(s)
}

func (l *log) compact(i Index) {
	if i <= l.base || i > l.applied {
		return
	}
	m, t := l.membershipAt(i), l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm, l.baseMembership = i, t, m
}

// restore replaces the log by a snapshot. Entries after it are kept only if the log holds
// the snapshot's last entry.
func (l *log) restore(s *eelpb.Snapshot) {
	i, t := Index(s.Index), Term(s.Term)
	if l.term(i) == t && i <= l.last() && i > l.base {
		l.entries = slices.Clone(l.entries[i-l.base:])
	} else {
		l.entries = nil
	}
	l.base, l.baseTerm, l.baseMembership = i, t, s.Membership
	l.commit = max(l.commit, i)
	l.applied = max(l.applied, i)
	l.stable = i
}

// membership returns the latest membership in the log, committed or not.
func (l *log) membership() *eelpb.Membership {
	return l.membershipAt(l.last())
}

func (l *log) membershipAt(i Index) *eelpb.Membership {
	for j := min(i, l.last()); j > l.base; j-- {
		e := l.entries[j-l.base-1]
		if e.Kind == eelpb.EntryKind_ENTRY_MEMBERSHIP {
			return decodeMembership(e.Data)
		}
	}
	return l.baseMembership
}

// pendingMembership reports whether the log holds an uncommitted membership change.
func (l *log) pendingMembership() bool {
	for j := l.last(); j > max(l.commit, l.base); j-- {
		if l.entries[j-l.base-1].Kind == eelpb.EntryKind_ENTRY_MEMBERSHIP {
			return true
		}
	}
	return false
}

func decodeMembership(b []byte) *eelpb.Membership {
	m := &eelpb.Membership{}
	if err := proto.Unmarshal(b, m); err != nil {
		panic("raft: cannot decode membership entry: " + err.Error())
	}
	return m
}
