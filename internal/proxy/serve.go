package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

const (
	// defaultBodyBytes is the maximum size of a request body if the routing sets none.
	defaultBodyBytes = 64 << 20
	// maxOverrun is how much longer than the route's timeout a target may work if the caller
	// still waits: a response that is nearly ready is better than none.
	maxOverrun = 110 * time.Millisecond
	// lateResponseTimeout is how long after the deadline to wait for the target's own final
	// response.
	lateResponseTimeout = 90 * time.Millisecond
	// retryDelay is the Retry-After if no target can be used: by then announcements and routings
	// in transit have arrived.
	retryDelay = 300 * time.Millisecond
	// reasonNotAccepting is the reason for not sending a request to a target that has left, pauses,
	// or is out of service.
	reasonNotAccepting = "the target takes no more requests"
	// reasonStopping is the reason for rejecting requests before the process ends.
	reasonStopping = "this VM is stopping"
	// minRetryAfter is the Retry-After if a target has capacity, or had it until just now: two
	// one-way delays between regions.
	minRetryAfter = 50 * time.Millisecond
)

// request is one attempt of a caller that the proxy serves.
type request struct {
	r        *http.Request
	w        http.ResponseWriter
	id       string
	object   string
	start    time.Duration
	deadline time.Duration
	// overrun is how long after the deadline a target may still work on the request.
	overrun time.Duration
	body    requestBody
	route   model.Route
	access  access
	service model.ServiceID
	// key is the hash of the object, or of the request id if the request names no object.
	key         place.Key
	serviceTime *place.ServiceTime
	// retryAfter is the shortest wait at the targets that refused the request.
	retryAfter time.Duration
	// wasRefused means that a target, or the queue for it, refused the request.
	wasRefused bool
	version    model.Version
	// revision is that of the routing by which the request was matched.
	revision    model.Revision
	state       sendState
	reservation memoryReservation
	// bodyReservation is the memory reserved for the request's body.
	bodyReservation memoryReservation
	// failedResponse is a target's failure response, kept while a retry may still get a better
	// one.
	failedResponse *response
	// queueTime is the total time in queues; target, outcome and reason are those of the last
	// send.
	queueTime time.Duration
	target    model.TargetID
	outcome   outcome
	reason    string
	// digest identifies the request when it comes again, if hasDigest.
	digest    model.RequestDigest
	hasDigest bool
	// via is the VM that relayed the request, and relayedFor the VM that asked this one to relay it.
	via, relayedFor model.VMID
	// cannotRelay means that this VM refused a request that it was asked to relay, and that another
	// one may relay it.
	cannotRelay bool
	// hasNewerRouting means that it refused since its routing is newer than that of the VM that asked.
	hasNewerRouting bool
}

// response is the result that the caller gets.
type response struct {
	status     int
	header     http.Header
	body       []byte
	isLocal    bool
	retryAfter time.Duration
	// noReply means that the caller has gone and gets no response.
	noReply bool
}

func (p *Proxy) newRequest(w http.ResponseWriter, r *http.Request) *request {
	return &request{r: r, w: w, id: r.Header.Get(p.o.Headers.RequestID), object: r.Header.Get(p.o.Headers.Object), start: p.now(), reservation: memoryReservation{pool: p.responseMemory}, bodyReservation: memoryReservation{pool: p.bodyMemory}}
}

// localResponse returns a response that the proxy itself produces.
func (q *request) localResponse(status int, reason string) response {
	q.reason = reason
	return response{status: status, isLocal: true}
}

// refusal returns a response which states that the request has not run and never will, and when
// to retry.
func (q *request) refusal(reason string, in time.Duration) response {
	a := q.localResponse(http.StatusServiceUnavailable, reason)
	a.retryAfter = in
	return a
}

// handle validates and admits a request and serves it.
func (p *Proxy) handle(q *request) response {
	c := p.o.Cluster.Catalogue()
	switch {
	case c == nil || c.Routing == nil:
		return q.refusal("no routing is known yet", p.untilConfirmed(q))
	case p.refusing.Load():
		return q.refusal(reasonStopping, 0)
	case !p.hasUsableCatalogue():
		return q.refusal("the routing may be out of date", p.untilConfirmed(q))
	}
	q.version, q.revision = c.Version, c.Routing.Revision
	route, ok := c.Match(q.r.Host, q.r.URL.EscapedPath())
	if !ok {
		if !p.o.Cluster.Fresh() {
			return q.refusal("no route matches, and the routing may be out of date", retryDelay)
		}
		return q.localResponse(http.StatusNotFound, "no route matches")
	}
	if q.id == "" {
		return q.localResponse(http.StatusBadRequest, "header "+p.o.Headers.RequestID+" is missing")
	}
	q.route = route
	q.state = sendState{delivery: route.Delivery, maxSends: route.MaxAttempts}
	q.setDeadline(p.o.Headers)
	if p.isTooLate(q) {
		return q.refusal(reasonStopping, 0)
	}
	if a, ok := p.admit(q, c); !ok {
		return a
	}
	a := p.serve(q, c)
	p.refundUnrun(q)
	return a
}

// serve serves an admitted request.
func (p *Proxy) serve(q *request, c *model.Catalogue) response {
	if a, ok := q.readBody(c.Routing.Limits); !ok {
		return a
	}
	return p.process(q, c)
}

// process serves a request whose body is complete.
func (p *Proxy) process(q *request, c *model.Catalogue) response {
	done, a, ok := p.admitQuarantined(q)
	if !ok {
		return a
	}
	defer done()
	q.service = pickService(q.route.Split, q.id)
	q.serviceTime = p.estimators.get(q.route.Name, q.route.ObjectiveMillis.Duration())
	q.key = place.HashObject(q.id)
	if q.hasAffinity() {
		// A target's cache for an object depends on the operation, so each route has its own key.
		q.key = place.HashObject(string(q.route.Name), q.object)
	}
	if q.relayedFor == "" {
		p.retryBudgets.get(q.service).CountBase(p.now())
	}
	return p.send(q, c)
}

// setDeadline sets the deadline to the caller's or the route's, whichever is earlier.
func (q *request) setDeadline(d Headers) {
	wait := q.route.TimeoutMillis.Duration()
	q.overrun = maxOverrun
	if ms, err := strconv.ParseInt(q.r.Header.Get(d.Deadline), 10, 64); err == nil && ms >= 0 {
		requested := time.Duration(ms) * time.Millisecond
		q.overrun = max(0, min(maxOverrun, requested-wait))
		wait = min(wait, requested)
	}
	q.deadline = q.start + wait
}

// readBody reads the complete body, so that the request can be sent to another target.
func (q *request) readBody(l model.RequestLimits) (response, bool) {
	limit := l.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.r.ContentLength > limit {
		return q.localResponse(http.StatusRequestEntityTooLarge, "body is too large"), false
	}
	if q.r.ContentLength == 0 {
		return response{}, true
	}
	b, err := q.readBodyInTime(limit)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return q.localResponse(http.StatusRequestTimeout, "the body did not arrive before the deadline"), false
	case errors.Is(err, errTooLong):
		return q.localResponse(http.StatusRequestEntityTooLarge, "body is too large"), false
	case errors.Is(err, errNoMemory):
		return q.refusal("large bodies of other requests fill the memory that is kept for them", retryDelay), false
	case err != nil:
		q.outcome = callerLeft
		return q.localResponse(http.StatusBadRequest, "body was cut: "+err.Error()), false
	}
	q.body = b
	return response{}, true
}

// hashFraction maps a name to a number from 0 to 1, always the same for the same name.
func hashFraction(name string) float64 {
	const mantissaSteps, unusedBits = 1 << 53, 11
	return float64(place.HashObject(name)>>unusedBits) / mantissaSteps
}

// pickService chooses a service of a split by weight, always the same for the same request id.
func pickService(s []model.SplitPart, id string) model.ServiceID {
	var sum float64
	for _, p := range s {
		sum += p.Weight
	}
	x := hashFraction(id) * sum
	for _, p := range s {
		if x < p.Weight {
			return p.Service
		}
		x -= p.Weight
	}
	return s[0].Service
}

// send sends a request to one target after another until one responds or no further attempt is
// allowed.
func (p *Proxy) send(q *request, c *model.Catalogue) response {
	tried := map[model.TargetID]bool{}
	for {
		switch state := p.quarantineState(q); {
		case state == model.QuarantineBanned:
			return p.bannedResponse(q)
		case state == model.QuarantineSuspected && q.state.possiblyRun:
			return q.unknownOutcome(reasonSuspected)
		}
		if p.links.CutOff() {
			if q.relayedFor != "" {
				q.cannotRelay = true
				return p.hopRefusal(q, reasonCutOff, retryDelay)
			}
			return p.sendByHop(q)
		}
		t, spillover, ok := p.choose(q, c, tried)
		if !ok {
			p.observeNoTarget(q)
			return p.noTargetResponse(q, c)
		}
		tried[t.id] = true
		q.state.tries++
		r := p.sendTo(q, c, t, spillover)
		if r.outcome != unreached && r.outcome != refused {
			q.state.sent++
		}
		if r.outcome == refused && !r.rerouted {
			q.state.refusals++
		}
		if r.outcome == refused || r.outcome == notRun {
			if !q.wasRefused || r.retryAfter < q.retryAfter {
				q.retryAfter = r.retryAfter
			}
			q.wasRefused = true
		}
		q.queueTime += r.queueTime
		q.state.possiblyRun = q.state.possiblyRun || r.outcome == unknown || r.outcome == timedOut || r.outcome == responded
		q.state.remaining = q.deadline - p.now()
		q.target, q.outcome, q.reason = t.id, r.outcome, r.reason
		if r.outcome == callerLeft {
			return response{noReply: true}
		}
		switch next(r, q.state, func() bool { return p.acquireRetry(q.service) }) {
		case deliver:
			return response{status: r.status, header: r.header, body: r.body}
		case retry:
			p.logRetry(q, r)
			if r.outcome == responded {
				q.failedResponse = &response{status: r.status, header: r.header, body: r.body}
			}
		case refuse:
			return q.refusal("no target ran it: "+r.reason, q.retryDelay())
		case fail:
			if r.outcome == timedOut {
				return q.localResponse(http.StatusGatewayTimeout, r.reason)
			}
			return q.unknownOutcome(r.reason)
		}
	}
}

// unknownOutcome returns the response to a request that may have run: a target's failure response
// if there is one, otherwise a local one.
func (q *request) unknownOutcome(reason string) response {
	if q.failedResponse != nil {
		return *q.failedResponse
	}
	return q.localResponse(http.StatusBadGateway, reason)
}

// noTargetResponse returns the response to a request for which no further target can be used.
func (p *Proxy) noTargetResponse(q *request, c *model.Catalogue) response {
	if q.state.possiblyRun {
		return q.unknownOutcome("no further target: " + q.reason)
	}
	in := q.retryDelay()
	if d := p.shortestHold(q, c); d > in {
		// Callers that retry at the same moment would cause the next burst.
		in = d + time.Duration(float64(retryDelay)*hashFraction(q.id))
	}
	return q.refusal("no target can be used: "+q.reason, in)
}

// retryDelay returns when a refused caller may retry: when the shortest of the queues that
// refused it is expected to be empty.
func (q *request) retryDelay() time.Duration {
	if !q.wasRefused {
		return retryDelay
	}
	return max(q.retryAfter, minRetryAfter)
}

// sendTo sends a request to one target and waits for its response.
func (p *Proxy) sendTo(q *request, c *model.Catalogue, t *target, spillover bool) result {
	if q.hasLeft() {
		return result{outcome: callerLeft, reason: reasonCallerLeft}
	}
	r := p.dispatch(q.r.Context(), c, &job{
		request: q,
		method:  q.r.Method, uri: q.r.RequestURI, host: q.r.Host, id: q.id, header: q.r.Header, body: q.body,
		target: t.id, route: q.route.Name, delivery: q.route.Delivery, priority: q.priority(), access: q.access,
		objective: q.route.ObjectiveMillis.Duration(), start: q.start, deadline: q.deadline, overrun: q.overrun, key: q.key, hasAffinity: q.hasAffinity(), reservation: &q.reservation, spillover: spillover,
	}, t)
	if q.hasLeft() && r.outcome != responded {
		q.state.possiblyRun = q.state.possiblyRun || r.outcome == unknown || r.outcome == timedOut
		return result{outcome: callerLeft, reason: reasonCallerLeft}
	}
	return r
}

// burstDivisorPerVM times the number of VMs divides the burst of the retry budget. It is above 1
// since a restarted VM starts again with an unused budget.
const burstDivisorPerVM = 2

// acquireRetry takes one retry out of the service's retry budget and reports whether the budget
// allowed it.
func (p *Proxy) acquireRetry(s model.ServiceID) bool {
	b := p.retryBudgets.get(s)
	if n := p.o.Cluster.VMCount(""); n > 0 {
		b.SetBurst(p.o.Budget.Burst / float64(burstDivisorPerVM*n))
	}
	return b.Take(p.now())
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	o  BudgetOptions
	mu sync.Mutex
	m  map[model.ServiceID]*limit.Ratio
}

func (b *retryBudgets) get(s model.ServiceID) *limit.Ratio {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.m[s]
	if !ok {
		r = limit.NewRatio(b.o.Ratio, 0, b.o.Window)
		b.m[s] = r
	}
	return r
}

// finish writes the response to the caller, and records metrics and the log line.
func (p *Proxy) finish(w http.ResponseWriter, q *request, a response) {
	took := p.now() - q.start
	p.metrics.recordResponse(q, a, took)
	p.logResponse(q, a, took)
	if a.noReply {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	// The HTTP library must not add headers that the target did not send.
	h["Date"], h["Content-Type"] = nil, nil
	for k, v := range a.header {
		h[k] = v
	}
	if a.isLocal {
		h.Set(p.o.Headers.RequestID, q.id)
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		a.body = []byte(q.reason + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if bodyAllowed(a.status) && q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if !bodyAllowed(a.status) || q.r.Method == http.MethodHead {
		return
	}
	if _, err := io.Copy(w, bytes.NewReader(a.body)); err != nil {
		level.Debug(p.o.Log).Log("msg", "response delivery failed", "request", q.id, "err", err)
	}
}
