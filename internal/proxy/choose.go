package proxy

import (
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// switchMargin is the fraction by which a later target in the object's order must be cheaper to
// be chosen.
const switchMargin = 0.2

// choose returns the target for the next send, and whether it is a spillover, which means that it
// is not the object's first target.
func (p *Proxy) choose(q *request, c *model.Catalogue, tried map[model.TargetID]bool) (t *target, spillover, ok bool) {
	now := p.now()
	usable := func(t *target) bool { return q.isAllowedIn(t.region) && t.usable(now) }
	var list []*target
	p.registry.read(c, q.service, func(r *servicePool) {
		if !q.hasAffinity() {
			list = slices.DeleteFunc(slices.Clone(r.list), func(t *target) bool { return tried[t.id] || !usable(t) })
			return
		}
		home := c.RegionOf(p.o.Domain)
		near := place.LocalityWeight(r.slotFraction(home), len(c.Regions))
		list = place.TopN(q.key, r.list, place.DefaultTargetsPerObject, usable, func(t *target) place.WeightedTarget {
			if t.region == home {
				return place.WeightedTarget{TargetHash: t.hash, Weight: near}
			}
			return place.WeightedTarget{TargetHash: t.hash, Weight: 1}
		})
	})
	candidate := func(t *target) place.Candidate { return t.candidate(q.serviceTime, q.key, q.hasAffinity(), now) }
	if q.hasAffinity() {
		i, ok := place.Choose(list, switchMargin, candidate, func(t *target) bool { return tried[t.id] })
		if !ok {
			return nil, false, false
		}
		return list[i], i > 0, true
	}
	i, ok := place.CheaperOfTwo(q.key, list, candidate)
	if !ok {
		return nil, false, false
	}
	return list[i], false, true
}

// hasAffinity reports whether a target on which the object is warm is preferred.
func (q *request) hasAffinity() bool { return q.route.Affinity && q.object != "" }

// isAllowedIn reports whether both the route and the workspace may be served in a region.
func (q *request) isAllowedIn(region model.RegionID) bool {
	return isAllowedRegion(q.route.HomeRegions, region) && isAllowedRegion(q.access.workspace.HomeRegions, region)
}

func isAllowedRegion(homes []model.RegionID, region model.RegionID) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// shortestHold returns after how long the first of the paused or limited targets of a request
// accepts requests again, or 0 if there is none.
func (p *Proxy) shortestHold(q *request, c *model.Catalogue) time.Duration {
	now, shortest, held := p.now(), maxPause, false
	p.registry.read(c, q.service, func(r *servicePool) {
		for _, t := range r.list {
			if d := t.heldFor(now); d > 0 && q.isAllowedIn(t.region) {
				shortest, held = min(shortest, d), true
			}
		}
	})
	if !held {
		return 0
	}
	return shortest
}
