package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/links"
	"github.com/go-kit/log/level"
)

const (
	// linkProbeTargets is the number of targets that a probe of the VM's own links dials. Half of all
	// targets may be down without a false conclusion in more than one of 64 probes.
	linkProbeTargets = 6
	// linkProbeRounds is the number of times that targets are dialled before the VM takes their silence
	// for a fault of its links.
	linkProbeRounds = 2
	// linkProbeInterval is the time between two probes while the VM is cut off.
	linkProbeInterval = 300 * time.Millisecond
)

// observeLinks tells the link detector what a send shows, and probes the links if there is reason to.
func (p *Proxy) observeLinks(r result) {
	now := p.now()
	switch {
	case !p.canRelay() || r.outcome == refused:
	case r.outcome == responded || r.outcome == notRun:
		if p.links.Heard(now) {
			p.linksChanged()
		}
		if !r.reused {
			p.links.Connected(now)
		}
	case !r.aborted && (r.outcome == unreached || r.broke):
		if p.links.Failed(r.connRefused || r.broke, now) {
			p.startLinkProbe()
		}
	}
}

// observeNoTarget tells the link detector that a request was not tried, since no target can be used: they may all
// rest because the VM does not reach them, and no send shows that any more.
func (p *Proxy) observeNoTarget(q *request) {
	if q.state.tries == 0 && p.canRelay() && p.links.Failed(false, p.now()) {
		p.startLinkProbe()
	}
}

// startLinkProbe probes the links, and goes on until they are back if the VM is cut off.
func (p *Proxy) startLinkProbe() {
	p.g.Go(func(ctx context.Context) error {
		p.probeLinks(ctx)
		for p.links.CutOff() && ctx.Err() == nil {
			sleepFor(ctx, linkProbeInterval)
			p.probeLinks(ctx)
		}
		return nil
	})
}

// probeLinks dials some targets of any service, and some more if the first ones do not respond in time.
func (p *Proxy) probeLinks(ctx context.Context) {
	var r links.Probe
	for range linkProbeRounds {
		p.dialSome(ctx, &r)
		if r.Accepted > 0 || r.Refused == r.Dialled || p.links.CutOff() {
			break
		}
	}
	if ctx.Err() == nil && p.links.Probed(r, p.now()) {
		level.Warn(p.o.Log).Log("msg", "links to targets changed", "cutOff", p.links.CutOff(), "dialled", r.Dialled, "accepted", r.Accepted, "refused", r.Refused)
		p.linksChanged()
	}
}

// dialSome dials some targets at once, and adds the outcome to a probe.
func (p *Proxy) dialSome(ctx context.Context, r *links.Probe) {
	list := p.registry.sample(linkProbeTargets, nil, func(*target) bool { return true })
	var accepted, refused atomic.Int64
	var g sync.WaitGroup
	for _, t := range list {
		g.Go(func() {
			switch err := t.conns.probeKept(ctx); {
			case err == nil:
				accepted.Add(1)
			case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
				refused.Add(1)
			}
		})
	}
	g.Wait()
	r.Dialled += len(list)
	r.Accepted += int(accepted.Load())
	r.Refused += int(refused.Load())
}

// linksChanged gives up what waits for a target when the VM is cut off; when its links are back, the
// targets that it ejected meanwhile are in use again.
func (p *Proxy) linksChanged() {
	cutOff := p.links.CutOff()
	if cutOff {
		p.abandonable.callAll()
	}
	p.registry.each(func(t *target) {
		if cutOff {
			t.dispatcher.rerouteWaiting()
		} else {
			t.endEjection()
		}
	})
}

// endEjection forgets the failures of a target.
func (t *target) endEjection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures, t.ejectedUntil = 0, 0
}

// untilCutOff returns a context that also ends when the VM is cut off.
func (p *Proxy) untilCutOff(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, p.abandonable.add(cancel)
}

// cancels holds functions that are called when the VM is cut off.
type cancels struct {
	mu   sync.Mutex
	next uint64
	m    map[uint64]context.CancelFunc
}

// add adds a function. The function that it returns removes it and calls it.
func (c *cancels) add(cancel context.CancelFunc) context.CancelFunc {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[uint64]context.CancelFunc{}
	}
	id := c.next
	c.next++
	c.m[id] = cancel
	return func() {
		c.mu.Lock()
		delete(c.m, id)
		c.mu.Unlock()
		cancel()
	}
}

func (c *cancels) callAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.m {
		f()
	}
}
