package pool

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Result is how a dispatch ended.
type Result int

// The results of a dispatch.
const (
	Succeeded Result = iota
	Shed
	Failed
	Cancelled
)

// Target is a target as its announcements and the grants describe it.
type Target struct {
	ID          model.TargetID
	Addr        string
	Domain      model.FailureDomainID
	Slots       int
	Incarnation uint64
	Ready       bool
	Draining    bool
	// AnnouncedAt is when the announcement was made, at the latest.
	AnnouncedAt time.Duration
}

// Slot is the right to have one request in progress at a target.
type Slot struct {
	p *Pool
	m *member
	t Target
}

// Target returns the target of the slot.
func (s *Slot) Target() Target { return s.t }

// Usable tells whether the target may still get new work.
func (s *Slot) Usable() bool {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	return s.m.open(s.p.o.Clock()) && s.m.t.Incarnation == s.t.Incarnation
}

func (p *Pool) giveBack(s *Slot) {
	s.m.inFlight--
}

// Done gives the slot back with how the dispatch ended and how long it took.
func (s *Slot) Done(r Result, took time.Duration) {
	if r == Cancelled {
		time.AfterFunc(cancelHold, func() { s.finish(r, took) })
		return
	}
	s.finish(r, took)
}

func (s *Slot) finish(r Result, took time.Duration) {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveBack(s)
	now := p.o.Clock()
	switch r {
	case Succeeded:
		s.m.observe(took)
		p.service += smoothing * (float64(took) - p.service)
	case Shed:
		s.m.outUntil = now + shedBackoff
	case Failed:
		s.m.backoff = min(maxBackoff, max(firstBackoff, 2*s.m.backoff))
		s.m.outUntil = now + s.m.backoff
	case Cancelled:
		s.m.observe(took)
	}
	s.m.checkDrained(now)
	p.serve()
}

// Release gives a slot back that nothing was dispatched with.
func (s *Slot) Release() {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	s.p.giveBack(s)
	s.m.checkDrained(s.p.o.Clock())
	s.p.serve()
}
