package entry

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// permit is what a request has taken from links and shift caps.
type permit struct {
	taken []taken
	// inbound is the window of the link over which the answer comes, if any.
	inbound *limit.Window
	// answerBytes is the expected size of the answer without its headers.
	answerBytes int64
	// reservedBytes is what is reserved on inbound until the answer has arrived: answerBytes
	// and headerBytes.
	reservedBytes int64
}

type taken struct {
	w *limit.Window
	n int64
}

// refund returns everything that was taken for a request that was not sent.
func (p *permit) refund(now time.Duration) {
	for _, t := range p.taken {
		t.w.Refund(t.n, now)
	}
	p.taken = nil
	p.release(0, now)
}

// release ends the hold for the answer and counts the bytes that were used.
func (p *permit) release(used int64, now time.Duration) {
	if p.reservedBytes == 0 {
		return
	}
	p.inbound.Release(p.reservedBytes, min(used, p.reservedBytes), now)
	p.reservedBytes = 0
}

// finish ends the hold for the answer and counts the bytes used according to the result.
func (p *permit) finish(r tryResult, now time.Duration) {
	used := p.reservedBytes
	switch r.kind {
	case resultAnswered:
		used = int64(len(r.answer.body)) + headerBytes
	case resultRefused, resultClosed, resultConflict:
		used = headerBytes
	}
	p.release(used, now)
}

// acquire takes n from a window. Where that does not fit, acquire refunds the whole permit
// and returns after how long it may fit.
func (p *permit) acquire(w *limit.Window, n int64, now time.Duration) (time.Duration, bool) {
	if w.Take(n, now) {
		p.taken = append(p.taken, taken{w, n})
		return 0, true
	}
	p.refund(now)
	return w.Wait(n, now), false
}

// denial is a window without spare capacity for n, and after how long it may have it.
type denial struct {
	w    *limit.Window
	n    int64
	wait time.Duration
}

// acquire takes n from a share. Where the share is too small, acquire requests a larger one
// from the leader.
func (x *Entry) acquire(p *permit, w *limit.Window, n int64, now time.Duration) *denial {
	wait, ok := p.acquire(w, n, now)
	if ok {
		return nil
	}
	return x.deny(w, n, wait, now)
}

func (x *Entry) deny(w *limit.Window, n int64, wait, now time.Duration) *denial {
	if x.limits.shortages.shouldReport(w, now) {
		x.triggerRenewal()
	}
	return &denial{w, n, wait}
}

// shareTimeout bounds how long a request waits where this VM's whole share is too small
// for it.
const shareTimeout = 150 * time.Millisecond

// awaitShare waits for a grant with a share that is large enough, where the whole share is
// too small for the request. A request waits at most once. awaitShare reports whether the
// share is large enough now.
func (x *Entry) awaitShare(ctx context.Context, j *job, d *denial) bool {
	if d == nil || d.w.Limit() >= d.n || j.hasWaited {
		return false
	}
	j.hasWaited = true
	t := time.NewTimer(shareTimeout)
	defer t.Stop()
	for d.w.Limit() < d.n {
		select {
		case <-x.lease.nextGrant():
		case <-ctx.Done():
			return false
		case <-t.C:
			return false
		}
	}
	return true
}

// headerBytes is the estimated size of the headers of a request or an answer on a link.
const headerBytes = 512

// permit takes what a request to a site needs from shift caps and links.
func (x *Entry) permit(c *model.Catalogue, j *job, s *steer.Site) (*permit, *denial) {
	now := x.now()
	p := &permit{}
	if s.Region != j.home {
		for _, k := range c.CapsFor(j.service, j.home, s.Region) {
			if d := x.acquire(p, x.limits.get(lease.CapResource(k.Name)), 1, now); d != nil {
				return nil, d
			}
		}
	}
	if s.Local {
		return p, x.acquireLink(p, c, j, s.Region, true)
	}
	return p, x.acquireLink(p, c, j, s.OwnerRegion, false)
}

// unknownAnswerDivisor bounds the size assumed for an answer of unknown size: at most
// 1/unknownAnswerDivisor of the bytes that its link carries in a second. It applies to the first
// answer of a class that comes directly from a target, since such an answer cannot be held back.
const unknownAnswerDivisor = 4

// acquireLink takes the bytes of a request from the link to a region, and holds the bytes
// of its expected answer on the link back. direct states that the other end is a target.
func (x *Entry) acquireLink(p *permit, c *model.Catalogue, j *job, to model.RegionID, direct bool) *denial {
	here, now := c.RegionOf(x.o.Domain), x.now()
	if to == here {
		return nil
	}
	l, ok := c.Link(here, to)
	if !ok {
		p.refund(now)
		// There is no link between the regions, so the denial names an empty window and
		// needs 0 of it: awaitShare does not wait for a larger share.
		return &denial{limit.NewWindow(), 0, defaultRetryAfter}
	}
	outbound := x.limits.get(lease.LinkResource(here, to))
	if d := x.acquire(p, outbound, int64(len(j.body))+headerBytes, now); d != nil {
		return d
	}
	inbound := x.limits.get(lease.LinkResource(to, here))
	n := x.sizes.expected(j.service, j.cls)
	if direct && !x.sizes.isKnown(j.service, j.cls) {
		n = min(j.cls.MaxAnswerBytes, int64(l.BytesPerSecond)/unknownAnswerDivisor)
	}
	p.inbound, p.answerBytes = inbound, n
	if !inbound.Reserve(n+headerBytes, now) {
		p.refund(now)
		return x.deny(inbound, n+headerBytes, inbound.Wait(n+headerBytes, now), now)
	}
	p.reservedBytes = n + headerBytes
	return nil
}
