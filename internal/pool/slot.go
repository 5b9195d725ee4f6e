package pool

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Result is the outcome of a dispatch.
type Result int

// The results of a dispatch.
const (
	Succeeded Result = iota
	Shed
	Failed
	Cancelled
)

// Target is a target as described by its announcements and by grants.
type Target struct {
	ID          model.TargetID
	Addr        string
	Domain      model.FailureDomainID
	Slots       int
	Incarnation uint64
	Ready       bool
	Draining    bool
	// AnnouncedAt is the latest time at which the announcement can have been made.
	AnnouncedAt time.Duration
}

// Slot is the permission to have one request in progress at a target.
type Slot struct {
	p *Pool
	m *member
	t Target
}

// Target returns the target of the slot.
func (s *Slot) Target() Target { return s.t }

// Usable reports whether the target may still get new requests.
func (s *Slot) Usable() bool {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	return s.m.acceptsWork(s.p.o.Clock()) && s.m.t.Incarnation == s.t.Incarnation
}

func (p *Pool) freeSlot(s *Slot) {
	s.m.inFlight--
}

// Done releases the slot with the outcome and the duration of the dispatch.
func (s *Slot) Done(r Result, took time.Duration) {
	if r == Cancelled {
		time.AfterFunc(cancelDelay, func() { s.finish(r, took) })
		return
	}
	s.finish(r, took)
}

func (s *Slot) finish(r Result, took time.Duration) {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlot(s)
	now := p.o.Clock()
	switch r {
	case Succeeded:
		s.m.observe(took)
		p.serviceTime += averageWeight * (float64(took) - p.serviceTime)
	case Shed:
		s.m.ejectedUntil = now + shedBackoff
	case Failed:
		s.m.backoff = min(maxBackoff, max(minBackoff, 2*s.m.backoff))
		s.m.ejectedUntil = now + s.m.backoff
	case Cancelled:
		s.m.observe(took)
	}
	s.m.checkDrained(now)
	p.assignSlots()
}

// Release releases a slot that was not used for a dispatch.
func (s *Slot) Release() {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	s.p.freeSlot(s)
	s.m.checkDrained(s.p.o.Clock())
	s.p.assignSlots()
}
