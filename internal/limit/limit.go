// Package limit limits rates with sliding windows, so that a distant observer sees
// no more than the rate in any window of that length.
//
// # Usage
//
//	w := limit.NewWindow()
//	w.SetLimit(20)
//	ok := w.Take(1, now)
//
// A default window is a little longer than a second: with varying delays, events that are
// sent within one second may arrive within less.
//
// Shared is one VM's part of a limit that holds for all VMs together:
//
//	s := limit.NewShared()
//	s.Set(1.9, limit.Position{Rank: 2, VMs: 11, Domains: 6}, now)
//	if s.Reserve(now) { send(); s.Release(true, now) }
//
// Two further types limit retries to a fraction of the requests. RetryBudget is a token bucket:
// it needs no clock and keeps unused tokens, up to a maximum, until a retry takes them. Use it
// where requests of any age may pay for a retry. Ratio counts requests and retries in a sliding
// window and adds a burst that may change. Use it where only recent requests may pay.
package limit

import (
	"sync"
	"time"
)

const (
	bucketLength = 50 * time.Millisecond
	buckets      = 24
	// WindowLength is the length of a default window.
	WindowLength = bucketLength * buckets
)

// Window counts what was taken in its last buckets. It is safe for concurrent use.
type Window struct {
	mu sync.Mutex
	// bucket is the length of a bucket.
	bucket time.Duration
	limit  int64
	// reserved is the reserved amount; it may be used at any time from now on.
	reserved int64
	used     [buckets]int64
	sum      int64
	head     int64
	// demand counts what was requested, whether or not it was taken.
	demand [buckets]int64
	// demandAt is the time of the last request.
	demandAt time.Duration
}

// NewWindow returns a window of WindowLength with a limit of 0.
func NewWindow() *Window {
	return &Window{bucket: bucketLength}
}

// newWindowOver returns a window with a limit of 0 that covers at least the given time.
func newWindowOver(d time.Duration) *Window {
	return &Window{bucket: max(1, (d+buckets-2)/(buckets-1))}
}

// SetLimit sets the maximum that may be taken in a window.
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
	at := int64(now / w.bucket)
	if at-w.head >= buckets {
		w.used, w.demand, w.sum, w.head = [buckets]int64{}, [buckets]int64{}, 0, at
		return
	}
	for w.head < at {
		w.head++
		w.sum -= w.used[w.head%buckets]
		w.used[w.head%buckets], w.demand[w.head%buckets] = 0, 0
	}
}

// Take takes n if that fits into the window, and reports whether it did.
func (w *Window) Take(n int64, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fits(n, now) {
		return false
	}
	w.add(n)
	return true
}

// fits counts n as demand and reports whether it fits into the window.
func (w *Window) fits(n int64, now time.Duration) bool {
	w.advance(now)
	w.demand[w.head%buckets] += n
	w.demandAt = now
	return w.sum+w.reserved+n <= w.limit
}

// Reserve reserves n, if it fits, for a use at an unknown time, such as an answer, and
// reports whether it did. A reservation counts in every window until it is released.
func (w *Window) Reserve(n int64, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fits(n, now) {
		return false
	}
	w.reserved += n
	return true
}

// Release ends a reservation of which the used amount was used at some time until now.
func (w *Window) Release(reserved, used int64, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.reserved -= reserved
	w.add(used)
}

func (w *Window) add(n int64) {
	w.used[w.head%buckets] += n
	w.sum += n
}

// Refund returns what was taken and not used.
func (w *Window) Refund(n int64, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	i := w.head % buckets
	n = min(n, w.used[i])
	w.used[i] -= n
	w.sum -= n
}

// EffectiveLimit returns what may be used at any time from now on: the limit, or the
// reserved amount if the limit has fallen below it.
func (w *Window) EffectiveLimit() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.limit, w.reserved)
}

// Utilization returns the used fraction of the limit, from 0 to 1; it is 1 for a limit of 0.
func (w *Window) Utilization(now time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.limit <= 0 {
		return 1
	}
	return min(1, float64(w.sum+w.reserved)/float64(w.limit))
}

// demandTTL is how long after the last request the demand is at least 1.
const demandTTL = 10 * time.Second

// Demand returns what was requested in the last second, and at least 1 until
// demandTTL after the last request.
func (w *Window) Demand(now time.Duration) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	sum := int64(0)
	for i := range min(int64(time.Second/w.bucket), buckets) {
		sum += w.demand[(w.head-i+buckets)%buckets]
	}
	if sum == 0 && w.demandAt > 0 && now < w.demandAt+demandTTL {
		return 1
	}
	return sum
}

// Wait returns the time after which n may fit, at most the length of the window.
func (w *Window) Wait(n int64, now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	free := w.limit - w.sum - w.reserved
	for i := int64(1); i <= buckets; i++ {
		if free >= n {
			return time.Duration(i-1) * w.bucket
		}
		free += w.used[(w.head+i)%buckets]
	}
	return buckets * w.bucket
}

// over returns a window that covers at least the given time, with what this one holds as taken
// now, and its reservations.
func (w *Window) over(d, now time.Duration) *Window {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	n := newWindowOver(d)
	n.limit, n.reserved = w.limit, w.reserved
	n.advance(now)
	n.add(w.sum)
	return n
}

// RetryBudget limits retries to a fraction of the requests (a token bucket). It is safe for
// concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
	tokens    float64
	ratio     float64
	maxTokens float64
}

// NewRetryBudget returns a full budget that gets ratio tokens for each request, up to maxTokens.
func NewRetryBudget(ratio, maxTokens float64) *RetryBudget {
	return &RetryBudget{tokens: maxTokens, ratio: ratio, maxTokens: maxTokens}
}

// Deposit adds the tokens of one first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.ratio)
}

// Withdraw takes the token of one retry, and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Ratio limits the number of extra events to a fraction of the base events, plus a burst,
// in a sliding window. It is safe for concurrent use.
type Ratio struct {
	mu    sync.Mutex
	ratio float64
	burst float64
	width time.Duration
	base  [buckets]int64
	extra [buckets]int64
	head  int64
}

// NewRatio returns a limit of ratio times the base events of a window plus burst.
func NewRatio(ratio, burst float64, window time.Duration) *Ratio {
	return &Ratio{ratio: ratio, burst: burst, width: max(1, window/buckets)}
}

func (r *Ratio) advance(now time.Duration) {
	n := int64(now / r.width)
	for i := max(r.head+1, n-buckets+1); i <= n; i++ {
		r.base[i%buckets], r.extra[i%buckets] = 0, 0
	}
	r.head = max(r.head, n)
}

// SetBurst changes the burst.
func (r *Ratio) SetBurst(n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burst = n
}

// CountBase counts a base event.
func (r *Ratio) CountBase(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.base[r.head%buckets]++
}

// Take counts an extra event if it is within the limit, and reports whether it is.
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
	r.extra[r.head%buckets]++
	return true
}
