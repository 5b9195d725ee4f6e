// Package queue admits requests to one target and decides which of them starts
// next. Each VM keeps a queue for each target, with its part of the target's slots.
//
// A queue refuses at once what cannot be served in time. The wait is that in the
// queue itself, or at the target where other VMs have filled it, which the target
// tells with its answers. The queue bounds the wait by what it has been like: a short
// rush may wait, a standing queue may not, since it makes everybody late and serves
// nobody more (Nichols and Jacobson, "Controlling Queue Delay", 2012). Requests for
// an object that the target does not know wait for the first of them, as those behind
// it take a third of the work.
//
// # Usage
//
//	q := queue.New(slots)
//	t, wait, ok := q.Admit(queue.Request{Priority: 1, Until: deadline, Work: w}, now)
//	for _, t := range q.Start(now) { dispatch(t) }
//	q.Done(t, true, now)
//
// The package is pure: time and requests in, decisions out. A Queue is not safe
// for concurrent use.
package queue

import (
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
)

const (
	// standing is how long a queue must have been there to count as a standing
	// one: longer than the work of a few requests.
	standing = 600 * time.Millisecond
	// rushPart times the objective is the longest wait in a rush.
	rushPart = 2
	// firstPart times its usual time is how long the first request for an object
	// keeps others back: longer, and it is stuck.
	firstPart = 1.5
	// leastPart divides the objective to give the wait that is always allowed.
	leastPart = 4
)

// Request is a request that wants to go to the target.
type Request struct {
	Key place.Key
	// Affinity says that the target works faster on an object that it knows.
	Affinity bool
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Deadline is when the caller no longer waits.
	Deadline time.Duration
	// Objective is how long a good answer may take in all.
	Objective time.Duration
	// WarmTime and ColdTime are how long the target works on the request where it knows
	// the object and where it does not.
	WarmTime, ColdTime time.Duration
	// TargetWait is how long a request would wait at the target for what all VMs have
	// sent there, as far as it is known.
	TargetWait time.Duration
	// Spillover says that the target is not the object's first: it is used only where
	// it has a free slot.
	Spillover bool
	// Saturated says that the target has no room for what a spilled request would
	// displace there.
	Saturated bool
}

// Ticket is a request that was admitted.
type Ticket struct {
	Request
	sequence uint64
	started  time.Duration
	cold     bool
}

// Work returns how long the target is expected to work on the request.
func (t *Ticket) Work() time.Duration {
	if t.cold {
		return t.ColdTime
	}
	return t.WarmTime
}

// Queue holds the requests to one target.
type Queue struct {
	slots    int
	sequence uint64
	running  []*Ticket
	waiting  []*Ticket
	// first are the objects that the target handles for the first time now, with
	// the time until which others wait for that.
	first map[place.Key]time.Duration
	warm  place.Warm
	// idleAt is when a request last found a free slot.
	idleAt time.Duration
	// full says that all VMs together had filled the target when it was last asked for.
	full bool
}

// New returns the queue of a target with a number of slots.
func New(slots int) *Queue {
	return &Queue{slots: max(1, slots), first: map[place.Key]time.Duration{}}
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// ClearWarm tells that the target knows no object any more.
func (q *Queue) ClearWarm() { q.warm.Forget() }

// Load returns how many requests run and how many wait.
func (q *Queue) Load() (running, waiting int) { return len(q.running), len(q.waiting) }

// Running returns the requests that were started and have not ended.
func (q *Queue) Running() []*Ticket { return slices.Clone(q.running) }

// Knows tells whether the target has handled an object.
func (q *Queue) Knows(k place.Key) bool { return q.warm.Knows(k) }

// MarkWarm tells that the target has handled an object for another VM.
func (q *Queue) MarkWarm(k place.Key) { q.warm.Note(k) }

// Admit takes a request into the queue, or returns after which wait it would
// have started and why it may not.
func (q *Queue) Admit(a Request, now time.Duration) (*Ticket, time.Duration, string) {
	t := &Ticket{Request: a, cold: a.Affinity && !q.warm.Knows(a.Key)}
	wait := max(q.wait(t, now), a.TargetWait)
	q.full = a.TargetWait > 0
	switch {
	case now+wait+t.expected(q) > a.Deadline:
		return nil, wait, "it could not be answered before its deadline"
	case a.Spillover && (a.Saturated || len(q.running)+len(q.waiting) >= q.slots):
		return nil, wait, "the target has no room for an object of another one"
	case wait > q.bound(t, now):
		return nil, wait, "it would wait too long"
	}
	if wait == 0 {
		q.idleAt = now
	}
	q.sequence++
	t.sequence = q.sequence
	at, _ := slices.BinarySearchFunc(q.waiting, t, order)
	q.waiting = slices.Insert(q.waiting, at, t)
	return t, wait, ""
}

// order puts the more urgent first, and those of one rank as they came.
func order(a, b *Ticket) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return int(int64(a.sequence) - int64(b.sequence))
}

// expected is how long the target will work on a request that may profit from
// another one for the same object that goes first.
func (t *Ticket) expected(q *Queue) time.Duration {
	if _, ok := q.first[t.Key]; ok && t.cold {
		return t.WarmTime
	}
	return t.Work()
}

// bound is the longest wait that is worth while.
func (q *Queue) bound(t *Ticket, now time.Duration) time.Duration {
	if now-q.idleAt < standing {
		return rushPart * t.Objective
	}
	return max(t.Objective-t.WarmTime, t.Objective/leastPart)
}

// wait estimates how long a request would wait for a slot.
func (q *Queue) wait(t *Ticket, now time.Duration) time.Duration {
	if len(q.running)+len(q.waiting) < q.slots {
		return 0
	}
	var ahead time.Duration
	for _, x := range q.running {
		ahead += max(0, x.Work()-(now-x.started))
	}
	for _, x := range q.waiting {
		if order(x, t) < 0 || x.Priority == t.Priority {
			ahead += x.expected(q)
		}
	}
	return ahead / time.Duration(q.slots)
}

// Start returns the requests that are to be dispatched now.
func (q *Queue) Start(now time.Duration) []*Ticket {
	var out []*Ticket
	for i := 0; i < len(q.waiting) && len(q.running) < q.slots; {
		t := q.waiting[i]
		t.cold = t.Affinity && !q.warm.Knows(t.Key)
		if t.cold && now < q.first[t.Key] {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		if t.cold {
			q.first[t.Key] = now + time.Duration(firstPart*float64(t.ColdTime))
		}
		t.started = now
		q.running = append(q.running, t)
		out = append(out, t)
	}
	if len(q.waiting) == 0 && !q.full {
		q.idleAt = now
	}
	return out
}

// WakeAt returns when Start may have more to do although no request has ended, or 0.
func (q *Queue) WakeAt(t *Ticket) time.Duration {
	if !t.Affinity {
		return 0
	}
	return q.first[t.Key]
}

// Remove takes a request out that was not started. It tells whether it was there.
func (q *Queue) Remove(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Done tells that a request that was started has ended, and whether the target handled it.
func (q *Queue) Done(t *Ticket, handled bool) {
	i := slices.Index(q.running, t)
	if i < 0 {
		return
	}
	q.running = slices.Delete(q.running, i, i+1)
	if t.cold {
		delete(q.first, t.Key)
	}
	if handled && t.Affinity {
		q.warm.Note(t.Key)
	}
}
