package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Headers names the headers that callers and targets use.
type Headers struct {
	// RequestID names one attempt of a caller; targets repeat it in their answers.
	RequestID string
	// Deadline is the time left in milliseconds.
	Deadline string
	// Object names what a request is about; requests for one object carry the same value.
	Object string
	// Digest proves that an answer is the target's own; a success has it.
	Digest string
	// WantTarget names the only target that may run the request.
	WantTarget string
	// NotRun marks an answer of a target that did not run the request.
	NotRun string
	// Load tells how many requests run and wait at a target, and its slots.
	Load string
	// Leaving says, as "1", that the target leaves and wants nothing new.
	Leaving string
	// Authorization carries the caller's key after the word Bearer (RFC 6750). It ends
	// here.
	Authorization string
	// Workspace tells a target whose request it runs.
	Workspace string
}

// DefaultHeaders is the project's own dialect.
var DefaultHeaders = Headers{
	RequestID: wire.HeaderRequestID, Deadline: wire.HeaderDeadline, Object: "Eel-Object",
	Digest: "Eel-Digest", WantTarget: "Eel-Want-Target", NotRun: wire.HeaderShed, Load: "Eel-Load", Leaving: "Eel-Leaving",
	Authorization: "Authorization", Workspace: "Eel-Workspace",
}

// load is what a target says of itself.
type load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// parseLoad reads "running,waiting,slots".
func (d Headers) parseLoad(h http.Header) (load, bool) {
	p := strings.Split(h.Get(d.Load), ",")
	if len(p) != 3 {
		return load{}, false
	}
	var n [3]int
	for i, s := range p {
		v, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || v < 0 {
			return load{}, false
		}
		n[i] = v
	}
	return load{Running: n[0], Waiting: n[1], Slots: n[2]}, true
}

const (
	leavingValue     = "1"
	headerRetryAfter = "Retry-After"
	// maxPause bounds the pause that a target may ask for.
	maxPause = 5 * time.Minute
)

// parsePause returns how long a target that refuses wants nothing: seconds, fractions
// too (RFC 9110, section 10.2.3, has whole ones). A value that is missing, cannot be
// read or is not above 0 means no pause.
func parsePause(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	s, err := strconv.ParseFloat(strings.TrimSpace(h.Get(headerRetryAfter)), 64)
	if err != nil || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, maxPause.Seconds()) * float64(time.Second))
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded returns the headers that are passed on to the other side.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopHeaders {
		out.Del(n)
	}
	out.Del("Content-Length")
	return out
}
