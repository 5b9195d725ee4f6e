package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/gossip"
)

const (
	// peerFailureTTL is how long one VM's report of a broken response counts when another VM
	// reports the same.
	peerFailureTTL = 2 * time.Second
	// initialUnreachedEjection is the initial ejection time of an unreachable target: the VMs of
	// a failure domain together reach a target once in a second or two. It doubles like other
	// ejection times.
	initialUnreachedEjection = 2 * time.Second
	// responseTTL is how long a response to one VM outweighs another VM's failure to reach the
	// target: in that time the network path to the other VM is considered the cause.
	responseTTL = time.Second
	// reporterSmoothing is the weight of a new report in a VM's failure fraction.
	reporterSmoothing = 0.1
	// maxFailureFraction is the failure fraction from which the reports of a VM are ignored: more
	// likely that VM itself is cut off.
	maxFailureFraction = 0.5
	// maxReporters is the maximum number of VMs whose failure fraction is tracked.
	maxReporters = 1024
)

// reporters holds the failure fraction of the reports of each VM.
type reporters struct {
	mu sync.Mutex
	m  map[gossip.ProcessID]float64
}

// update adds a report of a VM and reports whether the VM is believed.
func (c *reporters) update(vm gossip.ProcessID, r gossip.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil || len(c.m) >= maxReporters {
		c.m = map[gossip.ProcessID]float64{}
	}
	x := 0.0
	if r.Unreachable || r.Failed {
		x = 1
	}
	c.m[vm] += reporterSmoothing * (x - c.m[vm])
	return c.m[vm] < maxFailureFraction
}

// peerFailure is the last broken response that another VM reported.
type peerFailure struct {
	by gossip.ProcessID
	at time.Duration
}

// warmReportDivisor makes 1 in 4 the chance that a warm object is reported if this VM already knew
// that it is warm: the other VMs know it too, except those that have just started.
const warmReportDivisor = 4

// reportSend gossips the result of a send; wasWarm means that the object was already known to be
// warm at the target.
func (p *Proxy) reportSend(j *job, t *target, r result, wasWarm bool) {
	if p.gossiper == nil {
		return
	}
	x := gossip.Report{
		Target: t.hash, Unreachable: r.isTargetFault() && r.outcome == unreached, Failed: r.isTargetFault() && r.outcome != unreached,
		HasObject: r.succeeded() && j.hasAffinity && (!wasWarm || rand.N(warmReportDivisor) == 0), HasLoad: r.hasLoad,
	}
	if x.HasObject {
		x.Object = j.key
	}
	if x.HasLoad {
		x.Load = r.load.Running + r.load.Waiting
	}
	if x.HasObject || x.HasLoad || x.Failed || x.Unreachable {
		p.gossiper.Add(x)
	}
}

// reportLimit gossips the limit of a target, or that it was taken back.
func (p *Proxy) reportLimit(t *target) {
	if p.gossiper == nil {
		return
	}
	if n, age, ok := t.limitReport(p.now()); ok {
		p.gossiper.Add(gossip.Report{Target: t.hash, Limit: n, HasLimit: true, Age: age})
	}
}

// receive applies the reports of another VM.
func (p *Proxy) receive(vm gossip.ProcessID, reports []gossip.Report) {
	now := p.now()
	for _, r := range reports {
		believed := p.reporters.update(vm, r)
		if t := p.registry.byHash(r.Target); t != nil {
			t.receive(vm, r, believed, now)
		}
	}
}

// receive applies another VM's report on the target.
func (t *target) receive(vm gossip.ProcessID, r gossip.Report, believed bool, now time.Duration) {
	if r.HasObject {
		t.warm.Add(r.Object)
		t.dispatcher.markWarm(r.Object)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now - r.Age
	if r.HasLimit && (r.Limit > 0 || t.limit.perSecond > 0) {
		t.limit.update(r.Limit, at, now)
	}
	if r.HasLoad && at > t.loadAt {
		t.peerLoad, t.loadAt = max(0, float64(r.Load-t.inFlight)), at
	}
	if r.HasObject || r.HasLoad {
		t.respondedAt = max(t.respondedAt, at)
		if t.peerReported && at > t.failedAt {
			t.failures, t.ejectedUntil = 0, 0
		}
	}
	switch {
	case !believed:
	case r.Unreachable && (t.respondedAt == 0 || at > t.respondedAt+responseTTL):
		// A random 0 to 2 s is added, also beyond maxEjection: the VMs that retry first report
		// the result to the others.
		t.ejectForPeer(initialUnreachedEjection, now)
		t.ejectedUntil += rand.N(initialUnreachedEjection)
	case r.Failed:
		if b := t.peerFailure; b.at > 0 && b.by != vm && now-b.at < peerFailureTTL {
			t.ejectForPeer(initialEjection, now)
		}
		t.peerFailure = peerFailure{by: vm, at: max(1, at)}
	}
}

// ejectForPeer ejects the target because of another VM's failure; the caller holds the lock.
func (t *target) ejectForPeer(first, now time.Duration) {
	t.peerReported = t.failures == 0 || t.peerReported
	t.eject(first, now)
}
