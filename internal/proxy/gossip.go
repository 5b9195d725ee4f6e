package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/gossip"
)

const (
	// blameLife is for how long an answer that broke off at one VM counts when another
	// sees the same.
	blameLife = 2 * time.Second
	// firstUnreachedRest is how long a target rests that could not be reached: the VMs
	// of a failure domain together meet a target once in a second or two. It doubles
	// like other rests.
	firstUnreachedRest = 2 * time.Second
	// servedLife is for how long an answer to one VM counts against another's failure
	// to reach the target: then it is the way to that VM that is cut.
	servedLife = time.Second
	// creditPart is the weight of a new report in a VM's part of failures.
	creditPart = 0.1
	// mostFailures is the part of failures from which a VM is not believed: more
	// likely it is cut off itself.
	mostFailures = 0.5
	// maxCredits bounds the VMs whose reports are judged.
	maxCredits = 1024
)

// credits are the parts of failures in what other VMs report.
type credits struct {
	mu sync.Mutex
	m  map[gossip.ProcessID]float64
}

// note takes a report of a VM and tells whether it is believed.
func (c *credits) note(vm gossip.ProcessID, r gossip.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil || len(c.m) >= maxCredits {
		c.m = map[gossip.ProcessID]float64{}
	}
	x := 0.0
	if r.Unreachable || r.Failed {
		x = 1
	}
	c.m[vm] += creditPart * (x - c.m[vm])
	return c.m[vm] < mostFailures
}

// blame is the last answer that broke off at another VM.
type blame struct {
	by gossip.ProcessID
	at time.Duration
}

// knownTold is how many times rarer than others an object is told that this VM knew to
// be known at its target: the others know it too, but for those that have just started.
const knownTold = 4

// tell shares what came of a send; knew says that the target was known to know the
// object before.
func (f *Proxy) tell(j *job, t *target, r result, knew bool) {
	if f.share == nil {
		return
	}
	x := gossip.Report{
		Target: t.seed, Unreachable: r.faulty() && r.outcome == unreached, Failed: r.faulty() && r.outcome != unreached,
		HasObject: r.handled() && j.keyed && (!knew || rand.N(knownTold) == 0), HasLoad: r.loaded,
	}
	if x.HasObject {
		x.Object = j.key
	}
	if x.HasLoad {
		x.Load = r.load.Running + r.load.Waiting
	}
	if x.HasObject || x.HasLoad || x.Failed || x.Unreachable {
		f.share.Add(x)
	}
}

// hear takes what another VM saw.
func (f *Proxy) hear(vm gossip.ProcessID, reports []gossip.Report) {
	now := f.now()
	for _, r := range reports {
		believed := f.credits.note(vm, r)
		if t := f.tables.bySeed(r.Target); t != nil {
			t.hear(vm, r, believed, now)
		}
	}
}

// hear takes what another VM saw of the target.
func (t *target) hear(vm gossip.ProcessID, r gossip.Report, believed bool, now time.Duration) {
	if r.HasObject {
		t.warm.Add(r.Object)
		t.dispatcher.note(r.Object)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now - r.Age
	if r.HasLoad && at > t.heardAt {
		t.others, t.heardAt = max(0, float64(r.Load-t.inFlight)), at
	}
	if r.HasObject || r.HasLoad {
		t.servedAt = max(t.servedAt, at)
		if t.hearsay && at > t.failedAt {
			t.failures, t.restUntil = 0, 0
		}
	}
	switch {
	case !believed:
	case r.Unreachable && (t.servedAt == 0 || at > t.servedAt+servedLife):
		// Of the VMs that rest together some come back sooner and tell the others.
		t.restByHearsay(firstUnreachedRest, now)
		t.restUntil += rand.N(firstUnreachedRest)
	case r.Failed:
		if b := t.blame; b.at > 0 && b.by != vm && now-b.at < blameLife {
			t.restByHearsay(firstRest, now)
		}
		t.blame = blame{by: vm, at: max(1, at)}
	}
}

// restByHearsay rests the target for another VM's failure; the caller holds the lock.
func (t *target) restByHearsay(first, now time.Duration) {
	t.hearsay = t.failures == 0 || t.hearsay
	t.rest(first, now)
}
