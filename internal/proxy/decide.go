package proxy

import (
	"net/http"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// outcome is the result of one send to a target.
type outcome int

const (
	// responded: the target's complete response arrived.
	responded outcome = iota
	// notRun: the target responded that it did not run the request and never will.
	notRun
	// unreached: no byte of the request left this VM.
	unreached
	// unknown: the request was sent and no complete response arrived.
	unknown
	// timedOut: the deadline passed before the response arrived.
	timedOut
	// callerLeft: the caller has disconnected.
	callerLeft
	// refused: this VM did not send the request, for the reason given.
	refused
)

var outcomeNames = [...]string{"answered", "notRun", "unreached", "unknown", "late", "callerLeft", "refused"}

// String returns the name of the outcome in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// result describes how one send to a target ended.
type result struct {
	outcome outcome
	status  int
	header  http.Header
	body    []byte
	// reason says why there is no response.
	reason string
	// load is the load that the target reported, if hasLoad.
	load    load
	hasLoad bool
	// wrongTarget means that another target responded at the address.
	wrongTarget bool
	// leaving means that the target announced that it leaves.
	leaving bool
	// limit is the limit that the target names for all VMs, in requests per second, or 0 for none,
	// if hasLimit.
	limit    float64
	hasLimit bool
	// startedAt is when the send started.
	startedAt time.Duration
	// pause is how long the target wants no requests from this VM.
	pause time.Duration
	// aborted means that the proxy ended the send, so that the result says nothing about the
	// target.
	aborted bool
	// rerouted means that the target stopped accepting requests while this one waited.
	rerouted bool
	// queueTime is how long the request was in the queue of its target.
	queueTime time.Duration
	// took is how long the send took.
	took time.Duration
	// retryAfter is how long a refused request would have waited.
	retryAfter time.Duration
	// broke means that the connection broke before the response was complete.
	broke bool
	// connRefused means that the target refused the connection.
	connRefused bool
	// reused means that the connection had carried other requests before.
	reused bool
}

// isTargetFault reports whether the result indicates a fault of the target. A reused connection
// that breaks does not.
func (r result) isTargetFault() bool {
	if r.aborted {
		return false
	}
	return r.outcome == unreached || r.outcome == unknown && !r.reused
}

// succeeded reports whether the target ran the request successfully.
func (r result) succeeded() bool { return r.outcome == responded && !r.failed() }

// failed reports whether the target ran the request and failed it.
func (r result) failed() bool {
	return r.outcome == responded && r.status >= http.StatusInternalServerError
}

// step is the next action after a send.
type step int

const (
	// deliver returns the target's response to the caller.
	deliver step = iota
	// retry sends the request to another target.
	retry
	// refuse responds that the request has not run and never will.
	refuse
	// fail responds that the request may have run.
	fail
)

// sendState tracks the sends of a request.
type sendState struct {
	delivery model.Delivery
	// sent is the number of targets that the request was sent to, including those that did not
	// run it; the outcomes unreached and refused are not counted.
	sent int
	// possiblyRun means that a target may have run the request.
	possiblyRun bool
	// maxSends is the maximum of sent.
	maxSends int
	// tries is the number of targets tried, including unreachable ones.
	tries int
	// refusals is the number of outcomes refused, without those of rerouted requests.
	refusals  int
	remaining time.Duration
}

const (
	// maxTries is the maximum number of targets tried, reachable or not.
	maxTries = 4
	// maxRefusals is the maximum number of targets whose queues may refuse a request: if two have
	// no spare capacity, a third seldom has, and the object is cold there.
	maxRefusals = 2
	// minRemaining is the minimum time left for a send to another target, which could not respond
	// in less: two one-way delays between regions.
	minRemaining = 80 * time.Millisecond
)

// next returns the step after a send. It calls budget only if the budget is needed for a retry.
func next(r result, s sendState, budget func() bool) step {
	more := s.tries < maxTries && s.remaining > minRemaining
	switch r.outcome {
	case responded:
		if r.failed() && s.delivery == model.Idempotent && more && s.sent < s.maxSends && budget() {
			return retry
		}
		return deliver
	case unreached:
		if more {
			return retry
		}
	case refused:
		if more && s.refusals < maxRefusals {
			return retry
		}
	case notRun:
		if more && s.sent < s.maxSends && budget() {
			return retry
		}
	case unknown:
		if s.delivery == model.Idempotent && more && s.sent < s.maxSends && budget() {
			return retry
		}
	}
	if s.possiblyRun {
		return fail
	}
	return refuse
}
