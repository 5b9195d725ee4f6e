package entry

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// course is the way of one request over the sites of its service.
type course struct {
	v     *view
	j     *job
	sites *steer.Sites
	tried steer.Tried
	turn  uint64
	// last is why the last site was not tried, or what came of it.
	last verdict
}

func (x *Entry) newCourse(v *view, j *job) *course {
	return &course{
		v: v, j: j, sites: v.table.Sites(j.service), turn: x.turn.Add(1),
		last: refused(defaultRetryAfter, "no site of service %q has a ready target", j.service),
	}
}

// next returns the next site with what a request needs of links and shift caps, or nil.
func (x *Entry) next(ctx context.Context, c *course) (*steer.Site, *permit) {
	for {
		i := steer.Choose(steer.Query{Policy: c.j.policy, Home: c.j.home, Now: x.now(), Sequence: c.turn}, c.sites, &c.tried)
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

// trySites sends a request to one site after the other, within the retry
// budget, until one answers or none is left.
func (x *Entry) trySites(ctx context.Context, v *view, j *job) verdict {
	if !x.valid() {
		return refused(defaultRetryAfter, "entry holds no lease")
	}
	x.budget.Deposit()
	c := x.newCourse(v, j)
	for j.try < maxTries {
		s, p := x.next(ctx, c)
		if s == nil {
			return c.last
		}
		r := x.tryOrHedge(ctx, c, s, p)
		j.try++
		j.mayHaveRun = j.mayHaveRun || r.kind == verdictBroken
		if !x.again(ctx, j, r) {
			return r
		}
		c.last = r
	}
	return c.last
}

// tryOrHedge sends a request to a site, and to a second one where the policy
// says so and the first has not answered after the policy's time.
func (x *Entry) tryOrHedge(ctx context.Context, c *course, s *steer.Site, p *permit) verdict {
	if c.j.policy.HedgeMillis == 0 || c.j.cls.Delivery != model.Idempotent {
		return x.try(ctx, c.j, s, p)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan verdict, 2)
	start := func(s *steer.Site, p *permit) {
		j := *c.j
		x.g.Go(func(context.Context) error {
			results <- x.try(ctx, &j, s, p)
			return nil
		})
	}
	start(s, p)
	t := time.NewTimer(c.j.policy.HedgeMillis.Duration())
	defer t.Stop()
	var r verdict
	for open := 1; open > 0; {
		select {
		case r = <-results:
			open--
			c.j.mayHaveRun = c.j.mayHaveRun || r.kind == verdictBroken
			if r.kind == verdictAnswered {
				return r
			}
		case <-t.C:
			if s, p := x.second(ctx, c); s != nil {
				start(s, p)
				open++
			}
		}
	}
	return r
}

// second returns a second site for a hedged request, within the retry budget.
func (x *Entry) second(ctx context.Context, c *course) (*steer.Site, *permit) {
	if !x.budget.Withdraw() {
		return nil, nil
	}
	return x.next(ctx, c)
}
