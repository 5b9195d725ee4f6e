package proxy

import (
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// loadTTL is how long a load report of a target counts, with linearly decreasing weight: a
	// few times the service time of one request.
	loadTTL = 800 * time.Millisecond
	// initialEjection is how long a target is ejected after a failure. The time doubles with each
	// further failure, up to maxEjection. If another VM reported the target unreachable, a random
	// time from 0 to initialUnreachedEjection, 2 s, is added after this cap.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	// addressTakenTimeout is how long a target is out of use after another one responded at its
	// address. A target that has ended is removed from the catalogue much earlier; one that is still
	// listed may have been misjudged.
	addressTakenTimeout = 30 * time.Second
)

// target is the state of one target as this VM sees it.
type target struct {
	id         model.TargetID
	domain     model.FailureDomainID
	region     model.RegionID
	hash       place.TargetHash
	conns      conns
	dispatcher *dispatcher
	// warm holds the objects that the target has served, as far as this VM knows.
	warm place.WarmSet
	// pool is the service pool that contains the target, or nil, with the target's index and
	// slots in it. These fields and region are guarded by the registry's lock.
	pool                 *servicePool
	poolIndex, poolSlots int

	mu sync.Mutex
	// record is the target's record in the catalogue.
	record   model.Target
	inFlight int
	// peerLoad is the load by other VMs as of loadAt.
	peerLoad float64
	loadAt   time.Duration
	// failures is the number of consecutive failures; the target is ejected until ejectedUntil.
	failures     int
	failedAt     time.Duration
	ejectedUntil time.Duration
	// peerReported means that the last failure was reported by another VM.
	peerReported bool
	// respondedAt is when the target last responded to this VM or to one that reported it.
	respondedAt time.Duration
	coldUntil   time.Duration
	peerFailure peerFailure
	// addressTakenUntil is until when the target is out of use since another one responded at its
	// address.
	addressTakenUntil time.Duration
	// outOfService means that the catalogue lists the target no more, or not as ready, or that its
	// failure domain is drained.
	outOfService bool
	// leavingAt is when the target announced to this VM that it leaves, or 0. A restarted
	// target is represented by a new value.
	leavingAt time.Duration
	// pausedAt and pausedUntil are the bounds of the last pause that the target asked for.
	pausedAt, pausedUntil time.Duration
	// limit is the limit that the target names for all VMs together.
	limit namedLimit
	// rampLimit is the maximum number of concurrent requests to a target after a pause; 0 means
	// no limit.
	rampLimit int
}

// usable reports whether new requests may be sent to the target.
func (t *target) usable(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isAcceptingLocked(now) && t.limit.wait(now) == 0 && !t.isEjectedLocked(now)
}

// isEjected reports whether requests are kept from the target after a failure, or because it ramps
// up after a pause.
func (t *target) isEjected(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isEjectedLocked(now)
}

// isEjectedLocked is isEjected for a caller that holds the lock.
func (t *target) isEjectedLocked(now time.Duration) bool {
	if now < t.ejectedUntil || t.rampLimit > 0 && t.inFlight >= t.rampLimit {
		return true
	}
	// After an ejection, one request at a time tests whether the target works again.
	return t.failures > 0 && t.inFlight > 0
}

// isAccepting reports whether the target is in service and accepts requests from this VM.
func (t *target) isAccepting(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isAcceptingLocked(now)
}

// isAcceptingLocked is isAccepting for a caller that holds the lock.
func (t *target) isAcceptingLocked(now time.Duration) bool {
	return t.record.State == model.TargetReady && !t.outOfService && t.leavingAt == 0 &&
		now >= max(t.coldUntil, t.pausedUntil, t.addressTakenUntil)
}

// isInService reports whether the catalogue lists the target as ready and not drained.
func (t *target) isInService() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.State == model.TargetReady && !t.outOfService
}

// setInService records whether the catalogue lists the target for new requests. Requests that wait
// for a target that goes out of service try other targets.
func (t *target) setInService(ok bool) {
	t.mu.Lock()
	t.outOfService = !ok
	t.mu.Unlock()
	if !ok {
		t.dispatcher.rerouteWaiting()
	}
}

// load estimates the number of requests that run or wait at the target.
func (t *target) load(now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now - t.loadAt
	if age >= loadTTL {
		return float64(t.inFlight)
	}
	return float64(t.inFlight) + t.peerLoad*float64(loadTTL-age)/float64(loadTTL)
}

// candidate returns the target as a candidate for a request of a route.
func (t *target) candidate(w *place.ServiceTime, k place.Key, hasAffinity bool, now time.Duration) place.Candidate {
	return place.Candidate{
		Slots: t.slots(), Load: t.load(now), MeanServiceTime: w.Estimate(true), ServiceTime: w.Estimate(!hasAffinity || t.warm.IsWarm(k)),
	}
}

// slots returns the maximum number of requests that the target runs concurrently.
func (t *target) slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Slots
}

// sendStarted records that a request is sent to the target.
func (t *target) sendStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
}

// sendEnded records the result of a send, and returns the event that the target newly announced,
// if any.
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
	eventLimits = "limits"
)

// updateAvailability applies a leave, a pause or a limit that the target announced, and raises the
// number of concurrent requests after a pause; the caller holds the lock.
func (t *target) updateAvailability(r result, now time.Duration) string {
	limitChanged := t.updateLimit(r, now)
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
	if limitChanged {
		return eventLimits
	}
	return ""
}

// heldFor returns how long the target accepts no requests from this VM since it pauses or this VM's
// part of its limit is used up, or 0.
func (t *target) heldFor(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leavingAt != 0 || t.record.State != model.TargetReady {
		return 0
	}
	return max(0, t.pausedUntil-now, t.limit.wait(now))
}

// updateHealth updates the failures and the ejection of the target from the result of a send; the
// caller holds the lock.
func (t *target) updateHealth(r result, now time.Duration) {
	switch {
	case r.wrongTarget:
		t.addressTakenUntil = now + addressTakenTimeout
	case r.isTargetFault() && r.outcome == unreached:
		t.eject(initialUnreachedEjection, now)
		t.peerReported = false
	case r.isTargetFault():
		t.eject(initialEjection, now)
		t.peerReported = false
	case r.outcome == responded || r.outcome == notRun:
		t.failures, t.respondedAt = 0, now
	}
}

// eject keeps requests from the target for a while after a failure, twice as long after each
// further one; the caller holds the lock.
func (t *target) eject(first, now time.Duration) {
	t.failures++
	t.failedAt = now
	t.ejectedUntil = max(t.ejectedUntil, now+min(maxEjection, first<<min(t.failures-1, 8)))
}

// extendCold treats the target as cold until the given time at least.
func (t *target) extendCold(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = max(t.coldUntil, at)
}

// retire takes a target that the catalogue lists no more out of service.
func (t *target) retire() {
	t.setInService(false)
	t.conns.close()
}

// sameIncarnation reports whether a record belongs to the same start of the target.
func (t *target) sameIncarnation(m model.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Incarnation == m.Incarnation && t.record.Addr == m.Addr && t.domain == m.FailureDomain
}
