// Package queue implements the admission queue of one target. It decides which
// requests are admitted and which of them starts next. Each VM keeps a queue for each
// target, with its share of the target's slots.
//
// A queue refuses a request at once if it cannot be served in time. The estimated wait
// is the longer of two: the wait in this queue, and the wait at the target itself if
// other VMs have filled it, which is derived from the load that the target reports with
// its responses. The maximum wait depends on how long the queue has been non-empty:
// requests of a short burst may wait, those behind a standing queue may not, since a
// standing queue delays all requests without serving more of them (Nichols and Jacobson,
// "Controlling Queue Delay", 2012). Requests for an object that is cold at the target wait
// for the first of them, since those behind it take a third of the service time.
//
// # Usage
//
//	q := queue.New(slots)
//	t, wait, reason := q.Admit(queue.Request{Priority: 1, Deadline: d, WarmTime: w}, now)
//	for _, t := range q.Start(now) { dispatch(t) }
//	q.Done(t, true)
//
// The package is pure: it takes time and requests as arguments, returns decisions and
// has no side effects. A Queue is not safe for concurrent use.
package queue

import (
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
)

const (
	// minStandingAge is how long a queue must have been non-empty to count as a standing queue:
	// longer than the service time of a few requests.
	minStandingAge = 600 * time.Millisecond
	// burstWaitFactor times the objective is the maximum wait in a burst.
	burstWaitFactor = 2
	// firstRequestFactor times its expected service time is how long the first request for an
	// object holds back others. A request that takes longer is considered stuck.
	firstRequestFactor = 1.5
	// minWaitDivisor divides the objective to give the wait that is always allowed.
	minWaitDivisor = 4
)

// ReasonTooSlow is the reason why a request is refused that would not be served by its deadline.
const ReasonTooSlow = "it could not be answered before its deadline"

// Request is a request to the target.
type Request struct {
	Key place.Key
	// HasAffinity means that the target is faster for an object that is warm there.
	HasAffinity bool
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// Objective is the maximum total time of a good response.
	Objective time.Duration
	// WarmTime and ColdTime are the expected service times of the request if the object is warm
	// at the target and if it is cold.
	WarmTime, ColdTime time.Duration
	// TargetWait is the estimated wait at the target for what all VMs have sent there, as far as
	// it is known.
	TargetWait time.Duration
	// Spillover means that the target is not the first choice for the object. Such a request is
	// admitted only if the target has a free slot.
	Spillover bool
	// Trial means that the expected service time may be outdated, so that it does not count
	// against the deadline.
	Trial bool
	// Saturated means that the target has no spare capacity for a spillover request, which would
	// displace others there.
	Saturated bool
}

// Ticket is an admitted request.
type Ticket struct {
	Request
	sequence uint64
	started  time.Duration
	cold     bool
}

// ServiceTime returns the expected service time of the request.
func (t *Ticket) ServiceTime() time.Duration {
	if t.cold {
		return t.ColdTime
	}
	return t.WarmTime
}

// IsCold reports whether the object of the request is cold at the target.
func (t *Ticket) IsCold() bool { return t.cold }

// Queue holds the requests to one target.
type Queue struct {
	slots    int
	sequence uint64
	running  []*Ticket
	waiting  []*Ticket
	// firstUntil holds the objects that the target serves for the first time now, each with the
	// time until which other requests for it wait.
	firstUntil map[place.Key]time.Duration
	warm       place.WarmSet
	// idleAt is when a request last found a free slot, or Start last left the queue empty while
	// the target was not full.
	idleAt time.Duration
	// isTargetFull means that all VMs together had filled the target at the last call of Admit.
	isTargetFull bool
}

// New returns the queue of a target with the given number of slots.
func New(slots int) *Queue {
	return &Queue{slots: max(1, slots), firstUntil: map[place.Key]time.Duration{}}
}

// SetSlots sets the number of slots.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// ClearWarm records that no object is warm at the target any more.
func (q *Queue) ClearWarm() { q.warm.Clear() }

// Load returns the number of running and of waiting requests.
func (q *Queue) Load() (running, waiting int) { return len(q.running), len(q.waiting) }

// Running returns the requests that have started and not ended.
func (q *Queue) Running() []*Ticket { return slices.Clone(q.running) }

// IsWarm reports whether an object is warm at the target.
func (q *Queue) IsWarm(k place.Key) bool { return q.warm.IsWarm(k) }

// MarkWarm records that the target has served an object for another VM.
func (q *Queue) MarkWarm(k place.Key) { q.warm.Add(k) }

// Admit adds a request to the queue and returns its ticket, or refuses it and returns the reason.
// In both cases it returns the estimated wait until the request starts.
func (q *Queue) Admit(a Request, now time.Duration) (*Ticket, time.Duration, string) {
	t := &Ticket{Request: a, cold: a.HasAffinity && !q.warm.IsWarm(a.Key)}
	wait := max(q.wait(t, now), a.TargetWait)
	q.isTargetFull = a.TargetWait > 0
	expected := t.expectedTime(q)
	if a.Trial {
		expected = 0
	}
	switch {
	case now+wait+expected > a.Deadline:
		return nil, wait, ReasonTooSlow
	case a.Spillover && (a.Saturated || len(q.running)+len(q.waiting) >= q.slots):
		return nil, wait, "the target has no room for an object of another one"
	case wait > q.maxWait(t, now):
		return nil, wait, "it would wait too long"
	}
	if wait == 0 {
		q.idleAt = now
	}
	q.sequence++
	t.sequence = q.sequence
	at, _ := slices.BinarySearchFunc(q.waiting, t, compare)
	q.waiting = slices.Insert(q.waiting, at, t)
	return t, wait, ""
}

// compare orders tickets by priority, and tickets of the same priority by arrival.
func compare(a, b *Ticket) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return int(int64(a.sequence) - int64(b.sequence))
}

// expectedTime returns the expected service time of a waiting request, which is that of a warm
// object if another request for the same object runs before it.
func (t *Ticket) expectedTime(q *Queue) time.Duration {
	if _, ok := q.firstUntil[t.Key]; ok && t.cold {
		return t.WarmTime
	}
	return t.ServiceTime()
}

// maxWait returns the maximum wait with which a request is admitted.
func (q *Queue) maxWait(t *Ticket, now time.Duration) time.Duration {
	if now-q.idleAt < minStandingAge {
		return burstWaitFactor * t.Objective
	}
	return max(t.Objective-t.WarmTime, t.Objective/minWaitDivisor)
}

// wait estimates how long a request would wait for a slot.
func (q *Queue) wait(t *Ticket, now time.Duration) time.Duration {
	if len(q.running)+len(q.waiting) < q.slots {
		return 0
	}
	var ahead time.Duration
	for _, x := range q.running {
		ahead += max(0, x.ServiceTime()-(now-x.started))
	}
	for _, x := range q.waiting {
		if compare(x, t) < 0 || x.Priority == t.Priority {
			ahead += x.expectedTime(q)
		}
	}
	return ahead / time.Duration(q.slots)
}

// Start dequeues and returns the requests to dispatch now.
func (q *Queue) Start(now time.Duration) []*Ticket {
	var out []*Ticket
	for i := 0; i < len(q.waiting) && len(q.running) < q.slots; {
		t := q.waiting[i]
		t.cold = t.HasAffinity && !q.warm.IsWarm(t.Key)
		if t.cold && now < q.firstUntil[t.Key] {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		if t.cold {
			q.firstUntil[t.Key] = now + time.Duration(firstRequestFactor*float64(t.ColdTime))
		}
		t.started = now
		q.running = append(q.running, t)
		out = append(out, t)
	}
	if len(q.waiting) == 0 && !q.isTargetFull {
		q.idleAt = now
	}
	return out
}

// WakeAt returns when Start may return further requests although no request has ended, or 0.
func (q *Queue) WakeAt(t *Ticket) time.Duration {
	if !t.HasAffinity {
		return 0
	}
	return q.firstUntil[t.Key]
}

// Remove removes a request that has not started, and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Done records that a started request has ended, and whether the target served it successfully.
func (q *Queue) Done(t *Ticket, succeeded bool) {
	i := slices.Index(q.running, t)
	if i < 0 {
		return
	}
	q.running = slices.Delete(q.running, i, i+1)
	if t.cold {
		delete(q.firstUntil, t.Key)
	}
	if succeeded && t.HasAffinity {
		q.warm.Add(t.Key)
	}
}
