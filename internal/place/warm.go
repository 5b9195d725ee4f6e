package place

import (
	"container/list"
	"sync"
	"time"
)

const (
	// maxWarmObjects bounds the objects that are remembered for a target.
	maxWarmObjects = 512
	// averageWeight is the weight of a new measurement in a moving average.
	averageWeight = 0.1
)

// WarmSet is an LRU set of the objects that a target has handled. It is safe for concurrent use.
type WarmSet struct {
	mu    sync.Mutex
	m     map[Key]*list.Element
	order list.List
}

// Add records that the target has handled an object.
func (w *WarmSet) Add(k Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.m == nil {
		w.m = map[Key]*list.Element{}
	}
	if e, ok := w.m[k]; ok {
		w.order.MoveToFront(e)
		return
	}
	w.m[k] = w.order.PushFront(k)
	if len(w.m) > maxWarmObjects {
		e := w.order.Back()
		w.order.Remove(e)
		delete(w.m, e.Value.(Key))
	}
}

// IsWarm reports whether the target has handled an object.
func (w *WarmSet) IsWarm(k Key) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.m[k]
	return ok
}

// Clear removes all objects, because a target that restarts is cold.
func (w *WarmSet) Clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.m = nil
	w.order.Init()
}

// ServiceTime estimates how long the requests of a route take at a target that is
// warm for the object and at one that is cold. It is safe for concurrent use.
type ServiceTime struct {
	mu         sync.Mutex
	warm, cold estimate
}

// estimate is a moving average of measurements.
type estimate struct {
	mean  time.Duration
	trial trial
}

// NewServiceTime returns the estimates before any measurement: the objective of the
// route for a cold request and half of it for a warm one.
func NewServiceTime(objective time.Duration) *ServiceTime {
	return &ServiceTime{warm: estimate{mean: objective / 2}, cold: estimate{mean: objective}}
}

// of returns the estimate for a warm or for a cold request; the caller holds the lock.
func (s *ServiceTime) of(warm bool) *estimate {
	if warm {
		return &s.warm
	}
	return &s.cold
}

// Observe adds the measured time of one request that ended at now.
func (s *ServiceTime) Observe(warm bool, took, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.of(warm)
	x.mean += time.Duration(averageWeight * float64(took-x.mean))
	x.trial.measured(now)
}

// Estimate returns the expected time of a request.
func (s *ServiceTime) Estimate(warm bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if warm {
		return s.warm.mean
	}
	return max(s.cold.mean, s.warm.mean)
}

// StartTrial reports whether a request may be sent although its estimate says that it would be
// late: if the estimate has had no measurement for a while, and no other trial is in progress. A
// trial must be ended by EndTrial.
func (s *ServiceTime) StartTrial(warm bool, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of(warm).trial.start(now)
}

// TrialResult is the result of a trial.
type TrialResult int

// The results of a trial.
const (
	// TrialServed: the target served the request.
	TrialServed TrialResult = iota
	// TrialFailed: the request was sent and not served.
	TrialFailed
	// TrialNotSent: the request was not sent.
	TrialNotSent
)

// EndTrial ends a trial. If it was served faster than estimated, its time becomes the estimate: the
// measurements before it are from a time when targets were slower. A cold request takes at least
// as long as a warm one.
func (s *ServiceTime) EndTrial(warm bool, r TrialResult, took, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.of(warm)
	switch r {
	case TrialServed:
		x.trial.running = false
		x.trial.measured(now)
		x.mean = min(x.mean, took)
		s.warm.mean = min(s.warm.mean, took)
	case TrialFailed:
		x.trial.fail(now)
	case TrialNotSent:
		x.trial.running = false
	}
}
