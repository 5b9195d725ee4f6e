package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// limits are this VM's shares of links and shift caps.
type limits struct {
	mu sync.RWMutex
	m  map[string]*limit.Window

	short shortage
}

// shortage is when a share was found too small, and which.
type shortage struct {
	mu sync.Mutex
	at time.Duration
	// told are the limits that were reported as too small.
	told map[*limit.Window]int64
}

// shortageEvery is the least time between two renewals for a share that is too small.
const shortageEvery = 100 * time.Millisecond

// tell tells whether the leader should hear now that a share is too small. One
// that did not change since it was told waits for the usual renewal.
func (s *shortage) tell(w *limit.Window, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := w.Limit()
	old, ok := s.told[w]
	if ok && (now < s.at+shortageEvery || old == n && now < s.at+renewEvery) {
		return false
	}
	if s.told == nil {
		s.told = map[*limit.Window]int64{}
	}
	s.told[w], s.at = n, now
	return true
}

func (l *limits) get(name string) *limit.Window {
	l.mu.RLock()
	w, ok := l.m[name]
	l.mu.RUnlock()
	if ok {
		return w
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = map[string]*limit.Window{}
	}
	if _, ok := l.m[name]; !ok {
		l.m[name] = limit.NewWindow()
	}
	return l.m[name]
}

// set puts the shares of a grant in force. A resource without a share gets nothing.
func (l *limits) set(shares []*eelpb.Share) {
	named := make(map[string]bool, len(shares))
	for _, s := range shares {
		named[s.Resource] = true
		l.get(s.Resource).SetLimit(s.Amount)
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for n, w := range l.m {
		if !named[n] {
			w.SetLimit(0)
		}
	}
}

func (l *limits) report(now time.Duration) (shares, demands []*eelpb.Share) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for n, w := range l.m {
		if a := w.Limit(); a > 0 {
			shares = append(shares, &eelpb.Share{Resource: n, Amount: a})
		}
		if d := w.Demand(now); d > 0 {
			demands = append(demands, &eelpb.Share{Resource: n, Amount: d})
		}
	}
	return shares, demands
}

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
		t.w.Put(t.n, now)
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
	return p, x.takeLink(p, c, j, s.Via, false)
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
	if !in.Hold(n+headerBytes, now) {
		p.giveBack(now)
		return x.deny(in, n+headerBytes, in.Wait(n+headerBytes, now), now)
	}
	p.held = n + headerBytes
	return nil
}

// linkUse returns how full the link to a region is.
func (x *Entry) linkUse(c *model.Catalogue) func(model.RegionID) func() float64 {
	here := c.RegionOf(x.o.Domain)
	return func(r model.RegionID) func() float64 {
		w := x.limits.get(lease.LinkResource(r, here))
		return func() float64 { return w.Use(x.now()) }
	}
}

const pacedChunk = 16 << 10

// pacedReader reads an answer no faster than the link's share allows.
type pacedReader struct {
	x    *Entry
	ctx  context.Context
	r    io.Reader
	p    *permit
	left int64
}

func (x *Entry) paced(ctx context.Context, r io.Reader, p *permit) io.Reader {
	if p == nil || p.in == nil {
		return r
	}
	return &pacedReader{x: x, ctx: ctx, r: r, p: p, left: p.reserved}
}

// Read reads at most one chunk and waits until the link's share covers it.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b[:min(len(b), pacedChunk)])
	r.left -= int64(n)
	if r.left >= 0 {
		return n, err
	}
	if err := r.x.waitFor(r.ctx, r.p, -r.left); err != nil {
		return n, err
	}
	r.left = 0
	return n, err
}

// answerSizes remembers how large the answers of a class are.
type answerSizes struct {
	m sync.Map
}

type classKey struct {
	service model.ServiceID
	class   model.ClassID
}

const (
	// firstAnswerBytes is assumed before an answer of the class was seen.
	firstAnswerBytes = 4 << 10
	// sizeDecay divides the distance by which an expected size falls with each smaller answer.
	sizeDecay = 50
)

// known tells whether an answer of the class was seen.
func (a *answerSizes) known(s model.ServiceID, c model.Class) bool {
	_, ok := a.m.Load(classKey{s, c.Name})
	return ok
}

func (a *answerSizes) expect(s model.ServiceID, c model.Class) int64 {
	if v, ok := a.m.Load(classKey{s, c.Name}); ok {
		return v.(int64)
	}
	return min(firstAnswerBytes, c.MaxAnswerBytes)
}

// observe follows larger answers at once and smaller ones slowly.
func (a *answerSizes) observe(s model.ServiceID, c model.Class, n int64) {
	old := a.expect(s, c)
	if n < old {
		n = old - (old-n)/sizeDecay
	}
	a.m.Store(classKey{s, c.Name}, n)
}

// shiftMeters count what this VM dispatches under each shift cap as an owner.
type shiftMeters struct {
	l limits
}

// take counts a dispatch against the whole of the caps that bound it.
func (s *shiftMeters) take(caps []model.ShiftCap, now time.Duration) bool {
	for _, k := range caps {
		w := s.l.get(k.Name)
		w.SetLimit(k.PerSecond)
		if !w.Take(1, now) {
			return false
		}
	}
	return true
}
