package proxy

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/limit"
)

const (
	// positionTTL is how long the position of this VM among all VMs is used before it is looked up
	// again.
	positionTTL = time.Second
	// liftedTTL is how long this VM reports to others that a target has taken back its limit.
	liftedTTL = 10 * time.Second
)

// namedLimit is the limit that a target names for the requests of all VMs together, and this VM's
// part of it. The lock of the target guards it.
type namedLimit struct {
	// perSecond is 0 once the target has taken back its limit.
	perSecond float64
	// at is when the limit was last named or taken back, by an answer to this VM or to another one.
	at           time.Duration
	part         *limit.Shared
	position     func() limit.Position
	positionedAt time.Duration
}

// update puts the limit that an answer named at a time into force, and reports whether it differs
// from the last one.
func (l *namedLimit) update(perSecond float64, at, now time.Duration) bool {
	if at < l.at {
		return false
	}
	changed := perSecond != l.perSecond
	l.perSecond, l.at = perSecond, at
	if perSecond == 0 {
		l.part = nil
		return changed
	}
	if l.part == nil {
		l.part = limit.NewShared()
	}
	l.setPart(now)
	return changed
}

func (l *namedLimit) setPart(now time.Duration) {
	l.positionedAt = now
	l.part.Set(l.perSecond, l.position(), now)
}

// current returns this VM's part, or nil if there is no limit.
func (l *namedLimit) current(now time.Duration) *limit.Shared {
	if l.part != nil && now >= l.positionedAt+positionTTL {
		l.setPart(now)
	}
	return l.part
}

// wait returns how long this VM may send nothing to the target.
func (l *namedLimit) wait(now time.Duration) time.Duration {
	if p := l.current(now); p != nil {
		return p.Wait(now)
	}
	return 0
}

// reserve reserves a request in this VM's part, which it returns; the part is nil if there is no
// limit.
func (l *namedLimit) reserve(now time.Duration) (*limit.Shared, bool) {
	p := l.current(now)
	return p, p == nil || p.Reserve(now)
}

// reported reports whether other VMs should learn of the limit, or that it was taken back.
func (l *namedLimit) reported(now time.Duration) bool {
	return l.perSecond > 0 || l.at > 0 && now < l.at+liftedTTL
}

// updateLimit applies the limit of a response; the caller holds the lock. A response without a
// limit takes it back only if the request was sent after the limit was last named: responses may
// overtake each other.
func (t *target) updateLimit(r result, now time.Duration) bool {
	switch {
	case !r.hasLimit:
		return false
	case r.limit > 0:
		return t.limit.update(r.limit, now, now)
	case t.limit.perSecond > 0 && r.startedAt > t.limit.at:
		return t.limit.update(0, r.startedAt, now)
	}
	return false
}

// limitReservation is the reservation of a request in this VM's part of a target's limit.
type limitReservation struct {
	target *target
	part   *limit.Shared
}

// reserveLimit reserves a request, and reports whether it is within this VM's part of the limit.
func (t *target) reserveLimit(now time.Duration) (*limitReservation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.limit.reserve(now)
	return &limitReservation{t, p}, ok
}

// use ends the reservation, for a request that is sent now, and reports whether it may be sent: the
// target may have named a limit since.
func (r *limitReservation) use(now time.Duration) bool {
	r.target.mu.Lock()
	defer r.target.mu.Unlock()
	if part := r.target.limit.part; part != r.part && part != nil {
		if !part.Reserve(now) {
			return false
		}
		r.cancel(now)
		r.part = part
	}
	if r.part != nil {
		r.part.Release(true, now)
		r.part = nil
	}
	return true
}

// cancel ends the reservation if the request was not sent.
func (r *limitReservation) cancel(now time.Duration) {
	if r.part != nil {
		r.part.Release(false, now)
		r.part = nil
	}
}

// limitReport returns the limit and its age for the other VMs, and whether there is something to
// report.
func (t *target) limitReport(now time.Duration) (perSecond float64, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit.perSecond, now - t.limit.at, t.limit.reported(now)
}
