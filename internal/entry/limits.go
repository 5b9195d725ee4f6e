package entry

import (
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// limits holds this VM's shares of links and shift caps, by resource.
type limits struct {
	mu sync.RWMutex
	m  map[string]*limit.Window

	shortages shortageReports
}

// shortageReports limits how often shares that are too small are reported to the leader.
type shortageReports struct {
	mu         sync.Mutex
	reportedAt time.Duration
	// reported is the limit of each share when it was last reported as too small.
	reported map[*limit.Window]int64
}

// shortageReportInterval is the minimum time between two renewals for a share that is too
// small.
const shortageReportInterval = 100 * time.Millisecond

// shouldReport reports whether a share that is too small warrants a renewal now, and
// records the report. A share that has not changed since its last report waits for the
// regular renewal, which is assumed after defaultRenewInterval whatever Options.RenewInterval is.
func (s *shortageReports) shouldReport(w *limit.Window, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := w.Limit()
	old, ok := s.reported[w]
	if ok && (now < s.reportedAt+shortageReportInterval || old == n && now < s.reportedAt+defaultRenewInterval) {
		return false
	}
	if s.reported == nil {
		s.reported = map[*limit.Window]int64{}
	}
	s.reported[w], s.reportedAt = n, now
	return true
}

func (l *limits) get(name string) *limit.Window {
	l.mu.RLock()
	w, ok := l.m[name]
	l.mu.RUnlock()
	if ok {
		return w
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = map[string]*limit.Window{}
	}
	if _, ok := l.m[name]; !ok {
		l.m[name] = limit.NewWindow()
	}
	return l.m[name]
}

// setShares puts the shares of a grant into force. A resource without a share gets limit 0.
func (l *limits) setShares(shares []*eelpb.Share) {
	named := make(map[string]bool, len(shares))
	for _, s := range shares {
		named[s.Resource] = true
		l.get(s.Resource).SetLimit(s.Amount)
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for n, w := range l.m {
		if !named[n] {
			w.SetLimit(0)
		}
	}
}

func (l *limits) report(now time.Duration) (shares, demands []*eelpb.Share) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for n, w := range l.m {
		if a := w.EffectiveLimit(); a > 0 {
			shares = append(shares, &eelpb.Share{Resource: n, Amount: a})
		}
		if d := w.Demand(now); d > 0 {
			demands = append(demands, &eelpb.Share{Resource: n, Amount: d})
		}
	}
	return shares, demands
}

// linkUtilization returns, for a region, a function that returns the utilization of the link from
// that region.
func (x *Entry) linkUtilization(c *model.Catalogue) func(model.RegionID) func() float64 {
	here := c.RegionOf(x.o.Domain)
	return func(r model.RegionID) func() float64 {
		w := x.limits.get(lease.LinkResource(r, here))
		return func() float64 { return w.Utilization(x.now()) }
	}
}

// shiftCounters counts what this VM dispatches as an owner under each shift cap.
type shiftCounters struct {
	l limits
}

// take counts a dispatch against each whole cap that bounds it, not against this VM's
// share of it. It reports whether all of them have room.
func (s *shiftCounters) take(caps []model.ShiftCap, now time.Duration) bool {
	for _, k := range caps {
		w := s.l.get(k.Name)
		w.SetLimit(k.PerSecond)
		if !w.Take(1, now) {
			return false
		}
	}
	return true
}
