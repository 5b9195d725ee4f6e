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
	"github.com/go-kit/log/level"
)

// dispatcher is the queue of a target together with the requests that wait in it.
type dispatcher struct {
	mu      sync.Mutex
	queue   *queue.Queue
	waiting map[*queue.Ticket]chan waitResult
}

// waitResult tells a waiting request how to proceed.
type waitResult int

const (
	// proceed: the request may be sent.
	proceed waitResult = iota
	// reroute: the target accepts no more requests, and this one was removed from the queue.
	reroute
)

func newDispatcher(slots int) *dispatcher {
	return &dispatcher{queue: queue.New(slots), waiting: map[*queue.Ticket]chan waitResult{}}
}

// admit adds a request to the queue; the channel receives one value when the request need not
// wait any longer.
func (d *dispatcher) admit(a queue.Request, now time.Duration) (*queue.Ticket, <-chan waitResult, time.Duration, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, wait, why := d.queue.Admit(a, now)
	if t == nil {
		return nil, nil, wait, why
	}
	c := make(chan waitResult, 1)
	d.waiting[t] = c
	d.startReady(now)
	if at := d.queue.WakeAt(t); at > now && d.waiting[t] != nil {
		time.AfterFunc(at-now, func() { d.wake(at) })
	}
	return t, c, wait, ""
}

// wake starts the requests that no longer wait for another request on the same object.
func (d *dispatcher) wake(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startReady(now)
}

// startReady starts the requests that are ready; the caller holds the lock.
func (d *dispatcher) startReady(now time.Duration) {
	for _, t := range d.queue.Start(now) {
		d.waiting[t] <- proceed
		delete(d.waiting, t)
	}
}

// rerouteWaiting makes all waiting requests try other targets at once.
func (d *dispatcher) rerouteWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t, c := range d.waiting {
		d.queue.Remove(t)
		c <- reroute
	}
	clear(d.waiting)
}

// remove removes a request that has not started, and reports whether it was still waiting.
func (d *dispatcher) remove(t *queue.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, t)
	return d.queue.Remove(t)
}

func (d *dispatcher) done(t *queue.Ticket, succeeded bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Done(t, succeeded)
	d.startReady(now)
}

func (d *dispatcher) setSlots(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetSlots(n)
}

func (d *dispatcher) markWarm(k place.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.MarkWarm(k)
}

func (d *dispatcher) isWarm(k place.Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.IsWarm(k)
}

func (d *dispatcher) clearWarm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.ClearWarm()
}

// dispatch sends a job to its target once this VM's share of the target's slots has a free one.
func (p *Proxy) dispatch(ctx context.Context, c *model.Catalogue, j *job, t *target) (r result) {
	now := p.now()
	reservation, ok := t.reserveLimit(now)
	if !ok {
		return result{outcome: refused, reason: reasonNotAccepting, rerouted: true}
	}
	defer func() { reservation.cancel(p.now()) }()
	w := p.estimators.get(j.route, j.objective)
	t.dispatcher.setSlots(slotShare(t.slots(), p.o.Cluster.VMCount(c.RegionOf(p.o.Domain))-p.hops.askers(now)))
	at := t.candidate(w, j.key, j.hasAffinity, now)
	a := queue.Request{
		Key: j.key, HasAffinity: j.hasAffinity, Priority: j.priority, Deadline: j.deadline, Objective: j.objective,
		WarmTime: w.Estimate(true), ColdTime: w.Estimate(false), TargetWait: at.Wait(), Spillover: j.spillover, Saturated: !at.HasCapacity(),
	}
	ticket, start, wait, why := t.dispatcher.admit(a, now)
	if why == queue.ReasonTooSlow {
		warm := !j.hasAffinity || t.dispatcher.isWarm(j.key)
		if a.Trial = j.isTrial(w, warm, now); a.Trial {
			defer func() { p.endTrial(j, w, warm, r) }()
			ticket, start, wait, why = t.dispatcher.admit(a, now)
		}
	}
	if ticket == nil {
		return result{outcome: refused, reason: why, retryAfter: wait}
	}
	next, why := p.await(ctx, j.deadline-now, t, ticket, start)
	if why != "" {
		return result{outcome: refused, reason: why}
	}
	if next == reroute {
		return result{outcome: refused, rerouted: true, reason: reasonNotAccepting}
	}
	from := p.now()
	r, wasWarm := p.exchange(ctx, j, t, reservation)
	r.queueTime, r.took = from-now, p.now()-from
	succeeded := r.succeeded()
	if succeeded && !a.Trial {
		w.Observe(wasWarm, r.took, p.now())
	}
	t.dispatcher.done(ticket, succeeded, p.now())
	return r
}

// isTrial reports whether a request is sent although its expected service time is longer than its
// remaining time, to find out whether that still holds. A request that has used most of its time
// would tell little.
func (j *job) isTrial(w *place.ServiceTime, warm bool, now time.Duration) bool {
	remaining := j.deadline - now
	return remaining > now-j.start && w.Estimate(warm) > remaining && w.StartTrial(warm, now)
}

// endTrial records the result of a trial.
func (p *Proxy) endTrial(j *job, w *place.ServiceTime, warm bool, r result) {
	x := place.TrialFailed
	switch {
	case r.succeeded():
		x = place.TrialServed
	case r.outcome == refused || r.outcome == unreached || r.outcome == notRun || r.outcome == callerLeft || r.aborted && r.outcome != timedOut:
		x = place.TrialNotSent
	}
	before := w.Estimate(warm)
	w.EndTrial(warm, x, r.took, p.now())
	level.Info(p.o.Log).Log("msg", "service time tried", "request", j.id, "route", j.route, "target", j.target, "warm", warm,
		"outcome", r.outcome, "tookMillis", r.took.Milliseconds(), "expectedMillis", before.Milliseconds(), "nowExpectedMillis", w.Estimate(warm).Milliseconds())
}

// await waits until a request may start at a target. If it stops waiting first, it returns the
// reason.
func (p *Proxy) await(ctx context.Context, timeout time.Duration, t *target, ticket *queue.Ticket, start <-chan waitResult) (waitResult, string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	why := ""
	select {
	case next := <-start:
		return next, ""
	case <-ctx.Done():
		why = "the deadline passed in the queue"
	case <-p.dispatchStopped:
		why = reasonStopping
	}
	if t.dispatcher.remove(ticket) {
		return reroute, why
	}
	return <-start, ""
}

// slotShareFactor times an even share of a target's slots is the maximum that one VM of a region
// uses: the VMs of a region seldom all want the same target. In the simulated
// days of a deployment in docs/PLATFORM.md, a factor of 1 lost a twentieth of the benefit, which
// is the value of the served requests, and 3 a hundredth.
const slotShareFactor = 1.5

// slotShare returns the maximum number of concurrent requests of one of several VMs at a target.
func slotShare(slots, vms int) int {
	if vms <= 1 {
		return slots
	}
	return max(1, int(math.Ceil(slotShareFactor*float64(slots)/float64(vms))))
}

// permit checks a job directly before it is sent, against the newest catalogue: the target may have
// left while the job waited for a slot or a connection. It returns why the job must not be sent.
func (p *Proxy) permit(j *job, t *target) string {
	if c := p.o.Cluster.Catalogue(); c != nil {
		p.registry.update(c)
	}
	if !t.isAccepting(p.now()) {
		return reasonNotAccepting
	}
	select {
	case <-p.dispatchStopped:
		return reasonStopping
	default:
	}
	if j.access.authenticated && !p.areKeysValid() {
		return reasonKeysStale
	}
	if p.quarantineState(j.request) == model.QuarantineBanned {
		return reasonBanned
	}
	return ""
}

// exchange sends a job to its target now.
func (p *Proxy) exchange(ctx context.Context, j *job, t *target, reservation *limitReservation) (r result, wasWarm bool) {
	from := p.now()
	remaining := j.deadline - from
	reason := p.permit(j, t)
	switch {
	case reason != "":
		return result{outcome: refused, reason: reason, rerouted: reason == reasonNotAccepting}, false
	case remaining <= 0 || ctx.Err() != nil || t.isEjected(from):
		return result{outcome: refused, reason: "the time was up, or the target was ejected, before it started"}, false
	}
	if j.delivery == model.AtMostOnce {
		// A started request is completed even if the caller disconnects, since the caller may ask
		// other VMs for its result.
		ctx = context.WithoutCancel(ctx)
	}
	if j.delivery == model.Idempotent && p.canRelay() {
		// The request is sent again through another VM if this one loses its links.
		var stop context.CancelFunc
		ctx, stop = p.untilCutOff(ctx)
		defer stop()
	}
	remaining += j.overrun
	ctx, cancel := context.WithTimeout(ctx, remaining+lateResponseTimeout)
	defer cancel()
	t.sendStarted()
	if p.canRelay() && p.links.Sent(string(t.id), from) {
		p.startLinkProbe()
	}
	wasWarm = !j.hasAffinity || t.warm.IsWarm(j.key)
	r = t.conns.exchange(ctx, call{
		method: j.method, uri: j.uri, host: j.host, header: j.header, body: j.body,
		id: j.id, target: t.id, remaining: remaining, headers: p.o.Headers, access: j.access, reservation: j.reservation,
		permit: func() string {
			if reason := p.permit(j, t); reason != "" {
				return reason
			}
			if j.request.hasLeft() {
				return reasonCallerLeft // It left while the connection was established.
			}
			if !reservation.use(p.now()) {
				return reasonNotAccepting
			}
			return ""
		},
	})
	r.startedAt, r.rerouted = from, r.reason == reasonNotAccepting
	r.aborted = ctx.Err() != nil
	if r.outcome == unknown && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome, r.reason = timedOut, "no answer before the deadline"
	}
	took := p.now() - from
	if r.succeeded() && j.hasAffinity {
		t.warm.Add(j.key)
	}
	p.observe(j.request, t, r)
	p.observeLinks(r)
	p.reportSend(j, t, r, wasWarm)
	if what := t.sendEnded(r, p.now()); what != "" {
		p.logTargetEvent(j, t, r, what)
	}
	p.reportLimit(t)
	p.metrics.recordSend(r, took)
	return r, wasWarm
}

// estimators holds the learned service times of each route.
type estimators struct {
	mu sync.Mutex
	m  map[model.RouteID]*place.ServiceTime
}

// ServiceTime is the learned service time of a route, in milliseconds.
type ServiceTime struct {
	Warm int64 `json:"warmMillis"`
	Cold int64 `json:"coldMillis"`
}

func (w *estimators) snapshot() map[model.RouteID]ServiceTime {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[model.RouteID]ServiceTime, len(w.m))
	for r, x := range w.m {
		out[r] = ServiceTime{Warm: x.Estimate(true).Milliseconds(), Cold: x.Estimate(false).Milliseconds()}
	}
	return out
}

func (w *estimators) get(r model.RouteID, objective time.Duration) *place.ServiceTime {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.m == nil {
		w.m = map[model.RouteID]*place.ServiceTime{}
	}
	x, ok := w.m[r]
	if !ok {
		x = place.NewServiceTime(objective)
		w.m[r] = x
	}
	return x
}
