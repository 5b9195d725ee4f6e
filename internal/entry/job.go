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
	awaited bool
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
type verdictKind string

const (
	// verdictAnswered: the answer is whole.
	verdictAnswered verdictKind = "answered"
	// verdictRefused: the request was not dispatched by this try.
	verdictRefused verdictKind = "refused"
	// verdictBroken: the request may have run.
	verdictBroken verdictKind = "broken"
	// verdictConflict: the request id was used with another content.
	verdictConflict verdictKind = "conflict"
	// verdictClosed: the claim proves that this attempt never runs.
	verdictClosed verdictKind = "closed"
)

// verdict is how a try of a request ended, with its answer or the reason.
type verdict struct {
	kind       verdictKind
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

func refused(wait time.Duration, format string, args ...any) verdict {
	return verdict{kind: verdictRefused, reason: fmt.Sprintf(format, args...), retryAfter: wait}
}

func broken(format string, args ...any) verdict {
	return verdict{kind: verdictBroken, reason: fmt.Sprintf(format, args...)}
}

func (v verdict) outcome() wire.Outcome {
	switch v.kind {
	case verdictAnswered:
		return wire.Answered
	case verdictRefused, verdictClosed, verdictConflict:
		return wire.NotRun
	}
	return wire.Unknown
}

// spare is the free part of a site's slots.
func spare(s *steer.Site) float64 {
	if s.Slots <= 0 {
		return 0
	}
	return max(0, 1-float64(max(s.Load, s.Gauge.InFlight.Load()))/float64(s.Slots))
}
