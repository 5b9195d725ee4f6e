// Package pool holds the targets that one entry owns for one service, their
// slots, and the requests that wait for one.
//
// The pool counts exactly what it has dispatched: a target never gets more
// requests at once than its slots. What a target says of its own load is not
// used for that.
//
// # Usage
//
//	p := pool.New(pool.Options{Service: "registry"})
//	p.Own(reports, now)
//	s, err := p.Acquire(ctx, pool.Ask{Deadline: d, MaxQueued: 64})
//	if s.Usable() { ... }
//	s.Done(pool.Good, elapsed)
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Kind tells the errors of the package apart.
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
	// announcementLife is how long an announcement lets new work go to its target.
	announcementLife = 2 * time.Second
	// takeOverRamp is how long a target with a new owner gets fewer requests than it has slots.
	takeOverRamp = time.Second
	// firstServiceTime is the service time assumed before any was observed.
	firstServiceTime = 20 * time.Millisecond
	// smoothing is the weight of a new observation in a moving average.
	smoothing    = 0.1
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	shedBackoff  = 50 * time.Millisecond
	// cancelHold is how long a slot stays taken after its request was cancelled,
	// since the target hears of it later.
	cancelHold = 100 * time.Millisecond
)

// Options are the settings of a pool.
type Options struct {
	Service model.ServiceID
	Clock   func() time.Duration
}

type member struct {
	t        Target
	owned    bool
	drained  bool
	inFlight int
	latency  float64
	rampFrom time.Duration
	rampFor  time.Duration
	backoff  time.Duration
	outUntil time.Duration
	drainAt  time.Duration
	drainFor time.Duration
}

// Priority orders the requests that wait; lower goes first.
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
	// Deadline is when the answer must be there.
	Deadline time.Duration
	// MaxWait bounds the time in the queue; 0 means until the deadline.
	MaxWait time.Duration
	// AdmitWait bounds the expected wait at which the request is admitted; 0 means until the deadline.
	AdmitWait time.Duration
	// MaxQueued bounds how many requests of the priority wait.
	MaxQueued int
	// Domain restricts the choice to a failure domain; empty means any.
	Domain model.FailureDomainID
	// Exclude is a target that was tried before.
	Exclude model.TargetID
}

// over tells whether an expected wait is longer than the request may wait.
func (a Request) over(w time.Duration) bool {
	return a.MaxWait > 0 && w > a.MaxWait || a.AdmitWait > 0 && w > a.AdmitWait
}

type waiter struct {
	ask   Request
	ready chan *Slot
}

// Pool is safe for concurrent use.
type Pool struct {
	o       Options
	mu      sync.Mutex
	members map[model.TargetID]*member
	queues  [priorities][]*waiter
	service float64
	warmUp  time.Duration
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	return &Pool{o: o, members: map[model.TargetID]*member{}, service: float64(firstServiceTime)}
}

// SetWarmUp sets how long a target that became ready is ramped up.
func (p *Pool) SetWarmUp(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUp = d
}

// open tells whether the target may get new work at all.
func (m *member) open(now time.Duration) bool {
	return m.owned && !m.drained && m.t.Ready && !m.t.Draining && now < m.t.AnnouncedAt+announcementLife
}

// capacity returns how many requests the target may have in progress now.
func (m *member) capacity(now time.Duration) int {
	if !m.open(now) || now < m.outUntil {
		return 0
	}
	since := now - m.rampFrom
	if m.rampFor <= 0 || since >= m.rampFor {
		return m.t.Slots
	}
	return min(m.t.Slots, 1+int(float64(m.t.Slots)*float64(since)/float64(m.rampFor)))
}

// Ticket is a place in the queue, or a slot that was free at once.
type Ticket struct {
	p    *Pool
	slot *Slot
	w    *waiter
	from time.Duration
}

// Acquire returns a slot, waiting for one if the answer can still be in time.
func (p *Pool) Acquire(ctx context.Context, a Request) (*Slot, error) {
	t, err := p.Admit(a)
	if err != nil {
		return nil, err
	}
	return t.Wait(ctx)
}

// Admit admits a request or refuses it at once.
func (p *Pool) Admit(a Request) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	if p.nobodyAhead(a) {
		if s := p.pick(a, now); s != nil {
			return &Ticket{p: p, slot: s}, nil
		}
	}
	w, err := p.enqueue(a, now)
	if err != nil {
		return nil, err
	}
	return &Ticket{p: p, w: w, from: now}, nil
}

// Wait returns the slot once it is the ticket's turn.
func (t *Ticket) Wait(ctx context.Context) (*Slot, error) {
	if t.slot != nil {
		return t.slot, nil
	}
	return t.p.await(ctx, t.w, t.from)
}

func (p *Pool) nobodyAhead(a Request) bool {
	for i := Priority(0); i <= a.Priority; i++ {
		if len(p.queues[i]) > 0 {
			return false
		}
	}
	return true
}

func (p *Pool) enqueue(a Request, now time.Duration) (*waiter, error) {
	const op = "pool.Acquire"
	total := p.slots(a, now)
	if total == 0 {
		return nil, errs.Newf(op, KindNoTarget, "no target of service %q is ready here", p.o.Service)
	}
	if len(p.queues[a.Priority]) >= a.MaxQueued {
		return nil, errs.Newf(op, KindQueueFull, "%d requests wait already", a.MaxQueued)
	}
	if w := p.wait(a.Priority, total); now+w+time.Duration(p.service) > a.Deadline || a.over(w) {
		return nil, errs.Newf(op, KindTooLate, "the wait would be %s", w)
	}
	w := &waiter{ask: a, ready: make(chan *Slot, 1)}
	p.queues[a.Priority] = append(p.queues[a.Priority], w)
	return w, nil
}

// wait estimates how long a request of the priority would wait for a slot.
func (p *Pool) wait(r Priority, total int) time.Duration {
	ahead := 1
	for i := Priority(0); i <= r; i++ {
		ahead += len(p.queues[i])
	}
	return time.Duration(p.service * float64(ahead) / float64(total))
}

// EstimatedWait estimates how long a prompt request would wait for a slot now.
func (p *Pool) EstimatedWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wait(Prompt, max(1, p.slots(Request{}, p.o.Clock())))
}

func (p *Pool) slots(a Request, now time.Duration) int {
	n := 0
	for _, m := range p.members {
		if a.Domain == "" || a.Domain == m.t.Domain {
			n += m.capacity(now)
		}
	}
	return n
}

func (p *Pool) await(ctx context.Context, w *waiter, now time.Duration) (*Slot, error) {
	limit := w.ask.Deadline
	if w.ask.MaxWait > 0 {
		limit = min(limit, now+w.ask.MaxWait)
	}
	t := time.NewTimer(limit - now)
	defer t.Stop()
	select {
	case s := <-w.ready:
		return s, nil
	case <-ctx.Done():
		return p.leave(w, KindCancelled)
	case <-t.C:
		return p.leave(w, KindTooLate)
	}
}

// leave takes a waiter out of the queue, and gives back a slot that it was given meanwhile.
func (p *Pool) leave(w *waiter, k Kind) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[w.ask.Priority]
	for i, x := range q {
		if x == w {
			p.queues[w.ask.Priority] = append(q[:i:i], q[i+1:]...)
			break
		}
	}
	select {
	case s := <-w.ready:
		p.giveBack(s)
		p.serve()
	default:
	}
	return nil, errs.Newf("pool.Acquire", k, "no slot became free in time")
}

// pick takes a slot of the free target that is expected to answer first.
func (p *Pool) pick(a Request, now time.Duration) *Slot {
	var best *member
	for _, m := range p.members {
		if m.inFlight >= m.capacity(now) || a.Exclude == m.t.ID || a.Domain != "" && a.Domain != m.t.Domain {
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

// cost is what a request is expected to take at the target.
func (m *member) cost() float64 {
	return m.latency * float64(m.inFlight+1) / float64(max(1, m.t.Slots))
}

// serve hands free slots to those who wait; those who are too late are dropped by their timers.
func (p *Pool) serve() {
	now := p.o.Clock()
	for r := range p.queues {
		kept := p.queues[r][:0:0]
		for i, w := range p.queues[r] {
			s := p.pick(w.ask, now)
			if s != nil {
				w.ready <- s
				continue
			}
			if w.ask.Domain == "" && w.ask.Exclude == "" {
				kept = append(kept, p.queues[r][i:]...)
				break
			}
			kept = append(kept, w)
		}
		p.queues[r] = kept
	}
}

func (m *member) observe(took time.Duration) {
	m.backoff = 0
	m.latency += smoothing * (float64(took) - m.latency)
}

func (m *member) checkDrained(now time.Duration) {
	if m.drainAt != 0 && m.drainFor == 0 && m.inFlight == 0 {
		m.drainFor = max(1, now-m.drainAt)
	}
}
