package proxy

import (
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// loadLife is how long a target's own word on its load counts, falling off
	// evenly: a few times the work of one request.
	loadLife = 800 * time.Millisecond
	// firstRest is how long a target rests after a failure; it doubles with each
	// further one up to longestRest.
	firstRest   = 500 * time.Millisecond
	longestRest = 4 * time.Second
	// coldSlack covers what an announcement needs to get here.
	coldSlack = 500 * time.Millisecond
)

// target is one target as this VM sees it.
type target struct {
	id         model.TargetID
	domain     model.FailureDomainID
	region     model.RegionID
	seed       place.TargetHash
	conns      conns
	dispatcher *dispatcher
	// warm are the objects that the target has handled, as far as this VM saw.
	warm place.WarmSet
	// listed is the roster that has the target, or nil, with its place and its
	// slots there. The tables' lock guards them, and region.
	listed                *roster
	listedAt, listedSlots int

	mu sync.Mutex
	// record is what the catalogue says of the target.
	record   model.Target
	inFlight int
	// others is the load by other VMs as of heardAt.
	others  float64
	heardAt time.Duration
	// failures in a row, and until when the target rests after the last.
	failures  int
	failedAt  time.Duration
	restUntil time.Duration
	// hearsay says that the last failure was another VM's.
	hearsay bool
	// servedAt is when the target last answered this VM or one that told of it.
	servedAt  time.Duration
	coldUntil time.Duration
	blame     blame
	// misplaced says that another target answered at the address.
	misplaced bool
	// leftAt is when the target told this VM that it leaves, or 0. A new start of the
	// target is another one.
	leftAt time.Duration
	// pausedAt and pausedUntil are those of the last pause that the target asked for.
	pausedAt, pausedUntil time.Duration
	// ramp bounds the requests to a target that had paused; 0 means no bound.
	ramp int
}

// usable tells whether new requests may go to the target.
func (t *target) usable(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.record.State != model.TargetReady || t.misplaced || t.leftAt != 0 {
		return false
	}
	if now < max(t.coldUntil, t.restUntil, t.pausedUntil) || t.ramp > 0 && t.inFlight >= t.ramp {
		return false
	}
	// After a rest one request at a time finds out whether the target is back.
	return t.failures == 0 || t.inFlight == 0
}

// load estimates the requests that run or wait at the target.
func (t *target) load(now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now - t.heardAt
	if age >= loadLife {
		return float64(t.inFlight)
	}
	return float64(t.inFlight) + t.others*float64(loadLife-age)/float64(loadLife)
}

// candidate returns the target as a choice for a request of a route.
func (t *target) candidate(w *place.ServiceTime, k place.Key, keyed bool, now time.Duration) place.Candidate {
	return place.Candidate{
		Slots: t.slots(), Load: t.load(now), MeanServiceTime: w.Estimate(true), ServiceTime: w.Estimate(!keyed || t.warm.IsWarm(k)),
	}
}

// slots returns how many requests the target works on at once.
func (t *target) slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Slots
}

// began notes a request that is sent to the target.
func (t *target) began() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
}

// ended notes how a send to the target ended, and returns what the target told of
// itself that is new.
func (t *target) ended(r result, now time.Duration) (news string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if r.loaded {
		t.others = max(0, float64(r.load.Running+r.load.Waiting-t.inFlight))
		t.heardAt = now
	}
	t.judge(r, now)
	if news = t.heed(r, now); news != "" {
		t.dispatcher.release()
	}
	return news
}

const (
	newsLeaves = "leaves"
	newsPauses = "pauses"
)

// heed takes the target's own word on whether it wants requests; the caller holds
// the lock.
func (t *target) heed(r result, now time.Duration) string {
	switch {
	case r.leaving && t.leftAt == 0:
		t.leftAt = max(1, now)
		return newsLeaves
	case r.pause > 0:
		t.pausedAt, t.pausedUntil, t.ramp = now, max(t.pausedUntil, now+r.pause), 1
		return newsPauses
	case t.ramp > 0 && r.handled():
		t.ramp++
		if t.ramp > t.record.Slots {
			t.ramp = 0
		}
	}
	return ""
}

// pausedFor returns how long the target still wants nothing, 0 where it does not say so.
func (t *target) pausedFor(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leftAt != 0 || t.record.State != model.TargetReady {
		return 0
	}
	return max(0, t.pausedUntil-now)
}

// judge notes whether a send speaks for or against the target; the caller holds the lock.
func (t *target) judge(r result, now time.Duration) {
	switch {
	case r.wrongTarget:
		t.misplaced = true
	case r.faulty() && r.outcome == unreached:
		t.rest(firstUnreachedRest, now)
		t.hearsay = false
	case r.faulty():
		t.rest(firstRest, now)
		t.hearsay = false
	case r.outcome == answered || r.outcome == notRun:
		t.failures, t.servedAt = 0, now
	}
}

// rest keeps requests from the target for a while after a failure, twice as long
// after each further one; the caller holds the lock.
func (t *target) rest(first, now time.Duration) {
	t.failures++
	t.failedAt = now
	t.restUntil = max(t.restUntil, now+min(longestRest, first<<min(t.failures-1, 8)))
}

// coolUntil treats the target as cold until a time at least.
func (t *target) coolUntil(at time.Duration) {
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

// sameLife tells whether a record is of the same start of the target.
func (t *target) sameLife(m model.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Incarnation == m.Incarnation && t.record.Addr == m.Addr && t.domain == m.FailureDomain
}
