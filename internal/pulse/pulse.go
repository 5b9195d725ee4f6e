// Package pulse bounds from below when input that a process reads can have arrived. A process that was
// frozen reads what arrived meanwhile as if it were new: its clocks tell only when it is read.
//
// # Usage
//
//	p := pulse.New(clock.Stopwatch())
//	p.Beat() // at an interval far below maxGap
//	age := now() - p.EarliestArrival()
//
// The clock must go on while the machine is suspended.
package pulse

import (
	"sync"
	"time"
)

const (
	// maxGap is the time between two beats above which the process counts as frozen.
	maxGap = 150 * time.Millisecond
	// readDelay is the time after a freeze within which everything is read that arrived during it.
	readDelay = time.Second
)

// Pulse records when the process ran.
type Pulse struct {
	now func() time.Duration

	mu   sync.Mutex
	last time.Duration
	// frozenAt and thawedAt are the last beat before and the first after the latest freeze.
	frozenAt, thawedAt time.Duration
	frozen             bool
}

// New returns a pulse that begins now.
func New(now func() time.Duration) *Pulse {
	return &Pulse{now: now, last: now()}
}

// Beat records that the process runs.
func (p *Pulse) Beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat(p.now())
}

func (p *Pulse) beat(now time.Duration) {
	if now-p.last > maxGap {
		p.frozenAt, p.thawedAt, p.frozen = p.last, now, true
	}
	p.last = max(p.last, now)
}

// EarliestArrival returns a time before which input that is read now cannot have arrived.
func (p *Pulse) EarliestArrival() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.beat(now)
	if p.frozen && now-p.thawedAt < readDelay {
		return p.frozenAt
	}
	return now - maxGap
}
