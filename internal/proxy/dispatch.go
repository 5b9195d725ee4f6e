package proxy

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/internal/queue"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// dispatcher is the queue of a target with those who wait at it.
type dispatcher struct {
	mu    sync.Mutex
	queue *queue.Queue
	start map[*queue.Ticket]chan turn
}

// turn is what becomes of a request that waits.
type turn int

const (
	// begin: the request may be sent.
	begin turn = iota
	// moveOn: the target takes no more requests, and this one is out of the queue.
	moveOn
)

func newDispatcher(slots int) *dispatcher {
	return &dispatcher{queue: queue.New(slots), start: map[*queue.Ticket]chan turn{}}
}

// admit takes a request in; the channel tells once when it need not wait longer.
func (d *dispatcher) admit(a queue.Request, now time.Duration) (*queue.Ticket, <-chan turn, time.Duration, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, wait, why := d.queue.Admit(a, now)
	if t == nil {
		return nil, nil, wait, why
	}
	c := make(chan turn, 1)
	d.start[t] = c
	d.pump(now)
	if at := d.queue.WakeAt(t); at > now && d.start[t] != nil {
		time.AfterFunc(at-now, func() { d.again(at) })
	}
	return t, c, wait, ""
}

// again starts what no longer waits for another request.
func (d *dispatcher) again(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump(now)
}

// pump starts what may start; the caller holds the lock.
func (d *dispatcher) pump(now time.Duration) {
	for _, t := range d.queue.Start(now) {
		d.start[t] <- begin
		delete(d.start, t)
	}
}

// release lets all who wait turn to other targets at once.
func (d *dispatcher) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t, c := range d.start {
		d.queue.Remove(t)
		c <- moveOn
	}
	clear(d.start)
}

// leave takes out a request that has not started, and tells whether it had not.
func (d *dispatcher) leave(t *queue.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.start, t)
	return d.queue.Remove(t)
}

func (d *dispatcher) done(t *queue.Ticket, handled bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Done(t, handled)
	d.pump(now)
}

func (d *dispatcher) setSlots(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetSlots(n)
}

func (d *dispatcher) note(k place.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.MarkWarm(k)
}

func (d *dispatcher) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.ClearWarm()
}

// dispatch sends a job to its target when this VM's part of the slots has room.
func (f *Proxy) dispatch(ctx context.Context, c *model.Catalogue, j *job, t *target) result {
	now := f.now()
	w := f.works.get(j.route, j.objective)
	t.dispatcher.setSlots(part(t.slots(), f.o.Cluster.VMs(c.RegionOf(f.o.Domain))))
	at := t.candidate(w, j.key, j.keyed, now)
	ticket, start, wait, why := t.dispatcher.admit(queue.Request{
		Key: j.key, Affinity: j.keyed, Priority: j.priority, Deadline: j.until, Objective: j.objective,
		WarmTime: w.Expect(true), ColdTime: w.Expect(false), TargetWait: at.Wait(), Spillover: j.spill, Saturated: !at.HasRoom(),
	}, now)
	if ticket == nil {
		return result{outcome: refused, reason: why, retryIn: wait}
	}
	next, why := f.await(ctx, j.until-now, t, ticket, start)
	if why != "" {
		return result{outcome: refused, reason: why}
	}
	if next == moveOn {
		return result{outcome: refused, moved: true, reason: "the target takes no more requests"}
	}
	from := f.now()
	r, knew := f.exchange(ctx, j, t)
	r.waited = from - now
	handled := r.handled()
	if handled {
		w.Note(knew, f.now()-from)
	}
	t.dispatcher.done(ticket, handled, f.now())
	return r
}

// await waits for a request's turn at a target, or tells why it waits no longer.
func (f *Proxy) await(ctx context.Context, most time.Duration, t *target, ticket *queue.Ticket, start <-chan turn) (turn, string) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	why := ""
	select {
	case next := <-start:
		return next, ""
	case <-ctx.Done():
		why = "the deadline passed in the queue"
	case <-f.flushed:
		why = stopping
	}
	if t.dispatcher.leave(ticket) {
		return moveOn, why
	}
	return <-start, ""
}

// partFactor times its even part of a target's slots is what one VM of a region
// uses at most: the VMs of a region seldom all want the same target. 1 lost a
// twentieth of the benefit on the days of docs/PLATFORM.md, 3 a hundredth.
const partFactor = 1.5

// part returns how many requests one of several VMs has at a target at a time.
func part(slots, vms int) int {
	if vms <= 1 {
		return slots
	}
	return max(1, int(math.Ceil(partFactor*float64(slots)/float64(vms))))
}

// exchange sends a job to its target now.
func (f *Proxy) exchange(ctx context.Context, j *job, t *target) (r result, knew bool) {
	from := f.now()
	rest := j.until - from
	if rest <= 0 || ctx.Err() != nil || !t.usable(from) {
		return result{outcome: refused, reason: "the time was up, or the target left, before it started"}, false
	}
	select {
	case <-f.flushed:
		return result{outcome: refused, reason: stopping}, false
	default:
	}
	if j.access.known && !f.keysHold() {
		return result{outcome: refused, reason: oldKeys}, false
	}
	if j.delivery == model.AtMostOnce {
		// What has begun is finished: its caller may ask others what became of it.
		ctx = context.WithoutCancel(ctx)
	}
	rest += j.overrun
	ctx, cancel := context.WithTimeout(ctx, rest+lateSlack)
	defer cancel()
	t.began()
	knew = !j.keyed || t.warm.Knows(j.key)
	r = t.conns.exchange(ctx, call{
		method: j.method, uri: j.uri, host: j.host, header: j.header, body: j.body,
		id: j.id, target: t.id, left: rest, dialect: f.o.Headers, access: j.access, hold: j.hold,
	})
	r.cutShort = ctx.Err() != nil
	if r.outcome == unknown && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome, r.reason = late, "no answer before the deadline"
	}
	took := f.now() - from
	if r.handled() && j.keyed {
		t.warm.Note(j.key)
	}
	f.tell(j, t, r, knew)
	if what := t.ended(r, f.now()); what != "" {
		f.logTarget(j, t, r, what)
	}
	f.metrics.sent(r, took)
	return r, knew
}

// works are the learned times of each route.
type works struct {
	mu sync.Mutex
	m  map[model.RouteID]*place.Work
}

func (w *works) get(r model.RouteID, objective time.Duration) *place.Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.m == nil {
		w.m = map[model.RouteID]*place.Work{}
	}
	x, ok := w.m[r]
	if !ok {
		x = place.NewWork(objective)
		w.m[r] = x
	}
	return x
}
