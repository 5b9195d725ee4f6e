package place

import "time"

const (
	// trialInterval is how long an estimate must have had no measurement before a request is sent
	// against it. It doubles with each such request that is not served, up to maxTrialInterval.
	trialInterval    = time.Second
	maxTrialInterval = 4 * time.Second
)

// trial limits the requests that are sent although an estimate says that they would be late. An
// estimate that only a served request corrects could otherwise refuse all of them for good. It is the
// half-open state of a circuit breaker (Nygard, "Release It!", 2nd edition, 2018). The
// owner's lock guards it.
type trial struct {
	running  bool
	failures int
	// notBefore is when the next trial may start.
	notBefore time.Duration
}

// start reports whether a trial may start now, and starts it.
func (x *trial) start(now time.Duration) bool {
	if x.running || now < x.notBefore {
		return false
	}
	x.running = true
	return true
}

// measured records a measurement, which makes trials unnecessary for a while.
func (x *trial) measured(now time.Duration) {
	x.failures, x.notBefore = 0, now+trialInterval
}

// fail ends a trial that was sent and not served.
func (x *trial) fail(now time.Duration) {
	x.running = false
	x.notBefore = now + min(maxTrialInterval, trialInterval<<min(x.failures, 8))
	x.failures++
}
