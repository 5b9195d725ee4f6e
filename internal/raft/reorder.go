package raft

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

const (
	// reorderTimeout is how long a follower holds an append message that arrived
	// ahead of the entries it follows.
	reorderTimeout = 30 * time.Millisecond
	// maxReordered is the maximum number of held messages.
	maxReordered = 64
)

// reorderBuffer holds append messages that arrived out of order. Without it, each
// of them would be rejected and make the leader resend all later entries.
type reorderBuffer struct {
	messages []*eelpb.Message
	since    time.Duration
}

// add holds a message and reports whether the buffer had space for it.
func (b *reorderBuffer) add(m *eelpb.Message, now time.Duration) bool {
	if len(b.messages) >= maxReordered {
		return false
	}
	if len(b.messages) == 0 {
		b.since = now
	}
	b.messages = append(b.messages, m)
	return true
}

// expired reports whether the missing entries did not arrive within reorderTimeout.
func (b *reorderBuffer) expired(now time.Duration) bool {
	return len(b.messages) > 0 && now >= b.since+reorderTimeout
}

// pop removes and returns a message whose entries follow the log up to last, or nil.
func (b *reorderBuffer) pop(last Index) *eelpb.Message {
	for i, m := range b.messages {
		if Index(m.LogIndex) <= last {
			b.messages = append(b.messages[:i], b.messages[i+1:]...)
			return m
		}
	}
	return nil
}

// flush discards all messages and returns the first.
func (b *reorderBuffer) flush() *eelpb.Message {
	m := b.messages[0]
	b.messages = nil
	return m
}
