package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/go-kit/log/level"
)

const (
	claimPoll = 50 * time.Millisecond
	// recordTimeout is how long an owner tries to record a result.
	recordTimeout = 10 * time.Second
)

// claimed is what came of taking a claim.
type claimed struct {
	r   *eelpb.ClaimReply
	err error
}

// once dispatches a request that runs at most once: the claim is committed
// first, and nothing is sent twice under one claim. The claim is committed
// while the request waits for its slot.
func (x *Entry) once(ctx context.Context, j *job, t *pool.Ticket, a ownerAsk, asked time.Duration) verdict {
	o := &eelpb.ClaimOp{
		Kind: eelpb.ClaimKind_CLAIM_TAKE, RequestId: string(j.id), Digest: j.digest(),
		Attempt: j.claimAttempt(j.try), Vm: string(x.o.ID), Token: rand.Uint64(),
	}
	done := make(chan claimed, 1)
	x.g.Go(func(context.Context) error {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.deadline-x.now())
		defer cancel()
		r, err := x.state.claim(late, o)
		done <- claimed{r, err}
		return nil
	})
	s, err := t.Wait(ctx)
	c := <-done
	if c.err != nil || !c.r.Ok {
		if err == nil {
			s.Release()
		}
		return x.notTaken(ctx, o, c)
	}
	if err != nil {
		return x.reopen(ctx, o, err.Error())
	}
	if err := x.mayDispatch(j, s, a, asked); err != nil {
		s.Release()
		return x.reopen(ctx, o, err.Error())
	}
	return x.dispatchOnce(ctx, j, s, a, o)
}

func (x *Entry) notTaken(ctx context.Context, o *eelpb.ClaimOp, c claimed) verdict {
	if c.err != nil {
		// The take may be committed all the same.
		return x.reopen(ctx, o, c.err.Error())
	}
	return x.fromRecord(c.r)
}

// dispatchOnce sends the request and records how it ended, also where the
// caller has left or the deadline has passed. The caller's answer does not wait
// for the record: a resend that comes first waits for it.
func (x *Entry) dispatchOnce(ctx context.Context, j *job, s *pool.Slot, a ownerAsk, o *eelpb.ClaimOp) verdict {
	done := make(chan verdict, 1)
	x.g.Go(func(context.Context) error {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.deadline-x.now()+afterGrace)
		defer cancel()
		v := x.dispatch(late, j, s, a)
		if v.kind == verdictRefused {
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
func (x *Entry) record(o *eelpb.ClaimOp, v verdict) {
	f := &eelpb.ClaimOp{
		Kind: eelpb.ClaimKind_CLAIM_FINISH, RequestId: o.RequestId, Digest: o.Digest, Vm: o.Vm, Token: o.Token,
		Unknown: v.kind != verdictAnswered,
	}
	if v.kind == verdictAnswered {
		f.Answer = keptAnswer(v.answer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := x.state.claim(ctx, f); err != nil {
		level.Warn(x.o.Log).Log("msg", "result not recorded", "request", o.RequestId, "err", err)
	}
}

func keptAnswer(a *answer) *eelpb.Answer {
	k := &eelpb.Answer{Status: int32(a.status), ContentType: a.contentType, Body: a.body}
	if len(a.body) > state.MaxStoredAnswerBytes {
		k.Body, k.Truncated = nil, true
	}
	return k
}

// reopenWait is how long a caller's answer waits for a claim to be given back.
const reopenWait = 500 * time.Millisecond

// reopen gives a claim back whose dispatch is proved not to have run. It goes
// on when the caller has left or was told unknown, so that a resend can run.
func (x *Entry) reopen(ctx context.Context, o *eelpb.ClaimOp, reason string) verdict {
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
	t := time.NewTimer(reopenWait)
	defer t.Stop()
	select {
	case ok := <-done:
		if ok {
			return refused(noTargetWait, "%s", reason)
		}
	case <-t.C:
	}
	return broken("claim could not be given back after: %s", reason)
}

// fromRecord says what another dispatch of the request has come to.
func (x *Entry) fromRecord(r *eelpb.ClaimReply) verdict {
	if r.Mismatch {
		return verdict{kind: verdictConflict, reason: "request id was used before with another content"}
	}
	if r.Full {
		return refused(defaultRetryAfter, "the store of claims is full")
	}
	switch r.Record.State {
	case eelpb.ClaimState_CLAIM_DONE:
		return fromAnswer(r.Record.Answer)
	case eelpb.ClaimState_CLAIM_CLOSED:
		return verdict{kind: verdictClosed, reason: "this attempt was answered with notRun before"}
	case eelpb.ClaimState_CLAIM_UNKNOWN:
		return broken("an earlier dispatch of the request ended without an answer")
	}
	return broken("another dispatch of the request is in progress at VM %q", r.Record.Vm)
}

func fromAnswer(a *eelpb.Answer) verdict {
	if a.GetTruncated() {
		return broken("the request ran; its answer was too large to be kept")
	}
	w := &answer{status: int(a.GetStatus()), contentType: a.GetContentType(), body: a.GetBody()}
	return verdict{kind: verdictAnswered, answer: w}
}

// lapsedCloseTimeout is how long an entry without a lease tries to close a claim.
const lapsedCloseTimeout = 500 * time.Millisecond

// closeTimeout is how long the entry tries to close a claim. Without a lease
// there may be no quorum to close it, and the caller is not to wait for that.
func (x *Entry) closeTimeout() time.Duration {
	if x.valid() {
		return recordTimeout
	}
	return lapsedCloseTimeout
}

// settle turns the last try of a request into its final outcome. A request
// that runs at most once is told notRun only when its claim is closed.
func (x *Entry) settle(ctx context.Context, j *job, v verdict) verdict {
	if !j.atMostOnce() || v.kind == verdictAnswered || v.kind == verdictConflict {
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
		w := x.fromRecord(r)
		if r.Record.GetState() != eelpb.ClaimState_CLAIM_TAKEN {
			return w.with(v)
		}
		sleep(ctx, claimPoll)
		if ctx.Err() != nil {
			return w.with(v)
		}
	}
}

// with keeps how the request was steered.
func (v verdict) with(o verdict) verdict {
	v.shifted, v.headroom = o.shifted, o.headroom
	if v.target == "" {
		v.target = o.target
	}
	return v
}
