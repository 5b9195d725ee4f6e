package proxy

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
)

// A VM that is cut off from all targets relays its callers' requests through another VM. The request
// is admitted once, by the VM that the caller is connected to; the other one chooses targets and
// sends it. There is one hop at most: a VM that is cut off itself relays for nobody.

const (
	// maxRelayedBody and maxRelayedResponse are the largest bodies that are relayed, in bytes: a hop
	// holds them twice.
	maxRelayedBody     = 4 << 20
	maxRelayedResponse = 16 << 20
	// hopCopies is the number of copies of a body that a VM holds while the request passes a hop.
	hopCopies = 3
	// maxRelayed is the maximum number of concurrent requests that a VM relays for others.
	maxRelayed = 256
	// maxHopTries is the number of VMs that one request is sent to.
	maxHopTries = 3
	// maxRoutingWait is how long a VM waits for the routing by which it is asked to relay a request.
	maxRoutingWait = 300 * time.Millisecond
	routingPoll    = 20 * time.Millisecond
	// helperPause is how long a VM that could not relay is left out, and noHopPause that for one whose
	// build cannot relay.
	helperPause = time.Second
	noHopPause  = 30 * time.Second
	// hopMargin is how much longer than the other VM a VM waits for the outcome.
	hopMargin = 100 * time.Millisecond
	// relayedTTL is how long a VM that asked to relay counts as one that uses no part of its own of
	// the targets' slots.
	relayedTTL = 2 * time.Second
	// maxHopIdleConns is the number of idle connections to each VM.
	maxHopIdleConns = 64
	// The penalties for distance, in requests in flight at a VM.
	sameRegionPenalty  = 2
	otherRegionPenalty = 8

	reasonCutOff = "this VM has no links to targets"
	// reasonNoHelper is the reason for refusing a request that no other VM could relay.
	reasonNoHelper = reasonCutOff + ", and no other VM could relay the request"
)

// HopOptions configures the hop through other VMs.
type HopOptions struct {
	// Dial connects to other VMs; without it there is no hop.
	Dial setup.Dialer
	// Self is the name of this VM.
	Self model.VMID
}

// hops holds the state of the hop, on both sides.
type hops struct {
	client *http.Client

	mu sync.Mutex
	// inFlight is the number of requests that each VM relays for this one, pausedUntil until when one
	// is left out.
	inFlight    map[model.VMID]int
	pausedUntil map[model.VMID]time.Duration
	// relayed is the number of requests that this VM relays for others, and asked when each of these
	// last asked.
	relayed int
	asked   map[model.VMID]time.Duration
	// calls cancels the requests that this VM relays.
	calls  map[hopCall]context.CancelFunc
	counts HopCounts
}

// HopCounts counts relayed requests.
type HopCounts struct {
	// Sent is the number of requests that other VMs were asked to relay, Unavailable that of the
	// answers that they could not.
	Sent        int64 `json:"sent"`
	Unavailable int64 `json:"unavailable"`
	// Relayed is the number of requests that this VM relayed for others, Cancelled that of those whose
	// caller left meanwhile.
	Relayed   int64 `json:"relayed"`
	Cancelled int64 `json:"cancelled"`
}

func newHops(o Options) *hops {
	h := &hops{
		inFlight: map[model.VMID]int{}, pausedUntil: map[model.VMID]time.Duration{}, asked: map[model.VMID]time.Duration{},
		calls: map[hopCall]context.CancelFunc{},
	}
	if o.Hop.Dial != nil && o.Key != nil {
		h.client = &http.Client{Transport: o.Key.Transport(&http.Transport{
			DialContext: o.Hop.Dial, DisableCompression: true, MaxIdleConnsPerHost: maxHopIdleConns, IdleConnTimeout: time.Minute,
			MaxResponseHeaderBytes: maxHeadBytes,
		})}
	}
	return h
}

// canRelay reports whether requests can be relayed through other VMs.
func (p *Proxy) canRelay() bool { return p.hops.client != nil }

// acquireHelper returns a VM that may relay a request, and counts the request there.
func (p *Proxy) acquireHelper(q *request, tried map[model.VMID]bool) (wire.Entry, bool) {
	c := p.o.Cluster.Catalogue()
	home := c.RegionOf(p.o.Domain)
	list := p.o.Cluster.Entries(home)
	h, now := p.hops, p.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var best wire.Entry
	lowest := math.MaxInt
	// VMs that are cut off together begin with different ones.
	first := rand.IntN(len(list) + 1)
	for i := range list {
		x := list[(first+i)%len(list)]
		// The body of a request with homes is not sent to a VM elsewhere.
		if x.ID == p.o.Hop.Self || tried[x.ID] || now < h.pausedUntil[x.ID] || !q.isAllowedIn(x.Region) {
			continue
		}
		cost := h.inFlight[x.ID]
		switch {
		case x.FailureDomain == p.o.Domain:
		case x.Region == home:
			cost += sameRegionPenalty
		default:
			cost += otherRegionPenalty
		}
		if cost < lowest {
			best, lowest = x, cost
		}
	}
	if lowest == math.MaxInt {
		return wire.Entry{}, false
	}
	h.inFlight[best.ID]++
	h.counts.Sent++
	return best, true
}

func (h *hops) release(id model.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[id]--; h.inFlight[id] <= 0 {
		delete(h.inFlight, id)
	}
}

// pause leaves a VM out for a while.
func (h *hops) pause(id model.VMID, until time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Unavailable++
	h.pausedUntil[id] = until
}

// sendByHop sends a request through another VM and returns the response to the caller.
func (p *Proxy) sendByHop(q *request) response {
	if n := q.body.len(); n > maxRelayedBody || n > unreservedBytes && !q.bodyReservation.reserve(hopCopies*n) {
		return p.hopRefusal(q, reasonCutOff+", and the body is too large to be relayed now", retryDelay)
	}
	for tried := map[model.VMID]bool{}; len(tried) < maxHopTries; {
		q.state.remaining = q.deadline - p.now()
		if q.state.remaining <= 0 {
			break
		}
		if q.hasLeft() {
			q.outcome, q.reason = callerLeft, reasonCallerLeft
			return response{noReply: true}
		}
		x, ok := p.acquireHelper(q, tried)
		if !ok {
			break
		}
		tried[x.ID] = true
		r, err := p.askRelay(q, x)
		p.hops.release(x.ID)
		if q.hasLeft() && r.GetOutcome() != eelpb.RelayOutcome_RESPONDED {
			q.state.possiblyRun = q.state.possiblyRun || mayHaveRun(r, err)
			q.outcome, q.reason = callerLeft, reasonCallerLeft
			return response{noReply: true}
		}
		q.via = x.ID
		switch {
		case err == nil && r.Outcome != eelpb.RelayOutcome_UNAVAILABLE:
			return p.hopResponse(q, r)
		case err == nil && r.Newer:
			// It can relay again once this VM has the routing too.
			q.state.sent += int(r.Sent)
		case err == nil:
			q.state.sent += int(r.Sent)
			p.hops.pause(x.ID, p.now()+helperPause)
		case isNotSent(err):
			p.hops.pause(x.ID, p.now()+helperPause)
		case isUnsupported(err):
			p.hops.pause(x.ID, p.now()+noHopPause)
		case errors.Is(err, errNoMemory) || errors.Is(err, errTooLong):
			q.state.possiblyRun, q.outcome = true, unknown
			return q.unknownOutcome("reply of " + string(x.ID) + ", which relayed the request: " + err.Error())
		case errors.Is(err, context.DeadlineExceeded):
			p.hops.pause(x.ID, p.now()+helperPause)
			q.state.possiblyRun, q.outcome = true, timedOut
			return q.localResponse(http.StatusGatewayTimeout, "no outcome from "+string(x.ID)+", which relayed the request, before the deadline")
		default:
			p.hops.pause(x.ID, p.now()+helperPause)
			q.state.possiblyRun = true
			q.state.sent++
			q.outcome, q.reason = unknown, "relay by "+string(x.ID)+" broke: "+err.Error()
			if q.state.delivery != model.Idempotent || q.state.sent >= q.state.maxSends || !p.acquireRetry(q.service) {
				return q.unknownOutcome(q.reason)
			}
		}
		level.Info(p.o.Log).Log("msg", "relay failed", "request", q.id, "via", x.ID, "outcome", r.GetOutcome(), "reason", r.GetReason(), "err", err)
	}
	return p.hopRefusal(q, reasonNoHelper, retryDelay)
}

// hopRefusal refuses a request that was not relayed, unless an earlier send may have run.
func (p *Proxy) hopRefusal(q *request, reason string, in time.Duration) response {
	if q.state.possiblyRun {
		return q.unknownOutcome(reason)
	}
	q.outcome = refused
	return q.refusal(reason, in)
}

// hopClient is an HTTP client whose response bodies take memory from a reservation, since the Twirp client reads them
// whole.
type hopClient struct {
	c *http.Client
	h *memoryReservation
}

// Do sends a request.
func (x hopClient) Do(r *http.Request) (*http.Response, error) {
	a, err := x.c.Do(r)
	if err != nil {
		return nil, err
	}
	a.Body = &reservedBody{ReadCloser: a.Body, h: x.h, covered: unreservedBytes}
	return a, nil
}

// reservedBody is a response body of limited size whose reader keeps replyCopies of what it reads.
type reservedBody struct {
	io.ReadCloser
	h *memoryReservation
	// n is the number of bytes read, of which covered need no further reservation.
	n, covered int64
}

// replyCopies is the number of copies of a reply that a VM holds while it decodes it.
const replyCopies = 2

// Read reads what there is memory for.
func (b *reservedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.n += int64(n); b.n > maxRelayedResponse+maxHeadBytes {
		return n, errTooLong
	}
	if b.n > b.covered {
		if !b.h.reserve(replyCopies * b.covered) {
			return n, errNoMemory
		}
		b.covered *= 2
	}
	return n, err
}

// isNotSent reports whether a call failed before any byte of it was sent.
func isNotSent(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// isUnsupported reports whether a VM rejected a call without reading the request in it: an earlier
// build has no such call.
func isUnsupported(err error) bool {
	var t twirp.Error
	if !errors.As(err, &t) {
		return false
	}
	return t.Code() == twirp.BadRoute || t.Code() == twirp.Unauthenticated
}

// hopResponse converts the reply of a VM that relayed a request.
func (p *Proxy) hopResponse(q *request, r *eelpb.RelayReply) response {
	q.state.sent += int(r.Sent)
	q.target, q.reason = model.TargetID(r.Target), r.Reason
	switch r.Outcome {
	case eelpb.RelayOutcome_RESPONDED:
		q.outcome, q.state.possiblyRun = responded, true
		h := decodeHeaders(r.Headers)
		p.applyAnnouncements(q, int(r.Status), h)
		return response{status: int(r.Status), header: h, body: r.Body}
	case eelpb.RelayOutcome_REFUSED:
		return p.hopRefusal(q, r.Reason, max(minRetryAfter, time.Duration(r.RetryAfterMs)*time.Millisecond))
	case eelpb.RelayOutcome_LATE:
		q.outcome, q.state.possiblyRun = timedOut, true
		return q.localResponse(http.StatusGatewayTimeout, r.Reason)
	}
	q.outcome, q.state.possiblyRun = unknown, true
	return q.unknownOutcome(r.Reason)
}

// applyAnnouncements applies what a target announced of itself in a response that another VM relayed.
// It binds this VM too, which passes the response on.
func (p *Proxy) applyAnnouncements(q *request, status int, h http.Header) {
	t := p.registry.get(q.target)
	if t == nil {
		return
	}
	r := result{outcome: responded, status: status, startedAt: p.now(), leaving: h.Get(p.o.Headers.Leaving) == leavingValue, pause: parsePause(status, h)}
	r.limit, r.hasLimit = p.o.Headers.parseLimit(h)
	r.hasLimit = r.hasLimit && r.limit > 0
	t.mu.Lock()
	event := t.updateAvailability(r, p.now())
	t.mu.Unlock()
	if event != "" {
		t.dispatcher.rerouteWaiting()
	}
}

func encodeHeaders(h http.Header) []*eelpb.HTTPHeader {
	out := make([]*eelpb.HTTPHeader, 0, len(h))
	for k, v := range h {
		out = append(out, &eelpb.HTTPHeader{Name: k, Values: v})
	}
	return out
}

func decodeHeaders(list []*eelpb.HTTPHeader) http.Header {
	h := make(http.Header, len(list))
	for _, x := range list {
		h[x.Name] = x.Values
	}
	return h
}

func (h *hops) snapshot() HopCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts
}
