package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Headers holds the names of the headers that callers and targets use.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets repeat it in their responses.
	RequestID string
	// Deadline is the remaining time in milliseconds.
	Deadline string
	// Object identifies what a request is about; requests for the same object carry the same
	// value.
	Object string
	// Digest proves that the target itself produced the response; each success has it.
	Digest string
	// WantTarget names the only target that may run the request.
	WantTarget string
	// NotRun marks the response of a target that did not run the request.
	NotRun string
	// Load is the number of requests running and waiting at a target, and its slots.
	Load string
	// Leaving, with value "1", means that the target leaves and accepts no new requests.
	Leaving string
	// Limit is the number of requests per second, a decimal number, that the target accepts from all
	// VMs together; a response without it means that there is no limit.
	Limit string
	// Authorization carries the caller's key after the word Bearer (RFC 6750). It is not
	// forwarded.
	Authorization string
	// Workspace tells a target whose request it runs.
	Workspace string
}

// DefaultHeaders are the project's own header names.
var DefaultHeaders = Headers{
	RequestID: wire.HeaderRequestID, Deadline: wire.HeaderDeadline, Object: "Eel-Object",
	Digest: "Eel-Digest", WantTarget: "Eel-Want-Target", NotRun: wire.HeaderShed, Load: "Eel-Load", Leaving: "Eel-Leaving", Limit: "Eel-Limit",
	Authorization: "Authorization", Workspace: "Eel-Workspace",
}

// maxReportedLoad bounds the numbers of a load report, so that sums and waits that are derived from
// them do not overflow.
const maxReportedLoad = 1_000_000

// load is the load that a target reports.
type load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// parseLoad parses "running,waiting,slots".
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
		n[i] = min(v, maxReportedLoad)
	}
	return load{Running: n[0], Waiting: n[1], Slots: n[2]}, true
}

const (
	leavingValue     = "1"
	headerRetryAfter = "Retry-After"
	// maxPause is the maximum pause that a target may ask for.
	maxPause = 5 * time.Minute
)

// parsePause returns how long a target that refuses a request wants no more requests. The value
// is in seconds and may have a fraction (RFC 9110, section 10.2.3, allows whole seconds only). A
// value that is missing, malformed or not above 0 means no pause.
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

// parseLimit returns the limit that a response names, or 0 if it names none. A malformed limit says
// nothing: ok is false.
func (d Headers) parseLimit(h http.Header) (perSecond float64, ok bool) {
	v := strings.TrimSpace(h.Get(d.Limit))
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, false
	}
	return min(max(n, minNamedLimit), maxNamedLimit), true
}

const (
	// minNamedLimit stands for limits that are lower, or 0: a target that gets no request at all
	// could not take its limit back.
	minNamedLimit = 0.001
	maxNamedLimit = 1e6
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the headers that are forwarded to the other side.
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
