package quota

import (
	"math"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Decision is the decision on a request.
type Decision int

const (
	// Admitted requests may run.
	Admitted Decision = iota
	// Exhausted means that the credit is exhausted, but the leader may grant more.
	Exhausted
	// Denied requests exceed the allowance.
	Denied
)

const (
	// demandHorizon is how long a credit should last: two renewals at eelplat's interval of 800 ms,
	// since one may be lost.
	demandHorizon = 1600 * time.Millisecond
	// growthFactor is the growth over the recent request rate that a credit covers without an
	// early report.
	growthFactor = 1.5
	// rateWindow is the duration over which the recent request rate is measured, so that a
	// rise of demand is detected.
	rateWindow = time.Second
	// uncreditedDivisor times the number of VMs divides the maximum of a window to give the
	// number of requests of a workspace that a VM admits without a credit. minUncredited is
	// the minimum of that number, unless it comes to more than 1/maxUncreditedDivisor of the
	// maximum over all VMs: they may all admit so many at the same time.
	uncreditedDivisor    = 4
	minUncredited        = 2
	maxUncreditedDivisor = 2
	// responseTimeout is how long after its last confirmed report a VM switches to its
	// fallback share: a renewal was lost, and the ledger already counts the share as used.
	responseTimeout = 1500 * time.Millisecond
)

// Meter counts the use of one VM. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	window time.Duration
	// confirmedReportAt is the time of the last report that got a response.
	confirmedReportAt time.Duration
	reportedAt        time.Duration
	workspaces        map[model.WorkspaceID]*workspaceMeter
}

// workspaceMeter is the state of one workspace.
type workspaceMeter struct {
	used, requested counter
	// credit is the number of requests that may be admitted.
	credit int
	busy   bool
	// exhausted means that a request found the credit exhausted, so that a partial report
	// includes the workspace.
	exhausted bool
	// sinceReport is the number of requests admitted since the last report.
	sinceReport int
	reportedAt  time.Duration
	// fallbackShare is the maximum in a window while the leader does not respond.
	fallbackShare int
}

// NewMeter returns a meter without credits.
func NewMeter(b Bounds) *Meter {
	return &Meter{window: b.window(), workspaces: map[model.WorkspaceID]*workspaceMeter{}}
}

// Acquire decides on one request of a workspace, and uses credit if it is admitted. maxRequests
// is the maximum in a window at all VMs together, and vms is their number.
func (m *Meter) Acquire(id model.WorkspaceID, maxRequests, vms int, now time.Duration) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.workspaces[id]
	if !ok {
		x = &workspaceMeter{used: newCounter(m.window), requested: newCounter(m.window)}
		m.workspaces[id] = x
	}
	x.requested.add(now)
	x.used.advance(now)
	v := x.decide(now < m.confirmedReportAt+responseTimeout, uncredited(maxRequests, vms))
	if v != Admitted {
		x.exhausted = v == Exhausted
		return v
	}
	x.used.add(now)
	x.credit = max(0, x.credit-1)
	x.sinceReport++
	return Admitted
}

// uncredited returns the number of requests in a window that one of several VMs may admit without a
// credit.
func uncredited(maxRequests, vms int) int {
	vms = max(1, vms)
	return min(max(minUncredited, maxRequests/(uncreditedDivisor*vms)), maxRequests/(maxUncreditedDivisor*vms))
}

// decide decides on a request. responded means that the leader has responded recently; without
// it, the fallback share applies. uncredited is the number of requests in a window that may be
// admitted without a credit.
func (x *workspaceMeter) decide(responded bool, uncredited int) Decision {
	switch {
	case responded && x.credit > 0:
		return Admitted
	case !x.busy && x.used.sum < uncredited:
		return Admitted
	case responded && !x.busy:
		return Exhausted
	case !responded && x.used.sum < x.fallbackShare:
		return Admitted
	}
	return Denied
}

// Refund returns a request that was admitted at a time and did not run.
func (m *Meter) Refund(id model.WorkspaceID, at, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.workspaces[id]
	if !ok {
		return
	}
	x.used.remove(at, now)
	if x.sinceReport > 0 && at >= x.reportedAt {
		x.credit++
		x.sinceReport--
	}
}

// Report returns the use of the workspaces with recent requests; a partial report has only those
// that need more credit.
func (m *Meter) Report(now time.Duration, partial bool) []Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedAt = now
	out := make([]Use, 0, len(m.workspaces))
	for id, x := range m.workspaces {
		if partial && !x.exhausted {
			continue
		}
		x.used.advance(now)
		x.requested.advance(now)
		if x.used.sum == 0 && x.requested.sum == 0 {
			delete(m.workspaces, id)
			continue
		}
		x.sinceReport, x.reportedAt, x.exhausted = 0, now, false
		out = append(out, Use{Workspace: id, Used: x.used.sum, Left: x.credit, Wanted: x.demand(m.window, now), Level: x.fallbackShare})
	}
	return out
}

// demand returns the number of requests expected within demandHorizon.
func (x *workspaceMeter) demand(window, now time.Duration) int {
	recent := x.requested.countWithin(rateWindow, now)
	perSecond := max(float64(recent)/rateWindow.Seconds(), float64(x.requested.sum)/window.Seconds())
	n := int(math.Round(growthFactor * perSecond * demandHorizon.Seconds()))
	if recent > 0 {
		n = max(1, n)
	}
	return n
}

// Credit applies the leader's response to the last report.
func (m *Meter) Credit(credits []Credit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedReportAt = m.reportedAt
	for _, c := range credits {
		x, ok := m.workspaces[c.Workspace]
		if !ok {
			continue
		}
		x.credit, x.busy, x.fallbackShare = max(0, c.Credit-x.sinceReport), c.Busy, c.Level
	}
}

// AdmittedFraction returns the fraction of the recent requests of a workspace that were admitted.
func (m *Meter) AdmittedFraction(id model.WorkspaceID, now time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.workspaces[id]
	if !ok {
		return 1
	}
	x.used.advance(now)
	x.requested.advance(now)
	return min(1, float64(x.used.sum)/float64(max(1, x.requested.sum)))
}
