package raft

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

const (
	// earlyWait is how long a follower waits for the entries before those of an
	// append message that overtook them.
	earlyWait = 30 * time.Millisecond
	// maxEarly bounds the messages that wait.
	maxEarly = 64
)

// early holds append messages that overtook earlier ones. Without it, each of
// them would be rejected and make the leader send all later entries again.
type early struct {
	list  []*eelpb.Message
	since time.Duration
}

// keep holds a message, and tells whether there was room for it.
func (e *early) keep(m *eelpb.Message, now time.Duration) bool {
	if len(e.list) >= maxEarly {
		return false
	}
	if len(e.list) == 0 {
		e.since = now
	}
	e.list = append(e.list, m)
	return true
}

// due tells whether the missing entries are overdue.
func (e *early) due(now time.Duration) bool {
	return len(e.list) > 0 && now >= e.since+earlyWait
}

// take returns a message that follows directly on an index, or nil.
func (e *early) take(last Index) *eelpb.Message {
	for i, m := range e.list {
		if Index(m.LogIndex) <= last {
			e.list = append(e.list[:i], e.list[i+1:]...)
			return m
		}
	}
	return nil
}

// drop forgets all messages and returns the first.
func (e *early) drop() *eelpb.Message {
	m := e.list[0]
	e.list = nil
	return m
}
