package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// keyScheme goes before a key; its letter case does not matter (RFC 9110, section 11.1).
	keyScheme = "Bearer"
	// maxKeyBytes bounds the keys that are looked up.
	maxKeyBytes = 4 << 10
	// reasonKeysStale is why a request with a good key is refused.
	reasonKeysStale = "the keys may be out of date"
	// clockDriftDivisor divides a time to give what clocks may drift apart in it.
	clockDriftDivisor = 50
)

// access is what a request's key says of it.
type access struct {
	// guarded says that the routing asks for keys, so that they go no further.
	keyRequired bool
	// authenticated says that the key is that of the workspace.
	authenticated bool
	workspace     model.Workspace
	// chargedAt is when the request was charged out of the allowance, where charged.
	charged   bool
	chargedAt time.Duration
}

// mark puts the workspace in place of the caller's key, whatever the caller says that
// its workspace is.
func (a access) setHeaders(h http.Header, d Headers) {
	if !a.keyRequired {
		return
	}
	h.Del(d.Authorization)
	h.Del(d.Workspace)
	if a.authenticated {
		h.Set(d.Workspace, string(a.workspace.Name))
	}
}

// bearerKey returns the key that a request carries, or why there is none.
func bearerKey(values []string) (key, why string) {
	switch len(values) {
	case 0:
		return "", "a key is missing"
	case 1:
	default:
		return "", "there is more than one key"
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimLeft(key, " ")
	switch {
	case !strings.EqualFold(scheme, keyScheme):
		return "", "the key does not come as " + keyScheme
	case key == "":
		return "", "the key is empty"
	case len(key) > maxKeyBytes:
		return "", "the key is too long"
	}
	return key, ""
}

// admit finds out whose request it is, and takes it out of the workspace's allowance.
func (p *Proxy) admit(q *request, c *model.Catalogue) (response, bool) {
	if !c.Routing.Keyed {
		return response{}, true
	}
	q.access.keyRequired = true
	key, why := bearerKey(q.r.Header.Values(p.o.Headers.Authorization))
	if why == "" {
		q.access.workspace, q.access.authenticated = c.Workspaces.Of(model.DigestOf(key))
		if !q.access.authenticated {
			why = "the key is not known"
		}
	}
	switch {
	case !q.access.authenticated && q.route.Public:
		return response{}, true
	case !q.access.authenticated && !p.o.Cluster.Fresh():
		return q.refusal(why+", and the keys may be out of date", p.untilConfirmed(q)), false
	case !q.access.authenticated:
		return q.localResponse(http.StatusUnauthorized, why), false
	case !p.areKeysValid():
		return q.refusal(reasonKeysStale, p.untilConfirmed(q)), false
	}
	a := p.o.Allowances
	if a == nil {
		return response{}, true
	}
	if !a.Allow(q.r.Context(), q.access.workspace) {
		return q.allowanceExceeded(a.AllowedFraction(q.access.workspace.Name), p.o.AllowanceWindow), false
	}
	q.access.charged, q.access.chargedAt = true, p.now()
	return response{}, true
}

// areKeysValid tells whether the keys of the catalogue may still be used: a withdrawal
// that this VM has not heard of must not be older than that.
func (p *Proxy) areKeysValid() bool {
	if p.o.KeyLife == 0 {
		return true
	}
	ago, ok := p.o.Cluster.ConfirmationAge()
	return ok && ago < p.o.KeyLife-p.o.KeyLife/clockDriftDivisor
}

const (
	// firstConfirmationTime is how long after its start a VM usually has its first proof where the
	// replicas have started too: an election and a renewal.
	firstConfirmationTime = 2 * time.Second
	// retrySpread is the time over which callers come back that were refused together.
	retrySpread = 1500 * time.Millisecond
)

// untilConfirmed is when a refused caller may try again: soon where this VM alone has lost
// the leader, since others serve. A VM that has just started waits with all others if
// the replicas have started too, and must not meet all callers at once when they are back.
func (p *Proxy) untilConfirmed(q *request) time.Duration {
	if _, ok := p.o.Cluster.ConfirmationAge(); ok {
		return retryDelay
	}
	return max(retryDelay, firstConfirmationTime-p.now()) + time.Duration(hashFraction(q.id)*float64(retrySpread))
}

// beyond refuses a request that its workspace's allowance does not cover. The more is
// asked for beyond it, the longer until there is room, spread so that the callers do
// not come back together.
func (q *request) allowanceExceeded(pace float64, window time.Duration) response {
	in := max(retryDelay, time.Duration((1-pace)*float64(window)))
	w := q.access.workspace.Allowance
	a := q.localResponse(http.StatusTooManyRequests, fmt.Sprintf("the workspace has used its allowance of %g requests a second and %g more", w.PerSecond, w.Burst))
	a.retryAfter = time.Duration((0.5 + hashFraction(q.id)) * float64(in))
	return a
}

// settle gives back what was taken out of the allowance for a request that did not run.
func (p *Proxy) refundUnrun(q *request) {
	if q.access.charged && !q.state.possiblyRun && q.outcome != callerLeft {
		p.o.Allowances.Refund(q.access.workspace, p.now()-q.access.chargedAt)
	}
}

// priority is the rank of the request: the workspace's goes before the route's.
func (q *request) priority() int {
	if p := q.access.workspace.Priority; p != nil {
		return *p
	}
	return q.route.Priority
}
