package entry

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// job is one request on its way.
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
	// deadline is when the answer must be there, on this process's clock.
	deadline time.Duration
	// try counts the dispatches of one attempt.
	try uint64
	// mayHaveRun says that a try ended without an answer.
	mayHaveRun bool
	// awaited says that the request has waited for a share.
	hasWaited bool
}

// atMostOnce tells whether the request needs a claim.
func (j *job) atMostOnce() bool {
	return j.cls.Delivery == model.AtMostOnce
}

// digest is over all that makes a request the same request.
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

// claimAttempt numbers the dispatches of all attempts of a request.
func (j *job) claimAttempt(try uint64) uint64 {
	return j.attempt<<tryBits | try
}

// verdictKind says how a try of a request ended.
type resultKind string

const (
	// verdictAnswered: the answer is whole.
	resultAnswered resultKind = "answered"
	// verdictRefused: the request was not dispatched by this try.
	resultRefused resultKind = "refused"
	// verdictBroken: the request may have run.
	resultBroken resultKind = "broken"
	// verdictConflict: the request id was used with another content.
	resultConflict resultKind = "conflict"
	// verdictClosed: the claim proves that this attempt never runs.
	resultClosed resultKind = "closed"
)

// verdict is how a try of a request ended, with its answer or the reason.
type tryResult struct {
	kind       resultKind
	answer     *answer
	reason     string
	retryAfter time.Duration
	target     model.TargetID
	shifted    bool
	headroom   float64
}

// answer is a target's whole answer.
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

// spareFraction is the free part of a site's slots.
func spareFraction(s *steer.Site) float64 {
	if s.Slots <= 0 {
		return 0
	}
	return max(0, 1-float64(max(s.Load, s.Gauge.Sent.Load()))/float64(s.Slots))
}
