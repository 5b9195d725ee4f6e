package place

import (
	"container/list"
	"sync"
	"time"
)

const (
	// warmObjects bounds the objects that are remembered for a target.
	warmObjects = 512
	// learnPart is the weight of a new measurement in an average.
	learnPart = 0.1
)

// WarmSet remembers which objects a target has handled. It is safe for concurrent use.
type WarmSet struct {
	mu    sync.Mutex
	m     map[Key]*list.Element
	order list.List
}

// Add remembers that the target has handled an object.
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
	if len(w.m) > warmObjects {
		e := w.order.Back()
		w.order.Remove(e)
		delete(w.m, e.Value.(Key))
	}
}

// IsWarm tells whether the target has handled an object.
func (w *WarmSet) IsWarm(k Key) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.m[k]
	return ok
}

// Clear forgets all objects, as a target does that starts again.
func (w *WarmSet) Clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.m = nil
	w.order.Init()
}

// ServiceTime learns how long the requests of a route take at a target that knows the
// object and at one that does not. It is safe for concurrent use.
type ServiceTime struct {
	mu         sync.Mutex
	warm, cold time.Duration
}

// NewServiceTime returns estimates to start from: the objective of the route for a cold
// request, since nothing is known, and half of it for a warm one.
func NewServiceTime(objective time.Duration) *ServiceTime {
	return &ServiceTime{warm: objective / 2, cold: objective}
}

// Observe takes the time of one request.
func (w *ServiceTime) Observe(warm bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &w.cold
	if warm {
		x = &w.warm
	}
	*x += time.Duration(learnPart * float64(took-*x))
}

// Estimate returns the estimate for a request.
func (w *ServiceTime) Estimate(warm bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if warm {
		return w.warm
	}
	return max(w.cold, w.warm)
}
