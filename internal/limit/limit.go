// Package limit counts what is used of a rate in a sliding window, so that no
// window of one second at a distant observer sees more than the rate.
//
// # Usage
//
//	w := limit.NewWindow()
//	w.SetLimit(20, now)
//	ok := w.Take(1, now)
//
// A window is a little longer than a second: what leaves within one second may
// arrive within less where delays vary.
package limit

import (
	"sync"
	"time"
)

const (
	slotLength = 50 * time.Millisecond
	slots      = 24
	// WindowLength is the length of a window.
	WindowLength = slotLength * slots
)

// Window counts what was taken in the last Length. It is safe for concurrent use.
type Window struct {
	mu    sync.Mutex
	limit int64
	// held is what may be used at any moment from now on.
	held int64
	used [slots]int64
	sum  int64
	head int64
	// asked counts what was asked for, whether or not it was taken.
	asked [slots]int64
	// askedAt is when anything was asked for last.
	askedAt time.Duration
}

// NewWindow returns a window with a limit of 0.
func NewWindow() *Window {
	return &Window{}
}

// SetLimit sets the most that may be taken in a window.
func (w *Window) SetLimit(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = n
}

// Limit returns the limit.
func (w *Window) Limit() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limit
}

func (w *Window) advance(now time.Duration) {
	at := int64(now / slotLength)
	if at-w.head >= slots {
		w.used, w.asked, w.sum, w.head = [slots]int64{}, [slots]int64{}, 0, at
		return
	}
	for w.head < at {
		w.head++
		w.sum -= w.used[w.head%slots]
		w.used[w.head%slots], w.asked[w.head%slots] = 0, 0
	}
}

// Take takes n if the window has room for it.
func (w *Window) Take(n int64, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fits(n, now) {
		return false
	}
	w.add(n)
	return true
}

// fits counts what is asked for, and tells whether there is room for it.
func (w *Window) fits(n int64, now time.Duration) bool {
	w.advance(now)
	w.asked[w.head%slots] += n
	w.askedAt = now
	return w.sum+w.held+n <= w.limit
}

// Reserve reserves n for something whose time is not known, such as an answer: it
// counts in every window until it is released.
func (w *Window) Reserve(n int64, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fits(n, now) {
		return false
	}
	w.held += n
	return true
}

// Release ends a hold, of which a part was used at some time until now.
func (w *Window) Release(held, used int64, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.held -= held
	w.add(used)
}

func (w *Window) add(n int64) {
	w.used[w.head%slots] += n
	w.sum += n
}

// Refund gives back what was taken and not used.
func (w *Window) Refund(n int64, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	i := w.head % slots
	n = min(n, w.used[i])
	w.used[i] -= n
	w.sum -= n
}

// EffectiveLimit returns what may be used at any moment from now on: the limit, or
// what is held where the limit has fallen below that.
func (w *Window) EffectiveLimit() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.limit, w.held)
}

// Utilization returns the used part of the limit, from 0 to 1; a limit of 0 is full.
func (w *Window) Utilization(now time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.limit <= 0 {
		return 1
	}
	return min(1, float64(w.sum+w.held)/float64(w.limit))
}

const (
	// slotsPerSecond is how many slots make a second.
	slotsPerSecond = int64(time.Second / slotLength)
	// demandMemory is how long after the last of it there is some demand.
	demandMemory = 10 * time.Second
)

// Demand returns what was asked for in the last second, and at least 1 for some
// time after that.
func (w *Window) Demand(now time.Duration) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	sum := int64(0)
	for i := range slotsPerSecond {
		sum += w.asked[(w.head-i+slots)%slots]
	}
	if sum == 0 && w.askedAt > 0 && now < w.askedAt+demandMemory {
		return 1
	}
	return sum
}

// Wait returns after how long n may fit, at most Length.
func (w *Window) Wait(n int64, now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	free := w.limit - w.sum - w.held
	for i := int64(1); i <= slots; i++ {
		if free >= n {
			return time.Duration(i-1) * slotLength
		}
		free += w.used[(w.head+i)%slots]
	}
	return WindowLength
}

// RetryBudget bounds retries to a part of the requests (a token bucket).
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	most   float64
}

// NewRetryBudget returns a budget that earns ratio of a retry for each request and saves up to most.
func NewRetryBudget(ratio, most float64) *RetryBudget {
	return &RetryBudget{tokens: most, ratio: ratio, most: most}
}

// Deposit counts one first try.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.most, b.tokens+b.ratio)
}

// Withdraw takes one retry if there is one.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Ratio bounds events to a part of others, both counted in a sliding window,
// with a burst on top. It is safe for concurrent use.
type Ratio struct {
	mu    sync.Mutex
	ratio float64
	burst float64
	slot  time.Duration
	base  [slots]int64
	extra [slots]int64
	head  int64
}

// NewRatio returns a bound of ratio times the base events in a window, and burst more.
func NewRatio(ratio, burst float64, window time.Duration) *Ratio {
	return &Ratio{ratio: ratio, burst: burst, slot: max(1, window/slots)}
}

func (r *Ratio) advance(now time.Duration) {
	n := int64(now / r.slot)
	for i := max(r.head+1, n-slots+1); i <= n; i++ {
		r.base[i%slots], r.extra[i%slots] = 0, 0
	}
	r.head = max(r.head, n)
}

// SetBurst changes the burst.
func (r *Ratio) SetBurst(n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burst = n
}

// CountBase counts an event that earns.
func (r *Ratio) CountBase(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.base[r.head%slots]++
}

// Take counts an event that is bounded, and tells whether it fits.
func (r *Ratio) Take(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	var base, extra int64
	for i := range r.base {
		base += r.base[i]
		extra += r.extra[i]
	}
	if float64(extra+1) > r.ratio*float64(base)+r.burst {
		return false
	}
	r.extra[r.head%slots]++
	return true
}
