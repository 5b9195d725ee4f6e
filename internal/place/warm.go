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
	warm, cold time.Duration
}

// NewServiceTime returns the estimates before any measurement: the objective of the
// route for a cold request and half of it for a warm one.
func NewServiceTime(objective time.Duration) *ServiceTime {
	return &ServiceTime{warm: objective / 2, cold: objective}
}

// Observe adds the measured time of one request.
func (s *ServiceTime) Observe(warm bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &s.cold
	if warm {
		x = &s.warm
	}
	*x += time.Duration(averageWeight * float64(took-*x))
}

// Estimate returns the expected time of a request.
func (s *ServiceTime) Estimate(warm bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if warm {
		return s.warm
	}
	return max(s.cold, s.warm)
}
