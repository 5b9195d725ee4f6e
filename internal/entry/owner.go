package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

const (
	// maxShiftWait bounds how long after its permit a shifted request waits for a slot. It is
	// not dispatched later than twice that after it arrived at the owner.
	maxShiftWait = 100 * time.Millisecond
	// lateAnswerTimeout is how long after the deadline an answer is awaited, to record it.
	lateAnswerTimeout = 5 * time.Second
	// noTargetRetryAfter is the Retry-After where an owner has no ready target.
	noTargetRetryAfter = 250 * time.Millisecond
)

// ownerArgs are the arguments of a dispatch by an owner besides the request. The permit is
// nil where another entry forwarded the request.
type ownerArgs struct {
	domain  model.FailureDomainID
	shifted bool
	permit  *permit
	// left, if not nil, returns an error once the caller has left.
	left func() error
}

// serveAsOwner takes a slot of a target that this entry owns and dispatches the request to it.
func (x *Entry) serveAsOwner(ctx context.Context, j *job, a ownerArgs) tryResult {
	arrivedAt := x.now()
	q := pool.Request{Deadline: j.deadline, MaxQueued: j.cls.MaxQueued, Domain: a.domain}
	if j.cls.Delivery == model.Deferrable {
		q.Priority = pool.Deferred
	}
	if a.shifted {
		q.MaxWait = maxShiftWait
	} else if j.cls.Delivery != model.Deferrable {
		// A longer queue would only delay every answer past the objective.
		q.AdmitWait = j.cls.ObjectiveMillis.Duration()
	}
	if a.permit == nil {
		a.permit = &permit{}
		c := x.view.Load().catalogue
		if d := x.acquireLink(a.permit, c, j, c.RegionOf(a.domain), true); d != nil {
			return refused(d.wait, "the link from the owner to failure domain %q is full", a.domain)
		}
		r := x.admit(ctx, j, a, q, arrivedAt)
		a.permit.finish(r, x.now())
		return r
	}
	return x.admit(ctx, j, a, q, arrivedAt)
}

// admit enters the queue of the pool, waits for a slot and dispatches the request.
func (x *Entry) admit(ctx context.Context, j *job, a ownerArgs, q pool.Request, arrivedAt time.Duration) tryResult {
	p := x.pools.get(j.service)
	a.left = ctx.Err
	t, err := p.Admit(q)
	if err != nil {
		return refusedBy(p, err)
	}
	if j.atMostOnce() {
		return x.dispatchAtMostOnce(ctx, j, t, a, arrivedAt)
	}
	s, err := t.Wait(ctx)
	if err != nil {
		return refusedBy(p, err)
	}
	if err := x.mayDispatch(j, s, a, arrivedAt); err != nil {
		s.Release()
		return refused(noTargetRetryAfter, "%v", err)
	}
	return x.dispatch(ctx, j, s, a)
}

func refusedBy(p *pool.Pool, err error) tryResult {
	if errs.Is(err, pool.KindNoTarget) {
		return refused(noTargetRetryAfter, "%v", err)
	}
	return refused(p.EstimatedWait(), "%v", err)
}

// mayDispatch checks, directly before a dispatch, the conditions that may have changed
// since the request was admitted.
func (x *Entry) mayDispatch(j *job, s *pool.Slot, a ownerArgs, arrivedAt time.Duration) error {
	if err := x.maySend(j, s, a); err != nil || !a.shifted {
		return err
	}
	now := x.now()
	if now > arrivedAt+2*maxShiftWait {
		return errors.New("the permit for the shift is too old")
	}
	v := x.view.Load()
	caps := v.catalogue.CapsFor(j.service, j.home, v.catalogue.RegionOf(s.Target().Domain))
	if !x.shifts.take(caps, now) {
		return errors.New("the shift cap is full")
	}
	return nil
}

// maySend checks, directly before a send, the caller, the lease, the target and the deadline.
func (x *Entry) maySend(j *job, s *pool.Slot, a ownerArgs) error {
	switch {
	case a.left != nil && a.left() != nil:
		return errors.New("the caller has gone")
	case !x.leaseValid():
		return errors.New("the lease of the owner is over")
	case !s.Usable():
		return fmt.Errorf("target %q takes no new work", s.Target().ID)
	case x.now() >= j.deadline:
		return errors.New("the deadline has passed")
	}
	return nil
}

// dispatch sends the request to the target and reads its whole answer.
func (x *Entry) dispatch(ctx context.Context, j *job, s *pool.Slot, a ownerArgs) tryResult {
	start := x.now()
	r, res := x.exchange(ctx, j, s, a)
	r.target = s.Target().ID
	if res == pool.Failed && ctx.Err() != nil {
		res = pool.Cancelled
	}
	s.Done(res, x.now()-start)
	return r
}

func (x *Entry) exchange(ctx context.Context, j *job, s *pool.Slot, a ownerArgs) (tryResult, pool.Result) {
	t, g := s.Target(), &sendGuard{check: func() error { return x.maySend(j, s, a) }}
	ctx = g.attach(ctx)
	q, err := http.NewRequestWithContext(ctx, j.method, "http://"+t.Addr+j.path, bytes.NewReader(j.body))
	if err != nil {
		return refused(0, "request cannot be made: %v", err), pool.Succeeded
	}
	if j.atMostOnce() {
		neverReplay(q)
	}
	if j.contentType != "" {
		q.Header.Set("Content-Type", j.contentType)
	}
	q.Header.Set(wire.HeaderRequestID, string(j.id))
	q.Header.Set(wire.HeaderAttempt, strconv.FormatUint(j.attempt, 10))
	q.Header.Set(wire.HeaderDeadline, strconv.FormatInt(max(1, (j.deadline-x.now()).Milliseconds()), 10))
	q.Header.Set(wire.HeaderRegion, string(j.home))
	res, err := x.targetClient.Do(q)
	if rejected := g.rejected(); err != nil && rejected != nil {
		return refused(noTargetRetryAfter, "%v", rejected), pool.Cancelled
	}
	if err != nil {
		return broken("target %q: %v", t.ID, err), pool.Failed
	}
	defer res.Body.Close()
	if err := reply.Check(res.StatusCode); err != nil {
		return broken("target %q: %v", t.ID, err), pool.Failed
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(wire.HeaderShed) != "" {
		if !isShedOf(j, res, g.isReused()) {
			return broken("target %q sheds another request", t.ID), pool.Failed
		}
		return refused(x.pools.get(j.service).EstimatedWait(), "target %q sheds load", t.ID), pool.Shed
	}
	b, err := x.whole(ctx, j, res, a.permit)
	if err != nil {
		return broken("target %q: %v", t.ID, err), pool.Failed
	}
	x.sizes.observe(j.service, j.cls, int64(len(b)))
	w := &answer{status: res.StatusCode, contentType: res.Header.Get("Content-Type"), body: b}
	return tryResult{kind: resultAnswered, answer: w}, pool.Succeeded
}

// isShedOf reports whether a refusal certainly refers to this request, or the request may run again.
// On a connection that has carried other requests, a refusal without an id may be a late copy of an
// earlier one while the target runs this request.
func isShedOf(j *job, res *http.Response, reused bool) bool {
	id := res.Header.Get(wire.HeaderRequestID)
	return id == string(j.id) || id == "" && (!reused || !j.atMostOnce())
}

// neverReplay keeps the HTTP transport from resending a request on its own, which it does
// for methods such as GET when a reused connection breaks.
func neverReplay(q *http.Request) {
	q.Body = struct{ io.ReadCloser }{q.Body}
	q.GetBody = nil
}

// whole reads the body of an answer. It fails unless the answer is certainly the whole
// answer to this request.
func (x *Entry) whole(ctx context.Context, j *job, res *http.Response, p *permit) ([]byte, error) {
	if id := res.Header.Get(wire.HeaderRequestID); id != string(j.id) {
		return nil, fmt.Errorf("answer carries request id %q, not %q", id, j.id)
	}
	return readWhole(res, x.paced(ctx, res.Body, p), j.cls.MaxAnswerBytes)
}

// readWhole reads the body of a response. It fails unless the body is certainly whole: a body
// without a length may have been cut, and one over the bound is not read to its end.
func readWhole(res *http.Response, body io.Reader, maxBytes int64) ([]byte, error) {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return nil, errors.New("answer has no length")
	}
	b, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("answer was cut: %w", err)
	}
	if int64(len(b)) > maxBytes {
		return nil, fmt.Errorf("answer is over %d bytes", maxBytes)
	}
	return b, nil
}
