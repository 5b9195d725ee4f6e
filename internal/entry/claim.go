package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/go-kit/log/level"
)

const (
	claimPollInterval = 50 * time.Millisecond
	// recordTimeout bounds how long an owner retries to record a result.
	recordTimeout = 10 * time.Second
)

// claimResult is the reply to taking a claim, or the error.
type claimResult struct {
	r   *eelpb.ClaimReply
	err error
}

// dispatchAtMostOnce dispatches a request that runs at most once. Its claim is committed
// before the dispatch, while the request waits for a slot, and nothing is sent twice under
// one claim.
func (x *Entry) dispatchAtMostOnce(ctx context.Context, j *job, t *pool.Ticket, a ownerArgs, arrivedAt time.Duration) tryResult {
	o := &eelpb.ClaimOp{
		Kind: eelpb.ClaimKind_CLAIM_TAKE, RequestId: string(j.id), Digest: j.digest(),
		Attempt: j.claimAttempt(j.try), Vm: string(x.o.ID), Token: rand.Uint64(),
	}
	done := make(chan claimResult, 1)
	x.g.Go(func(context.Context) error {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.deadline-x.now())
		defer cancel()
		r, err := x.state.claim(late, o)
		done <- claimResult{r, err}
		return nil
	})
	s, err := t.Wait(ctx)
	c := <-done
	if c.err != nil || !c.r.Ok {
		if err == nil {
			s.Release()
		}
		return x.claimFailed(ctx, o, c)
	}
	if err != nil {
		return x.reopen(ctx, o, err.Error())
	}
	if err := x.mayDispatch(j, s, a, arrivedAt); err != nil {
		s.Release()
		return x.reopen(ctx, o, err.Error())
	}
	return x.dispatchOnce(ctx, j, s, a, o)
}

func (x *Entry) claimFailed(ctx context.Context, o *eelpb.ClaimOp, c claimResult) tryResult {
	if c.err != nil {
		// The claim may have been committed despite the error.
		return x.reopen(ctx, o, c.err.Error())
	}
	return x.resultFromRecord(c.r)
}

// dispatchOnce sends the request and records how it ended, also where the caller has left
// or the deadline has passed. The response to the caller does not wait for the record; a
// resend that arrives before the record waits for it.
func (x *Entry) dispatchOnce(ctx context.Context, j *job, s *pool.Slot, a ownerArgs, o *eelpb.ClaimOp) tryResult {
	done := make(chan tryResult, 1)
	x.g.Go(func(context.Context) error {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.deadline-x.now()+lateAnswerTimeout)
		defer cancel()
		v := x.dispatch(late, j, s, a)
		if v.kind == resultRefused {
			done <- x.reopen(late, o, v.reason)
			return nil
		}
		done <- v
		x.record(o, v)
		return nil
	})
	select {
	case v := <-done:
		return v
	case <-ctx.Done():
		return broken("target %q has not answered before the deadline", s.Target().ID)
	}
}

// record commits the result of a dispatch to its claim.
func (x *Entry) record(o *eelpb.ClaimOp, v tryResult) {
	f := &eelpb.ClaimOp{
		Kind: eelpb.ClaimKind_CLAIM_FINISH, RequestId: o.RequestId, Digest: o.Digest, Vm: o.Vm, Token: o.Token,
		Unknown: v.kind != resultAnswered,
	}
	if v.kind == resultAnswered {
		f.Answer = storedAnswer(v.answer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := x.state.claim(ctx, f); err != nil {
		level.Warn(x.o.Log).Log("msg", "result recording failed", "request", o.RequestId, "err", err)
	}
}

func storedAnswer(a *answer) *eelpb.Answer {
	k := &eelpb.Answer{Status: int32(a.status), ContentType: a.contentType, Body: a.body}
	if len(a.body) > state.MaxStoredAnswerBytes {
		k.Body, k.Truncated = nil, true
	}
	return k
}

// reopenTimeout bounds how long the response to a caller waits for its claim to be reopened.
const reopenTimeout = 500 * time.Millisecond

// reopen releases a claim whose dispatch certainly did not run. The REOPEN op closes the
// attempt, so that a later attempt may take the claim. reopen continues after the caller has
// left or has received the outcome unknown, so that a resend can run.
func (x *Entry) reopen(ctx context.Context, o *eelpb.ClaimOp, reason string) tryResult {
	q := &eelpb.ClaimOp{
		Kind: eelpb.ClaimKind_CLAIM_REOPEN, RequestId: o.RequestId, Digest: o.Digest, Attempt: o.Attempt, Vm: o.Vm, Token: o.Token,
	}
	done := make(chan bool, 1)
	x.g.Go(func(context.Context) error {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		r, err := x.state.claim(late, q)
		done <- err == nil && r.Ok
		return nil
	})
	t := time.NewTimer(reopenTimeout)
	defer t.Stop()
	select {
	case ok := <-done:
		if ok {
			return refused(noTargetRetryAfter, "%s", reason)
		}
	case <-t.C:
	}
	return broken("claim could not be given back after: %s", reason)
}

// resultFromRecord returns the result of another dispatch of the same request, as the
// claim's record has it.
func (x *Entry) resultFromRecord(r *eelpb.ClaimReply) tryResult {
	if r.Mismatch {
		return tryResult{kind: resultConflict, reason: "request id was used before with another content"}
	}
	if r.Full {
		return refused(defaultRetryAfter, "the store of claims is full")
	}
	switch r.Record.State {
	case eelpb.ClaimState_CLAIM_DONE:
		return resultFromAnswer(r.Record.Answer)
	case eelpb.ClaimState_CLAIM_CLOSED:
		return tryResult{kind: resultClosed, reason: "this attempt was answered with notRun before"}
	case eelpb.ClaimState_CLAIM_UNKNOWN:
		return broken("an earlier dispatch of the request ended without an answer")
	}
	return broken("another dispatch of the request is in progress at VM %q", r.Record.Vm)
}

func resultFromAnswer(a *eelpb.Answer) tryResult {
	if a.GetTruncated() {
		return broken("the request ran; its answer was too large to be kept")
	}
	if err := reply.Check(int(a.GetStatus())); err != nil {
		return broken("stored answer: %v", err)
	}
	w := &answer{status: int(a.GetStatus()), contentType: a.GetContentType(), body: a.GetBody()}
	return tryResult{kind: resultAnswered, answer: w}
}

// noLeaseCloseTimeout bounds how long an entry without a lease tries to close a claim.
const noLeaseCloseTimeout = 500 * time.Millisecond

// closeTimeout returns how long the entry tries to close a claim. Without a lease there may
// be no quorum to close it, and the caller should not wait for one.
func (x *Entry) closeTimeout() time.Duration {
	if x.leaseValid() {
		return recordTimeout
	}
	return noLeaseCloseTimeout
}

// finalize turns the last try of a request into its final result. A request that runs at
// most once gets the outcome notRun only after its claim is closed.
func (x *Entry) finalize(ctx context.Context, j *job, v tryResult) tryResult {
	if !j.atMostOnce() || v.kind == resultAnswered || v.kind == resultConflict {
		return v
	}
	o := &eelpb.ClaimOp{
		Kind: eelpb.ClaimKind_CLAIM_CLOSE, RequestId: string(j.id), Digest: j.digest(),
		Attempt: j.claimAttempt(lastTry), Vm: string(x.o.ID),
	}
	ctx, cancel := context.WithTimeout(ctx, x.closeTimeout())
	defer cancel()
	for {
		r, err := x.state.claim(ctx, o)
		if err != nil {
			return broken("claim could not be closed after: %s", v.reason)
		}
		if r.Ok {
			return refused(v.retryAfter, "%s", v.reason)
		}
		w := x.resultFromRecord(r)
		if r.Record.GetState() != eelpb.ClaimState_CLAIM_TAKEN {
			return w.withSteering(v)
		}
		sleep(ctx, claimPollInterval)
		if ctx.Err() != nil {
			return w.withSteering(v)
		}
	}
}

// withSteering copies from o whether the request was shifted, the headroom of its site and,
// where v has none, the target.
func (v tryResult) withSteering(o tryResult) tryResult {
	v.shifted, v.headroom = o.shifted, o.headroom
	if v.target == "" {
		v.target = o.target
	}
	return v
}
