package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// keyScheme is the authorization scheme before a key; it is case-insensitive (RFC 9110,
	// section 11.1).
	keyScheme = "Bearer"
	// maxKeyBytes is the maximum size of a key that is looked up.
	maxKeyBytes = 4 << 10
	// reasonKeysStale is the reason for refusing a request that has a known key.
	reasonKeysStale = "the keys may be out of date"
	// clockDriftDivisor divides a period to give the maximum drift between two clocks in it.
	clockDriftDivisor = 50
)

// access is the result of checking a request's key.
type access struct {
	// keyRequired means that the routing requires keys; keys are then not forwarded to targets.
	keyRequired bool
	// authenticated means that the key belongs to the workspace.
	authenticated bool
	workspace     model.Workspace
	// chargedAt is when the request was taken out of the allowance, if charged.
	charged   bool
	chargedAt time.Duration
}

// setHeaders replaces the caller's key, and any workspace that the caller claims, by the
// workspace of the key.
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

// bearerKey returns the key of a request, or the reason why there is none.
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

// admit authenticates a request and takes it out of the workspace's allowance.
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
	case !q.access.authenticated && c.HasInvalid(model.ObjectWorkspace):
		return q.refusal(why+", and not all workspaces could be read", retryDelay), false
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

// areKeysValid reports whether the keys of the catalogue may still be used. It bounds how long a
// key stays usable whose withdrawal has not reached this VM.
func (p *Proxy) areKeysValid() bool {
	if p.o.KeyLife == 0 {
		return true
	}
	ago, ok := p.o.Cluster.ConfirmationAge()
	return ok && ago < p.o.KeyLife-p.o.KeyLife/clockDriftDivisor
}

const (
	// firstConfirmationTime is the usual time from a VM's start to its first confirmation if the
	// replicas have just started too: an election and a renewal.
	firstConfirmationTime = 2 * time.Second
	// retrySpread is the period over which the retries of callers that were refused together are
	// spread.
	retrySpread = 1500 * time.Millisecond
)

// untilConfirmed returns when a refused caller may retry. If only this VM has lost the leader,
// that is soon, since other VMs serve. If this VM has just started, all other VMs and the
// replicas may have started too, and the retries are spread so that they do not all arrive at
// once.
func (p *Proxy) untilConfirmed(q *request) time.Duration {
	if _, ok := p.o.Cluster.ConfirmationAge(); ok {
		return retryDelay
	}
	return max(retryDelay, firstConfirmationTime-p.now()) + time.Duration(hashFraction(q.id)*float64(retrySpread))
}

// allowanceExceeded refuses a request that exceeds its workspace's allowance. Retry-After grows
// with the excess, and is spread so that callers do not retry together.
func (q *request) allowanceExceeded(admittedFraction float64, window time.Duration) response {
	in := max(retryDelay, time.Duration((1-admittedFraction)*float64(window)))
	w := q.access.workspace.Allowance
	a := q.localResponse(http.StatusTooManyRequests, fmt.Sprintf("the workspace has used its allowance of %g requests a second and %g more", w.PerSecond, w.Burst))
	a.retryAfter = time.Duration((0.5 + hashFraction(q.id)) * float64(in))
	return a
}

// refundUnrun returns a request that did not run to the allowance.
func (p *Proxy) refundUnrun(q *request) {
	if q.access.charged && !q.state.possiblyRun && q.outcome != callerLeft {
		p.o.Allowances.Refund(q.access.workspace, p.now()-q.access.chargedAt)
	}
}

// priority returns the priority of the request: the workspace's has precedence over the route's.
func (q *request) priority() int {
	if p := q.access.workspace.Priority; p != nil {
		return *p
	}
	return q.route.Priority
}
