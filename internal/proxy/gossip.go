package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/gossip"
)

const (
	// peerFailureTTL is for how long an answer that broke off at one VM counts when another
	// sees the same.
	peerFailureTTL = 2 * time.Second
	// initialUnreachedEjection is how long a target rests that could not be reached: the VMs
	// of a failure domain together meet a target once in a second or two. It doubles
	// like other rests.
	initialUnreachedEjection = 2 * time.Second
	// responseTTL is for how long an answer to one VM counts against another's failure
	// to reach the target: then it is the way to that VM that is cut.
	responseTTL = time.Second
	// reporterSmoothing is the weight of a new report in a VM's part of failures.
	reporterSmoothing = 0.1
	// maxFailureFraction is the part of failures from which a VM is not believed: more
	// likely it is cut off itself.
	maxFailureFraction = 0.5
	// maxReporters bounds the VMs whose reports are judged.
	maxReporters = 1024
)

// credits are the parts of failures in what other VMs report.
type reporters struct {
	mu sync.Mutex
	m  map[gossip.VM]float64
}

// update takes a report of a VM and tells whether it is believed.
func (c *reporters) update(vm gossip.VM, r gossip.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil || len(c.m) >= maxReporters {
		c.m = map[gossip.VM]float64{}
	}
	x := 0.0
	if r.Unreached || r.Failed {
		x = 1
	}
	c.m[vm] += reporterSmoothing * (x - c.m[vm])
	return c.m[vm] < maxFailureFraction
}

// blame is the last answer that broke off at another VM.
type peerFailure struct {
	by gossip.VM
	at time.Duration
}

// warmReportInterval is how many times rarer than others an object is told that this VM knew to
// be known at its target: the others know it too, but for those that have just started.
const warmReportInterval = 4

// reportSend shares what came of a send; knew says that the target was known to know the
// object before.
func (p *Proxy) reportSend(j *job, t *target, r result, wasWarm bool) {
	if p.gossiper == nil {
		return
	}
	x := gossip.Report{
		Target: t.seed, Unreached: r.isTargetFault() && r.outcome == unreached, Failed: r.isTargetFault() && r.outcome != unreached,
		Handled: r.succeeded() && j.hasAffinity && (!wasWarm || rand.N(warmReportInterval) == 0), Loaded: r.hasLoad,
	}
	if x.Handled {
		x.Object = j.key
	}
	if x.Loaded {
		x.Load = r.load.Running + r.load.Waiting
	}
	if x.Handled || x.Loaded || x.Failed || x.Unreached {
		p.gossiper.Add(x)
	}
}

// hear takes what another VM saw.
func (p *Proxy) receive(vm gossip.VM, reports []gossip.Report) {
	now := p.now()
	for _, r := range reports {
		believed := p.reporters.update(vm, r)
		if t := p.registry.bySeed(r.Target); t != nil {
			t.receive(vm, r, believed, now)
		}
	}
}

// hear takes what another VM saw of the target.
func (t *target) receive(vm gossip.VM, r gossip.Report, believed bool, now time.Duration) {
	if r.Handled {
		t.warm.Note(r.Object)
		t.dispatcher.markWarm(r.Object)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now - r.Age
	if r.Loaded && at > t.loadAt {
		t.peerLoad, t.loadAt = max(0, float64(r.Load-t.inFlight)), at
	}
	if r.Handled || r.Loaded {
		t.respondedAt = max(t.respondedAt, at)
		if t.peerReported && at > t.failedAt {
			t.failures, t.ejectedUntil = 0, 0
		}
	}
	switch {
	case !believed:
	case r.Unreached && (t.respondedAt == 0 || at > t.respondedAt+responseTTL):
		// Of the VMs that rest together some come back sooner and tell the others.
		t.ejectForPeer(initialUnreachedEjection, now)
		t.ejectedUntil += rand.N(initialUnreachedEjection)
	case r.Failed:
		if b := t.peerFailure; b.at > 0 && b.by != vm && now-b.at < peerFailureTTL {
			t.ejectForPeer(initialEjection, now)
		}
		t.peerFailure = peerFailure{by: vm, at: max(1, at)}
	}
}

// ejectForPeer rests the target for another VM's failure; the caller holds the lock.
func (t *target) ejectForPeer(first, now time.Duration) {
	t.peerReported = t.failures == 0 || t.peerReported
	t.eject(first, now)
}
