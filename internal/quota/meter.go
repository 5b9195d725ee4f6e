package quota

import (
	"math"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Decision is what becomes of a request.
type Decision int

const (
	// Admitted requests may run.
	Admitted Decision = iota
	// Exhausted means that the credit is used up, and that the leader may have more.
	Exhausted
	// Denied requests are beyond the allowance.
	Denied
)

const (
	// horizon is for how long a credit should last: two renewals, since one may be lost.
	horizon = 1600 * time.Millisecond
	// growth is how much faster than of late requests may come without asking.
	growth = 1.5
	// rateSpan is the time over which a rise of demand is noticed.
	rateSpan = time.Second
	// unheardPart divides the most of a window, and the number of VMs, to give what a
	// VM takes of a workspace before it was credited anything, and unheardLeast is the
	// least of that.
	unheardPart  = 4
	unheardLeast = 2
	// overdueAfter is how long after its last report that was answered a VM goes on at
	// its level: a renewal was lost, and the ledger expects it.
	overdueAfter = 1500 * time.Millisecond
)

// Meter counts what one VM uses. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	window time.Duration
	// creditedAt is when the last report that was answered was made.
	creditedAt time.Duration
	reportedAt time.Duration
	m          map[model.WorkspaceID]*meter
}

// meter is the state of one workspace.
type meter struct {
	used, asked count
	// credit is what may be taken.
	credit int
	busy   bool
	// asking says that a request found the credit used up.
	asking bool
	// since counts what was taken after the last report.
	since      int
	reportedAt time.Duration
	// level is the most in a window once the lease is over.
	level int
}

// NewMeter returns a meter without credits.
func NewMeter(b Bounds) *Meter {
	return &Meter{window: b.window(), m: map[model.WorkspaceID]*meter{}}
}

// Acquire asks for one request of a workspace, of which most may run in a window at all
// of a number of VMs.
func (m *Meter) Acquire(id model.WorkspaceID, most, vms int, now time.Duration) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.m[id]
	if !ok {
		x = &meter{used: newCount(m.window), asked: newCount(m.window)}
		m.m[id] = x
	}
	x.asked.add(now)
	x.used.advance(now)
	v := x.verdict(now < m.creditedAt+overdueAfter, max(unheardLeast, most/(unheardPart*max(1, vms))))
	if v != Admitted {
		x.asking = v == Exhausted
		return v
	}
	x.used.add(now)
	x.credit = max(0, x.credit-1)
	x.since++
	return Admitted
}

// verdict decides on a request. Without an answer of late the level counts; unheard is
// what may be taken without a credit.
func (x *meter) verdict(answered bool, unheard int) Decision {
	switch {
	case answered && x.credit > 0:
		return Admitted
	case !x.busy && x.used.sum < unheard:
		return Admitted
	case answered && !x.busy:
		return Exhausted
	case !answered && x.used.sum < x.level:
		return Admitted
	}
	return Denied
}

// Refund takes back a request that was taken at a time and did not run.
func (m *Meter) Refund(id model.WorkspaceID, at, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.m[id]
	if !ok {
		return
	}
	x.used.takeBack(at, now)
	if x.since > 0 && at >= x.reportedAt {
		x.credit++
		x.since--
	}
}

// Report returns the use of the workspaces of which there was any of late, or only of
// those that need more credit.
func (m *Meter) Report(now time.Duration, asking bool) []Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedAt = now
	out := make([]Use, 0, len(m.m))
	for id, x := range m.m {
		if asking && !x.asking {
			continue
		}
		x.used.advance(now)
		x.asked.advance(now)
		if x.used.sum == 0 && x.asked.sum == 0 {
			delete(m.m, id)
			continue
		}
		x.since, x.reportedAt, x.asking = 0, now, false
		out = append(out, Use{Workspace: id, Used: x.used.sum, Left: x.credit, Wanted: x.wanted(m.window, now), Level: x.level})
	}
	return out
}

// wanted returns how many requests are expected within the horizon.
func (x *meter) wanted(window, now time.Duration) int {
	late := x.asked.last(rateSpan, now)
	perSecond := max(float64(late)/rateSpan.Seconds(), float64(x.asked.sum)/window.Seconds())
	n := int(math.Round(growth * perSecond * horizon.Seconds()))
	if late > 0 {
		n = max(1, n)
	}
	return n
}

// Credit takes the leader's answer to the last report.
func (m *Meter) Credit(credits []Credit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.creditedAt = m.reportedAt
	for _, c := range credits {
		x, ok := m.m[c.Workspace]
		if !ok {
			continue
		}
		x.credit, x.busy, x.level = max(0, c.Credit-x.since), c.Busy, c.Level
	}
}

// AdmittedFraction returns which part of the requests of a workspace were taken of late.
func (m *Meter) AdmittedFraction(id model.WorkspaceID, now time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.m[id]
	if !ok {
		return 1
	}
	x.used.advance(now)
	x.asked.advance(now)
	return min(1, float64(x.used.sum)/float64(max(1, x.asked.sum)))
}
