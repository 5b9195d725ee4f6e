package entry

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// selection chooses, one after the other, the sites that one request is sent to.
type selection struct {
	v          *view
	j          *job
	sites      *steer.Sites
	tried      steer.Tried
	roundRobin uint64
	// last is the result of the last try, or why the last site was skipped.
	last tryResult
}

func (x *Entry) newSelection(v *view, j *job) *selection {
	return &selection{
		v: v, j: j, sites: v.table.Sites(j.service), roundRobin: x.roundRobin.Add(1),
		last: refused(defaultRetryAfter, "no site of service %q has a ready target", j.service),
	}
}

// nextSite returns the next site for which the links and shift caps have room, with the
// permit that it took of them, or nil.
func (x *Entry) nextSite(ctx context.Context, c *selection) (*steer.Site, *permit) {
	for {
		i := steer.Choose(steer.Query{Policy: c.j.policy, Home: c.j.home, Now: x.now(), Sequence: c.roundRobin}, c.sites, &c.tried)
		if i < 0 {
			return nil, nil
		}
		c.tried.Add(i)
		s := &c.sites.List[i]
		p, d := x.permit(c.v.catalogue, c.j, s)
		if x.awaitShare(ctx, c.j, d) {
			p, d = x.permit(c.v.catalogue, c.j, s)
		}
		if d == nil {
			return s, p
		}
		c.last = refused(d.wait, "a link or shift cap to region %q is full", s.Region)
	}
}

// trySites sends a request to one site after the other, within the retry budget, until one
// answers or no site is left.
func (x *Entry) trySites(ctx context.Context, v *view, j *job) tryResult {
	if !x.leaseValid() {
		return refused(defaultRetryAfter, "entry holds no lease")
	}
	x.budget.Deposit()
	c := x.newSelection(v, j)
	for j.try < maxTries {
		s, p := x.nextSite(ctx, c)
		if s == nil {
			return c.last
		}
		r := x.tryOrHedge(ctx, c, s, p)
		j.try++
		j.mayHaveRun = j.mayHaveRun || r.kind == resultBroken
		if !x.shouldRetry(ctx, j, r) {
			return r
		}
		c.last = r
	}
	return c.last
}

// tryOrHedge sends a request to a site. Where the policy hedges, it also sends the request
// to a second site if the first has not answered after the policy's hedge delay.
func (x *Entry) tryOrHedge(ctx context.Context, c *selection, s *steer.Site, p *permit) tryResult {
	if c.j.policy.HedgeMillis == 0 || c.j.cls.Delivery != model.Idempotent {
		return x.trySite(ctx, c.j, s, p)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan tryResult, 2)
	start := func(s *steer.Site, p *permit) {
		j := *c.j
		x.g.Go(func(context.Context) error {
			results <- x.trySite(ctx, &j, s, p)
			return nil
		})
	}
	start(s, p)
	t := time.NewTimer(c.j.policy.HedgeMillis.Duration())
	defer t.Stop()
	var r tryResult
	for open := 1; open > 0; {
		select {
		case r = <-results:
			open--
			c.j.mayHaveRun = c.j.mayHaveRun || r.kind == resultBroken
			if r.kind == resultAnswered {
				return r
			}
		case <-t.C:
			if s, p := x.hedgeSite(ctx, c); s != nil {
				start(s, p)
				open++
			}
		}
	}
	return r
}

// hedgeSite returns a second site for a hedged request, within the retry budget, or nil.
func (x *Entry) hedgeSite(ctx context.Context, c *selection) (*steer.Site, *permit) {
	if !x.budget.Withdraw() {
		return nil, nil
	}
	return x.nextSite(ctx, c)
}
