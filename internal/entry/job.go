package entry

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// job is one request in progress.
type job struct {
	id          model.RequestID
	attempt     uint64
	service     model.ServiceID
	cls         model.Class
	method      string
	path        string
	contentType string
	body        []byte
	home        model.RegionID
	policy      model.Policy
	// deadline is when the answer must have arrived, on this process's clock.
	deadline time.Duration
	// try counts the dispatches of one attempt.
	try uint64
	// mayHaveRun is set when a try ended without an answer after its dispatch.
	mayHaveRun bool
	// hasWaited is set when the request has waited for a larger share.
	hasWaited bool
}

// atMostOnce reports whether the request runs at most once, and so needs a claim.
func (j *job) atMostOnce() bool {
	return j.cls.Delivery == model.AtMostOnce
}

// digest returns a hash of everything by which two requests with the same id must agree.
func (j *job) digest() []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n%s\n%s\n", j.service, j.cls.Name, j.method, j.path, j.contentType)
	h.Write(j.body)
	return h.Sum(nil)
}

const (
	tryBits = 16
	lastTry = 1<<tryBits - 1
)

// claimAttempt returns the number of a try among the tries of all attempts of a request.
func (j *job) claimAttempt(try uint64) uint64 {
	return j.attempt<<tryBits | try
}

// resultKind is how a try of a request ended.
type resultKind string

const (
	// resultAnswered: the whole answer arrived.
	resultAnswered resultKind = "answered"
	// resultRefused: this try did not dispatch the request.
	resultRefused resultKind = "refused"
	// resultBroken: the request may have run.
	resultBroken resultKind = "broken"
	// resultConflict: the request id was used before with another content.
	resultConflict resultKind = "conflict"
	// resultClosed: the claim is closed, so this attempt never runs.
	resultClosed resultKind = "closed"
)

// tryResult is the result of a try of a request: its answer, or the reason why there is none.
type tryResult struct {
	kind       resultKind
	answer     *answer
	reason     string
	retryAfter time.Duration
	target     model.TargetID
	shifted    bool
	headroom   float64
}

// answer is the whole answer of a target.
type answer struct {
	status      int
	contentType string
	body        []byte
}

func refused(wait time.Duration, format string, args ...any) tryResult {
	return tryResult{kind: resultRefused, reason: fmt.Sprintf(format, args...), retryAfter: wait}
}

func broken(format string, args ...any) tryResult {
	return tryResult{kind: resultBroken, reason: fmt.Sprintf(format, args...)}
}

func (v tryResult) outcome() wire.Outcome {
	switch v.kind {
	case resultAnswered:
		return wire.Answered
	case resultRefused, resultClosed, resultConflict:
		return wire.NotRun
	}
	return wire.Unknown
}

// spareFraction returns the free fraction of a site's slots, from 0 to 1.
func spareFraction(s *steer.Site) float64 {
	if s.Slots <= 0 {
		return 0
	}
	return max(0, 1-float64(max(s.Load, s.Gauge.InFlight.Load()))/float64(s.Slots))
}
