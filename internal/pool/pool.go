// Package pool manages the targets that one entry owns for one service, their
// slots, and the queue of requests that wait for a slot.
//
// The pool counts the requests that it has dispatched: a target never has more of them
// in progress than it has slots. The load that a target reports is not used for this.
//
// # Usage
//
//	p := pool.New(pool.Options{Service: "registry"})
//	p.SetOwned(targets)
//	s, err := p.Acquire(ctx, pool.Request{Deadline: d, MaxQueued: 64})
//	if s.Usable() { ... }
//	s.Done(pool.Succeeded, elapsed)
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Kind classifies the errors of the package.
type Kind string

// The kinds of errors; all mean that the request was not dispatched.
const (
	KindNoTarget  Kind = "noTarget"
	KindQueueFull Kind = "queueFull"
	KindTooLate   Kind = "tooLate"
	KindCancelled Kind = "callerLeft"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// readyTTL is how long after its last announcement a target counts as ready, so that it
	// gets new requests.
	readyTTL = 2 * time.Second
	// takeoverRamp is the time in which a target with a new owner is ramped up to all its slots.
	takeoverRamp = time.Second
	// initialServiceTime is the service time that is assumed before the first observation.
	initialServiceTime = 20 * time.Millisecond
	// averageWeight is the weight of a new observation in a moving average.
	averageWeight = 0.1
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
	shedBackoff   = 50 * time.Millisecond
	// cancelDelay is how long a slot stays taken after its request was cancelled, since
	// the target receives the cancellation later.
	cancelDelay = 100 * time.Millisecond
)

// Options are the settings of a pool.
type Options struct {
	Service model.ServiceID
	Clock   func() time.Duration
}

type member struct {
	t            Target
	owned        bool
	drained      bool
	inFlight     int
	latency      float64
	rampStart    time.Duration
	rampDuration time.Duration
	backoff      time.Duration
	ejectedUntil time.Duration
	drainStart   time.Duration
	drainTime    time.Duration
}

// Priority orders the waiting requests; the lowest value goes first.
type Priority int

// The priorities.
const (
	Prompt Priority = iota
	Deferred
	priorities
)

// Request is a request for a slot.
type Request struct {
	Priority Priority
	// Deadline is the time by which the answer must arrive.
	Deadline time.Duration
	// MaxWait bounds the expected and the actual wait; 0 means until the deadline.
	MaxWait time.Duration
	// AdmitWait bounds the expected wait at admission; 0 means until the deadline.
	AdmitWait time.Duration
	// MaxQueued bounds the waiting requests of the priority.
	MaxQueued int
	// Domain restricts the choice to a failure domain; empty means any.
	Domain model.FailureDomainID
	// Exclude is a target that was tried before and is not used again.
	Exclude model.TargetID
}

// isTooLong reports whether an expected wait exceeds MaxWait or AdmitWait.
func (r Request) isTooLong(w time.Duration) bool {
	return r.MaxWait > 0 && w > r.MaxWait || r.AdmitWait > 0 && w > r.AdmitWait
}

type waiter struct {
	request Request
	ready   chan *Slot
}

// Pool is the pool of targets and the queue of one service. It is safe for concurrent use.
type Pool struct {
	o           Options
	mu          sync.Mutex
	members     map[model.TargetID]*member
	queues      [priorities][]*waiter
	serviceTime float64
	warmUp      time.Duration
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	return &Pool{o: o, members: map[model.TargetID]*member{}, serviceTime: float64(initialServiceTime)}
}

// SetWarmUp sets the time in which a target that became ready is ramped up to all its slots.
func (p *Pool) SetWarmUp(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUp = d
}

// acceptsWork reports whether the target may get new requests, free slots aside.
func (m *member) acceptsWork(now time.Duration) bool {
	return m.owned && !m.drained && m.t.Ready && !m.t.Draining && now < m.t.AnnouncedAt+readyTTL
}

// capacity returns how many requests the target may have in progress now.
func (m *member) capacity(now time.Duration) int {
	if !m.acceptsWork(now) || now < m.ejectedUntil {
		return 0
	}
	elapsed := now - m.rampStart
	if m.rampDuration <= 0 || elapsed >= m.rampDuration {
		return m.t.Slots
	}
	return min(m.t.Slots, 1+int(float64(m.t.Slots)*float64(elapsed)/float64(m.rampDuration)))
}

// Ticket is an admitted request: it has a slot already or waits in the queue.
type Ticket struct {
	p          *Pool
	slot       *Slot
	w          *waiter
	enqueuedAt time.Duration
}

// Acquire returns a slot. It waits for one if the answer can still arrive by the deadline.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Slot, error) {
	t, err := p.Admit(r)
	if err != nil {
		return nil, err
	}
	return t.Wait(ctx)
}

// Admit admits a request or refuses it immediately.
func (p *Pool) Admit(r Request) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	if p.isNext(r) {
		if s := p.tryAcquire(r, now); s != nil {
			return &Ticket{p: p, slot: s}, nil
		}
	}
	w, err := p.enqueue(r, now)
	if err != nil {
		return nil, err
	}
	return &Ticket{p: p, w: w, enqueuedAt: now}, nil
}

// Wait waits for the ticket's turn and returns its slot.
func (t *Ticket) Wait(ctx context.Context) (*Slot, error) {
	if t.slot != nil {
		return t.slot, nil
	}
	return t.p.waitForSlot(ctx, t.w, t.enqueuedAt)
}

// isNext reports whether no request of the same or a higher priority waits.
func (p *Pool) isNext(r Request) bool {
	for i := Priority(0); i <= r.Priority; i++ {
		if len(p.queues[i]) > 0 {
			return false
		}
	}
	return true
}

func (p *Pool) enqueue(r Request, now time.Duration) (*waiter, error) {
	const op = "pool.Acquire"
	total := p.totalSlots(r, now)
	if total == 0 {
		return nil, errs.Newf(op, KindNoTarget, "no target of service %q is ready here", p.o.Service)
	}
	if len(p.queues[r.Priority]) >= r.MaxQueued {
		return nil, errs.Newf(op, KindQueueFull, "%d requests wait already", r.MaxQueued)
	}
	if w := p.estimateWait(r.Priority, total); now+w+time.Duration(p.serviceTime) > r.Deadline || r.isTooLong(w) {
		return nil, errs.Newf(op, KindTooLate, "the wait would be %s", w)
	}
	w := &waiter{request: r, ready: make(chan *Slot, 1)}
	p.queues[r.Priority] = append(p.queues[r.Priority], w)
	return w, nil
}

// estimateWait estimates how long a request of the priority would wait for a slot.
func (p *Pool) estimateWait(priority Priority, total int) time.Duration {
	ahead := 1
	for i := Priority(0); i <= priority; i++ {
		ahead += len(p.queues[i])
	}
	return time.Duration(p.serviceTime * float64(ahead) / float64(total))
}

// EstimatedWait returns the expected wait of a prompt request for a slot now.
func (p *Pool) EstimatedWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimateWait(Prompt, max(1, p.totalSlots(Request{}, p.o.Clock())))
}

// totalSlots returns the capacity of all targets in the request's failure domain.
func (p *Pool) totalSlots(r Request, now time.Duration) int {
	n := 0
	for _, m := range p.members {
		if r.Domain == "" || r.Domain == m.t.Domain {
			n += m.capacity(now)
		}
	}
	return n
}

func (p *Pool) waitForSlot(ctx context.Context, w *waiter, now time.Duration) (*Slot, error) {
	limit := w.request.Deadline
	if w.request.MaxWait > 0 {
		limit = min(limit, now+w.request.MaxWait)
	}
	t := time.NewTimer(limit - now)
	defer t.Stop()
	select {
	case s := <-w.ready:
		return s, nil
	case <-ctx.Done():
		return p.abort(w, KindCancelled)
	case <-t.C:
		return p.abort(w, KindTooLate)
	}
}

// abort removes a waiter from the queue and frees a slot that was assigned to it meanwhile.
func (p *Pool) abort(w *waiter, k Kind) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[w.request.Priority]
	for i, x := range q {
		if x == w {
			p.queues[w.request.Priority] = append(q[:i:i], q[i+1:]...)
			break
		}
	}
	select {
	case s := <-w.ready:
		p.freeSlot(s)
		p.assignSlots()
	default:
	}
	return nil, errs.Newf("pool.Acquire", k, "no slot became free in time")
}

// tryAcquire takes a slot of the target with a free one that is expected to answer first,
// or returns nil.
func (p *Pool) tryAcquire(r Request, now time.Duration) *Slot {
	var best *member
	for _, m := range p.members {
		if m.inFlight >= m.capacity(now) || r.Exclude == m.t.ID || r.Domain != "" && r.Domain != m.t.Domain {
			continue
		}
		if best == nil || m.cost() < best.cost() {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	best.inFlight++
	return &Slot{p: p, m: best, t: best.t}
}

// cost returns the expected time of one more request at the target, in nanoseconds.
func (m *member) cost() float64 {
	return m.latency * float64(m.inFlight+1) / float64(max(1, m.t.Slots))
}

// assignSlots assigns free slots to waiting requests. Requests past their deadline are
// removed by their timers.
func (p *Pool) assignSlots() {
	now := p.o.Clock()
	for priority := range p.queues {
		kept := p.queues[priority][:0:0]
		for i, w := range p.queues[priority] {
			s := p.tryAcquire(w.request, now)
			if s != nil {
				w.ready <- s
				continue
			}
			if w.request.Domain == "" && w.request.Exclude == "" {
				kept = append(kept, p.queues[priority][i:]...)
				break
			}
			kept = append(kept, w)
		}
		p.queues[priority] = kept
	}
}

func (m *member) observe(took time.Duration) {
	m.backoff = 0
	m.latency += averageWeight * (float64(took) - m.latency)
}

func (m *member) checkDrained(now time.Duration) {
	if m.drainStart != 0 && m.drainTime == 0 && m.inFlight == 0 {
		m.drainTime = max(1, now-m.drainStart)
	}
}
