package proxy

import (
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// loadTTL is how long a target's own word on its load counts, falling off
	// evenly: a few times the work of one request.
	loadTTL = 800 * time.Millisecond
	// initialEjection is how long a target rests after a failure; it doubles with each
	// further one up to maxEjection.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	// announcementDelay covers what an announcement needs to get here.
	announcementDelay = 500 * time.Millisecond
)

// target is one target as this VM sees it.
type target struct {
	id         model.TargetID
	domain     model.FailureDomainID
	region     model.RegionID
	seed       place.Seed
	conns      conns
	dispatcher *dispatcher
	// warm are the objects that the target has handled, as far as this VM saw.
	warm place.Warm
	// listed is the roster that has the target, or nil, with its place and its
	// slots there. The tables' lock guards them, and region.
	pool                 *servicePool
	poolIndex, poolSlots int

	mu sync.Mutex
	// record is what the catalogue says of the target.
	record   model.Target
	inFlight int
	// others is the load by other VMs as of loadAt.
	peerLoad float64
	loadAt   time.Duration
	// failures in a row, and until when the target rests after the last.
	failures     int
	failedAt     time.Duration
	ejectedUntil time.Duration
	// hearsay says that the last failure was another VM's.
	peerReported bool
	// respondedAt is when the target last answered this VM or one that told of it.
	respondedAt time.Duration
	coldUntil   time.Duration
	peerFailure peerFailure
	// misplaced says that another target answered at the address.
	addressTaken bool
	// leavingAt is when the target told this VM that it leaves, or 0. A new start of the
	// target is another one.
	leavingAt time.Duration
	// pausedAt and pausedUntil are those of the last pause that the target asked for.
	pausedAt, pausedUntil time.Duration
	// ramp bounds the requests to a target that had paused; 0 means no bound.
	rampLimit int
}

// usable tells whether new requests may go to the target.
func (t *target) usable(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.record.State != model.TargetReady || t.addressTaken || t.leavingAt != 0 {
		return false
	}
	if now < max(t.coldUntil, t.ejectedUntil, t.pausedUntil) || t.rampLimit > 0 && t.inFlight >= t.rampLimit {
		return false
	}
	// After a rest one request at a time finds out whether the target is back.
	return t.failures == 0 || t.inFlight == 0
}

// load estimates the requests that run or wait at the target.
func (t *target) load(now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now - t.loadAt
	if age >= loadTTL {
		return float64(t.inFlight)
	}
	return float64(t.inFlight) + t.peerLoad*float64(loadTTL-age)/float64(loadTTL)
}

// candidate returns the target as a choice for a request of a route.
func (t *target) candidate(w *place.Work, k place.Key, hasAffinity bool, now time.Duration) place.Candidate {
	return place.Candidate{
		Slots: t.slots(), Load: t.load(now), Each: w.Expect(true), Work: w.Expect(!hasAffinity || t.warm.Knows(k)),
	}
}

// slots returns how many requests the target works on at once.
func (t *target) slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Slots
}

// began notes a request that is sent to the target.
func (t *target) sendStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
}

// ended notes how a send to the target ended, and returns what the target told of
// itself that is new.
func (t *target) sendEnded(r result, now time.Duration) (event string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if r.hasLoad {
		t.peerLoad = max(0, float64(r.load.Running+r.load.Waiting-t.inFlight))
		t.loadAt = now
	}
	t.updateHealth(r, now)
	if event = t.updateAvailability(r, now); event != "" {
		t.dispatcher.rerouteWaiting()
	}
	return event
}

const (
	eventLeaves = "leaves"
	eventPauses = "pauses"
)

// heed takes the target's own word on whether it wants requests; the caller holds
// the lock.
func (t *target) updateAvailability(r result, now time.Duration) string {
	switch {
	case r.leaving && t.leavingAt == 0:
		t.leavingAt = max(1, now)
		return eventLeaves
	case r.pause > 0:
		t.pausedAt, t.pausedUntil, t.rampLimit = now, max(t.pausedUntil, now+r.pause), 1
		return eventPauses
	case t.rampLimit > 0 && r.succeeded():
		t.rampLimit++
		if t.rampLimit > t.record.Slots {
			t.rampLimit = 0
		}
	}
	return ""
}

// pausedFor returns how long the target still wants nothing, 0 where it does not say so.
func (t *target) pausedFor(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leavingAt != 0 || t.record.State != model.TargetReady {
		return 0
	}
	return max(0, t.pausedUntil-now)
}

// updateHealth notes whether a send speaks for or against the target; the caller holds the lock.
func (t *target) updateHealth(r result, now time.Duration) {
	switch {
	case r.wrongTarget:
		t.addressTaken = true
	case r.isTargetFault() && r.outcome == unreached:
		t.eject(initialUnreachedEjection, now)
		t.peerReported = false
	case r.isTargetFault():
		t.eject(initialEjection, now)
		t.peerReported = false
	case r.outcome == answered || r.outcome == notRun:
		t.failures, t.respondedAt = 0, now
	}
}

// rest keeps requests from the target for a while after a failure, twice as long
// after each further one; the caller holds the lock.
func (t *target) eject(first, now time.Duration) {
	t.failures++
	t.failedAt = now
	t.ejectedUntil = max(t.ejectedUntil, now+min(maxEjection, first<<min(t.failures-1, 8)))
}

// extendCold treats the target as cold until a time at least.
func (t *target) extendCold(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = max(t.coldUntil, at)
}

// close closes the connections to a target that is not used any more, if there is one.
func (t *target) close() {
	if t != nil {
		t.conns.close()
	}
}

// sameIncarnation tells whether a record is of the same start of the target.
func (t *target) sameIncarnation(m model.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Incarnation == m.Incarnation && t.record.Addr == m.Addr && t.domain == m.FailureDomain
}
