package proxy

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/twitchtv/twirp"
)

// HopHandler returns the handler for the requests that other VMs ask this one to relay. They must be
// signed with the deployment's key.
func (p *Proxy) HopHandler() http.Handler {
	return p.o.Key.Require(eelpb.NewHopServer(hopService{p}))
}

// IsHopPath reports whether an HTTP path belongs to HopHandler.
func IsHopPath(path string) bool { return strings.HasPrefix(path, eelpb.HopPathPrefix) }

type hopService struct{ p *Proxy }

// Relay sends a request of another VM's caller to targets.
func (s hopService) Relay(ctx context.Context, m *eelpb.RelayRequest) (*eelpb.RelayReply, error) {
	p := s.p
	if p.links.CutOff() || p.refusing.Load() || !p.hops.begin(model.VMID(m.Vm), p.now()) {
		return &eelpb.RelayReply{Id: m.Id, Outcome: eelpb.RelayOutcome_UNAVAILABLE, Reason: "cut off, stopping or busy"}, nil
	}
	defer p.hops.end()
	ctx, done := p.hops.track(ctx, hopCall{model.VMID(m.Vm), m.Call})
	defer done()
	p.metrics.inFlight.Add(1)
	defer p.metrics.inFlight.Add(-1)
	r := (&http.Request{
		Method: m.Method, RequestURI: m.Uri, Host: m.Host, Header: decodeHeaders(m.Headers), ContentLength: int64(len(m.Body)), Body: http.NoBody,
	}).WithContext(ctx)
	var err error
	if r.URL, err = url.ParseRequestURI(m.Uri); err != nil {
		return nil, twirp.InvalidArgumentError("uri", err.Error())
	}
	q := p.newRequest(nil, r)
	q.id, q.relayedFor = m.Id, model.VMID(m.Vm)
	defer q.reservation.release()
	defer q.bodyReservation.release()
	a := p.handleRelayed(q, m)
	p.metrics.recordResponse(q, a, p.now()-q.start)
	p.logResponse(q, a, p.now()-q.start)
	return q.relayReply(a), nil
}

// handleRelayed serves a request that another VM has admitted.
func (p *Proxy) handleRelayed(q *request, m *eelpb.RelayRequest) response {
	if len(m.Body) > 0 {
		q.body = requestBody{m.Body}
	}
	c := p.awaitRouting(q.r.Context(), m)
	switch n := q.body.len(); {
	case c == nil || c.Routing == nil || !p.hasUsableCatalogue():
		return q.relayRefusal("its routing is not known")
	case n > unreservedBytes && !q.bodyReservation.reserve(hopCopies*n):
		return q.relayRefusal("large bodies fill its memory")
	case m.Fresh && !p.o.Cluster.Fresh():
		return q.relayRefusal("its catalogue may be out of date")
	case m.RoutingRevision != nil && uint64(c.Routing.Revision) != *m.RoutingRevision:
		q.hasNewerRouting = uint64(c.Routing.Revision) > *m.RoutingRevision
		return q.relayRefusal("it has another routing")
	}
	q.version, q.revision = c.Version, c.Routing.Revision
	route, ok := c.Match(q.r.Host, q.r.URL.EscapedPath())
	if !ok {
		return q.relayRefusal("it knows no route that matches")
	}
	q.route = route
	q.access.keyRequired = c.Routing.Keyed
	if q.access.keyRequired && m.Workspace != "" {
		if q.access.workspace, q.access.authenticated = c.Workspaces.Get(model.WorkspaceID(m.Workspace)); !q.access.authenticated {
			return q.relayRefusal("it does not know the workspace")
		}
	}
	if q.access.keyRequired && !q.access.authenticated && !route.Public {
		return q.relayRefusal("it knows the route as one that needs a key")
	}
	q.state = sendState{delivery: route.Delivery, maxSends: min(route.MaxAttempts, int(m.MaxSends))}
	q.deadline = q.start + min(time.Duration(m.RemainingMs)*time.Millisecond, route.TimeoutMillis.Duration())
	q.overrun = min(maxOverrun, time.Duration(m.OverrunMs)*time.Millisecond)
	if p.isTooLate(q) {
		return q.relayRefusal(reasonStopping)
	}
	return p.process(q, c)
}

// awaitRouting returns the catalogue, once it has the routing by which the request was admitted: by an older one the
// asking VM's callers would see requests handled by turns as the newer and the older one demand.
func (p *Proxy) awaitRouting(ctx context.Context, m *eelpb.RelayRequest) *model.Catalogue {
	until := p.now() + min(maxRoutingWait, time.Duration(m.RemainingMs)*time.Millisecond/2)
	for {
		c := p.o.Cluster.Catalogue()
		if c == nil || c.Routing == nil || m.RoutingRevision == nil || uint64(c.Routing.Revision) >= *m.RoutingRevision || p.now() >= until {
			return c
		}
		select {
		case <-ctx.Done():
			return c
		case <-time.After(routingPoll):
		}
	}
}

// relayRefusal refuses a request that another VM may relay.
func (q *request) relayRefusal(reason string) response {
	q.cannotRelay = true
	return q.refusal("the VM that relays: "+reason, retryDelay)
}

// relayReply returns the outcome of a relayed request for the VM that asked.
func (q *request) relayReply(a response) *eelpb.RelayReply {
	r := &eelpb.RelayReply{Id: q.id, Target: string(q.target), Reason: q.reason, Sent: uint32(q.state.sent)}
	switch {
	case !a.isLocal && !a.noReply && len(a.body) > maxRelayedResponse:
		r.Reason = "the response is too large to be relayed"
	case !a.isLocal && !a.noReply && len(a.body) > unreservedBytes && !q.reservation.reserve(int64(len(a.body))):
		r.Reason = "large responses fill the memory of the VM that relays"
	case !a.isLocal && !a.noReply:
		r.Outcome, r.Status, r.Headers, r.Body = eelpb.RelayOutcome_RESPONDED, int32(a.status), encodeHeaders(a.header), a.body
	case a.isLocal && a.status == http.StatusServiceUnavailable:
		r.Outcome, r.RetryAfterMs = eelpb.RelayOutcome_REFUSED, a.retryAfter.Milliseconds()
		if q.cannotRelay {
			r.Outcome, r.Newer = eelpb.RelayOutcome_UNAVAILABLE, q.hasNewerRouting
		}
	case a.noReply && !q.state.possiblyRun:
		r.Outcome = eelpb.RelayOutcome_REFUSED
	case a.isLocal && a.status == http.StatusGatewayTimeout:
		r.Outcome = eelpb.RelayOutcome_LATE
	}
	return r
}

// begin counts a request that is relayed for a VM, and reports whether it may be.
func (h *hops) begin(vm model.VMID, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked[vm] = now
	if h.relayed >= maxRelayed {
		return false
	}
	h.relayed++
	h.counts.Relayed++
	return true
}

func (h *hops) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.relayed--
}

// askers returns the number of VMs that asked to relay lately.
func (h *hops) askers(now time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, at := range h.asked {
		if now-at > relayedTTL {
			delete(h.asked, vm)
		}
	}
	return len(h.asked)
}
