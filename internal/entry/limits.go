package entry

import (
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// limits are this VM's shares of links and shift caps.
type limits struct {
	mu sync.RWMutex
	m  map[string]*limit.Window

	short shortage
}

// shortage is when a share was found too small, and which.
type shortage struct {
	mu sync.Mutex
	at time.Duration
	// told are the limits that were reported as too small.
	told map[*limit.Window]int64
}

// shortageEvery is the least time between two renewals for a share that is too small.
const shortageEvery = 100 * time.Millisecond

// tell tells whether the leader should hear now that a share is too small. One
// that did not change since it was told waits for the usual renewal.
func (s *shortage) tell(w *limit.Window, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := w.Limit()
	old, ok := s.told[w]
	if ok && (now < s.at+shortageEvery || old == n && now < s.at+renewEvery) {
		return false
	}
	if s.told == nil {
		s.told = map[*limit.Window]int64{}
	}
	s.told[w], s.at = n, now
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

// set puts the shares of a grant in force. A resource without a share gets nothing.
func (l *limits) set(shares []*eelpb.Share) {
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

// linkUse returns how full the link to a region is.
func (x *Entry) linkUse(c *model.Catalogue) func(model.RegionID) func() float64 {
	here := c.RegionOf(x.o.Domain)
	return func(r model.RegionID) func() float64 {
		w := x.limits.get(lease.LinkResource(r, here))
		return func() float64 { return w.Utilization(x.now()) }
	}
}

// shiftMeters count what this VM dispatches under each shift cap as an owner.
type shiftMeters struct {
	l limits
}

// take counts a dispatch against the whole of the caps that bound it.
func (s *shiftMeters) take(caps []model.ShiftCap, now time.Duration) bool {
	for _, k := range caps {
		w := s.l.get(k.Name)
		w.SetLimit(k.PerSecond)
		if !w.Take(1, now) {
			return false
		}
	}
	return true
}
