package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/poison"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

const (
	// maxBrokenSends bounds the requests that are reported for one end.
	maxBrokenSends = 64
	// brokenSendsDelay is how long to wait for further sends that break with the same target.
	brokenSendsDelay = 20 * time.Millisecond
	// endConfirmInterval and endConfirmTimeout are for the search for a sign that a target has ended:
	// it is down, or back with a new incarnation.
	endConfirmInterval = 250 * time.Millisecond
	endConfirmTimeout  = 4 * time.Second
	// maxWitnesses is the number of other targets that are dialled to find out whether this VM itself
	// is cut off.
	maxWitnesses = 3
)

// brokenSends are the requests whose connections to a target broke at about the same time.
type brokenSends struct {
	at       time.Duration
	requests []poison.Request
}

// observe records what the result of a send says about its request.
func (p *Proxy) observe(q *request, t *target, r result) {
	if p.o.Ends == nil || p.o.Key == nil {
		return
	}
	switch {
	case r.outcome == responded && (q.body.len() <= maxRememberedBody || q.hasDigest):
		p.quarantine.recent.Add(p.digestOf(q), r.startedAt)
		if p.quarantineState(q) == model.QuarantineSuspected {
			p.o.Ends.ReportWhole(p.digestOf(q), p.now()-r.startedAt)
		}
	case r.broke && !r.aborted && !t.isLeaving():
		p.recordBroken(t, poison.Request{Digest: p.digestOf(q), Route: q.route.Name, Service: q.service})
	}
}

// isLeaving reports whether the target is about to end as planned.
func (t *target) isLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leavingAt != 0 || t.outOfService || t.record.State != model.TargetReady
}

// recordBroken records a request whose connection broke, and starts to find out whether the target
// has ended.
func (p *Proxy) recordBroken(t *target, r poison.Request) {
	k := p.quarantine
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.broken[t]
	if !ok {
		b = &brokenSends{at: p.now()}
		k.broken[t] = b
		p.g.Go(func(ctx context.Context) error {
			p.confirmEnd(ctx, t)
			return nil
		})
	}
	if len(b.requests) < maxBrokenSends {
		b.requests = append(b.requests, r)
	}
}

// confirmEnd finds out whether a target has ended after connections to it broke, and reports that. A
// broken connection alone may be a fault of the network, and of this VM's own links: the target must
// refuse connections while another one accepts them, or be back as another incarnation.
func (p *Proxy) confirmEnd(ctx context.Context, t *target) {
	ended := false
	start := p.now()
	sleepFor(ctx, brokenSendsDelay)
	for dial := true; !ended && ctx.Err() == nil && p.now() < start+endConfirmTimeout; {
		if ended = p.registry.isReplaced(t); ended {
			break
		}
		if dial {
			var accepted bool
			ended, accepted = p.refusesConnections(ctx, t)
			// A target that accepts connections has not ended, or is back already.
			dial = !accepted
		}
		if !ended {
			sleepFor(ctx, endConfirmInterval)
		}
	}
	k := p.quarantine
	k.mu.Lock()
	b := k.broken[t]
	delete(k.broken, t)
	if ended {
		k.counts.Ends++
	} else {
		k.counts.Unconfirmed++
	}
	k.mu.Unlock()
	level.Info(p.o.Log).Log("msg", "connections of a target broke", "target", t.id, "requests", len(b.requests), "ended", ended,
		"tookMillis", (p.now() - start).Milliseconds())
	if ended {
		p.o.Ends.ReportEnd(t.id, t.incarnation(), p.now()-b.at, b.requests)
	}
}

func sleepFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// refusesConnections reports whether a target refuses connections, although another target accepts
// them, and whether it accepts them. Where the others refuse them too, this VM may be cut off.
func (p *Proxy) refusesConnections(ctx context.Context, t *target) (refuses, accepts bool) {
	hasLinks := false
	for _, x := range p.registry.sample(maxWitnesses, t, func(x *target) bool { return !x.isEjected(p.now()) }) {
		if hasLinks = x.conns.probeKept(ctx) == nil; hasLinks {
			break
		}
	}
	err := t.conns.probe(ctx)
	return hasLinks && errors.Is(err, syscall.ECONNREFUSED), err == nil
}

// probe establishes a connection and closes it.
func (c *conns) probe(ctx context.Context) error {
	x, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	return x.Close()
}

// resetTimeout is how long a connection is watched for a reset after it was established. A cut may accept connections and
// reset them; the reset takes as long as the acceptance did, and a moment more.
const resetTimeout = 50 * time.Millisecond

// probeKept establishes a connection, and fails if the connection is reset within resetTimeout.
func (c *conns) probeKept(ctx context.Context) error {
	x, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer x.Close()
	if err := x.SetReadDeadline(time.Now().Add(resetTimeout)); err != nil {
		return err
	}
	if _, err := x.Read(make([]byte, 1)); errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	return nil
}

// incarnation returns the incarnation of the target.
func (t *target) incarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Incarnation
}

// isReplaced reports whether the catalogue lists another incarnation of a target, or another target at
// its address.
func (r *registry) isReplaced(t *target) bool {
	if c := r.o.Cluster.Catalogue(); c != nil {
		r.update(c)
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for id, x := range r.byID {
		if x != t && (id == t.id || x.conns.addr == t.conns.addr) {
			return true
		}
	}
	return false
}

// sample returns up to n random targets that are in service and for which match returns true, without
// one.
func (r *registry) sample(n int, without *target, match func(*target) bool) []*target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*target
	// The order of a map is random.
	for _, x := range r.byID {
		if len(out) == n {
			break
		}
		if x != without && x.isInService() && match(x) {
			out = append(out, x)
		}
	}
	return out
}
