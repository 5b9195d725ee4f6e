package entry

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// permit is what a request has taken of links and shift caps.
type permit struct {
	taken []taken
	// in is the window of the link that the answer comes over, if any.
	in       *limit.Window
	reserved int64
	// held is what is held of it until the answer is here.
	held int64
}

type taken struct {
	w *limit.Window
	n int64
}

// giveBack returns all that was taken for a request that was not sent.
func (p *permit) giveBack(now time.Duration) {
	for _, t := range p.taken {
		t.w.Refund(t.n, now)
	}
	p.taken = nil
	p.release(0, now)
}

// release ends the hold for the answer, of which some bytes came.
func (p *permit) release(used int64, now time.Duration) {
	if p.held == 0 {
		return
	}
	p.in.Release(p.held, min(used, p.held), now)
	p.held = 0
}

// finish ends the hold for an answer by how the request ended.
func (p *permit) finish(r verdict, now time.Duration) {
	used := p.held
	switch r.kind {
	case verdictAnswered:
		used = int64(len(r.answer.body)) + headerBytes
	case verdictRefused, verdictClosed, verdictConflict:
		used = headerBytes
	}
	p.release(used, now)
}

// take takes from a window, or gives everything back and returns after how long it may fit.
func (p *permit) take(w *limit.Window, n int64, now time.Duration) (time.Duration, bool) {
	if w.Take(n, now) {
		p.taken = append(p.taken, taken{w, n})
		return 0, true
	}
	p.giveBack(now)
	return w.Wait(n, now), false
}

// denial is a share that has no room for n, and after how long it may have.
type denial struct {
	w    *limit.Window
	n    int64
	wait time.Duration
}

// take takes from a share, and asks for a larger one where it is too small.
func (x *Entry) take(p *permit, w *limit.Window, n int64, now time.Duration) *denial {
	wait, ok := p.take(w, n, now)
	if ok {
		return nil
	}
	return x.deny(w, n, wait, now)
}

func (x *Entry) deny(w *limit.Window, n int64, wait, now time.Duration) *denial {
	if x.limits.short.tell(w, now) {
		x.kick()
	}
	return &denial{w, n, wait}
}

// shareWait is how long a request waits where this VM's whole share is too small for it.
const shareWait = 150 * time.Millisecond

// awaitShare waits for a grant that a request fits into, where the whole share
// is too small for it, once for each request. It tells whether there is one now.
func (x *Entry) awaitShare(ctx context.Context, j *job, d *denial) bool {
	if d == nil || d.w.Limit() >= d.n || j.awaited {
		return false
	}
	j.awaited = true
	t := time.NewTimer(shareWait)
	defer t.Stop()
	for d.w.Limit() < d.n {
		select {
		case <-x.lease.next():
		case <-ctx.Done():
			return false
		case <-t.C:
			return false
		}
	}
	return true
}

// headerBytes is what the headers of a request or an answer take on a link.
const headerBytes = 512

// permit takes what a request to a site needs of shift caps and links.
func (x *Entry) permit(c *model.Catalogue, j *job, s *steer.Site) (*permit, *denial) {
	now := x.now()
	p := &permit{}
	if s.Region != j.home {
		for _, k := range c.CapsFor(j.service, j.home, s.Region) {
			if d := x.take(p, x.limits.get(lease.CapResource(k.Name)), 1, now); d != nil {
				return nil, d
			}
		}
	}
	if s.Local {
		return p, x.takeLink(p, c, j, s.Region, true)
	}
	return p, x.takeLink(p, c, j, s.OwnerRegion, false)
}

// unknownPart divides a link to give the size that a first answer is taken to
// have at most, where it comes straight from a target and cannot be held back.
const unknownPart = 4

// takeLink takes the bytes of a request of the link to a region, and holds those
// of its expected answer.
func (x *Entry) takeLink(p *permit, c *model.Catalogue, j *job, to model.RegionID, direct bool) *denial {
	here, now := c.RegionOf(x.o.Domain), x.now()
	if to == here {
		return nil
	}
	l, ok := c.Link(here, to)
	if !ok {
		p.giveBack(now)
		return &denial{limit.NewWindow(), 0, defaultRetryAfter}
	}
	out := x.limits.get(lease.LinkResource(here, to))
	if d := x.take(p, out, int64(len(j.body))+headerBytes, now); d != nil {
		return d
	}
	in := x.limits.get(lease.LinkResource(to, here))
	n := x.sizes.expect(j.service, j.cls)
	if direct && !x.sizes.known(j.service, j.cls) {
		n = min(j.cls.MaxAnswerBytes, int64(l.BytesPerSecond)/unknownPart)
	}
	p.in, p.reserved = in, n
	if !in.Reserve(n+headerBytes, now) {
		p.giveBack(now)
		return x.deny(in, n+headerBytes, in.Wait(n+headerBytes, now), now)
	}
	p.held = n + headerBytes
	return nil
}
