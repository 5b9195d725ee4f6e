package state

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

// claims holds one record for each request that runs at most once.
//
// A record moves from taken to done or unknown, which are final. The only way back is
// from taken to closed by a reopen, which the owner sends when the target refused the
// request before it started. A closed record guarantees that its attempt and all
// earlier ones never run; a later attempt may take it again.
type claims struct {
	l       Limits
	records map[string]*eelpb.ClaimRecord
	// expiryQueue holds request ids in the order of their first claim, for expiry.
	expiryQueue []expiryItem
	bytes       int64
}

type expiryItem struct {
	id   string
	atMs int64
}

func newClaims(l Limits) claims {
	return claims{l: l, records: map[string]*eelpb.ClaimRecord{}}
}

func (c *claims) apply(o *eelpb.ClaimOp, nowMs int64) *eelpb.ClaimReply {
	r, ok := c.records[o.RequestId]
	if !ok {
		return c.create(o, nowMs)
	}
	if len(o.Digest) > 0 && !bytes.Equal(r.Digest, o.Digest) {
		return &eelpb.ClaimReply{Mismatch: true, Record: r}
	}
	switch o.Kind {
	case eelpb.ClaimKind_CLAIM_TAKE:
		return c.take(r, o)
	case eelpb.ClaimKind_CLAIM_CLOSE:
		return c.close(r, o)
	case eelpb.ClaimKind_CLAIM_FINISH:
		return c.finish(r, o)
	case eelpb.ClaimKind_CLAIM_REOPEN:
		return c.reopen(r, o)
	}
	return &eelpb.ClaimReply{Record: r}
}

// create creates the record of a new request id.
func (c *claims) create(o *eelpb.ClaimOp, nowMs int64) *eelpb.ClaimReply {
	var s eelpb.ClaimState
	switch o.Kind {
	case eelpb.ClaimKind_CLAIM_TAKE:
		s = eelpb.ClaimState_CLAIM_TAKEN
	case eelpb.ClaimKind_CLAIM_CLOSE, eelpb.ClaimKind_CLAIM_REOPEN:
		// A take of this attempt that is still in flight is rejected when it arrives.
		s = eelpb.ClaimState_CLAIM_CLOSED
	default:
		return &eelpb.ClaimReply{}
	}
	if len(c.records) >= c.l.MaxClaims {
		return &eelpb.ClaimReply{Full: true}
	}
	r := &eelpb.ClaimRecord{
		RequestId: o.RequestId, Digest: o.Digest, Attempt: o.Attempt, Vm: o.Vm, Token: o.Token, State: s, AtMs: nowMs,
	}
	c.put(r)
	c.expiryQueue = append(c.expiryQueue, expiryItem{id: o.RequestId, atMs: nowMs})
	return &eelpb.ClaimReply{Ok: true, Record: r}
}

func (c *claims) put(r *eelpb.ClaimRecord) {
	if old, ok := c.records[r.RequestId]; ok {
		c.bytes -= int64(len(old.Answer.GetBody()))
	}
	c.bytes += int64(len(r.Answer.GetBody()))
	c.records[r.RequestId] = r
}

// cloneRecord returns a copy of the record. A stored record is never modified, since readers may
// hold it.
func cloneRecord(r *eelpb.ClaimRecord) *eelpb.ClaimRecord {
	return &eelpb.ClaimRecord{
		RequestId: r.RequestId, Digest: r.Digest, Attempt: r.Attempt, Vm: r.Vm, Token: r.Token,
		State: r.State, Answer: r.Answer, AtMs: r.AtMs,
	}
}

func (c *claims) take(r *eelpb.ClaimRecord, o *eelpb.ClaimOp) *eelpb.ClaimReply {
	if r.State == eelpb.ClaimState_CLAIM_TAKEN && r.Token == o.Token && r.Vm == o.Vm {
		return &eelpb.ClaimReply{Ok: true, Record: r}
	}
	if r.State != eelpb.ClaimState_CLAIM_CLOSED || o.Attempt <= r.Attempt {
		return &eelpb.ClaimReply{Record: r}
	}
	n := cloneRecord(r)
	n.State, n.Attempt, n.Vm, n.Token = eelpb.ClaimState_CLAIM_TAKEN, o.Attempt, o.Vm, o.Token
	c.put(n)
	return &eelpb.ClaimReply{Ok: true, Record: n}
}

func (c *claims) close(r *eelpb.ClaimRecord, o *eelpb.ClaimOp) *eelpb.ClaimReply {
	if r.State != eelpb.ClaimState_CLAIM_CLOSED {
		return &eelpb.ClaimReply{Record: r}
	}
	if o.Attempt > r.Attempt {
		n := cloneRecord(r)
		n.Attempt = o.Attempt
		c.put(n)
		r = n
	}
	return &eelpb.ClaimReply{Ok: true, Record: r}
}

func (c *claims) finish(r *eelpb.ClaimRecord, o *eelpb.ClaimOp) *eelpb.ClaimReply {
	if r.State != eelpb.ClaimState_CLAIM_TAKEN || r.Token != o.Token || r.Vm != o.Vm {
		return &eelpb.ClaimReply{Record: r}
	}
	n := cloneRecord(r)
	n.State = eelpb.ClaimState_CLAIM_DONE
	if o.Unknown {
		n.State = eelpb.ClaimState_CLAIM_UNKNOWN
	}
	n.Answer = o.Answer
	if c.bytes+int64(len(o.Answer.GetBody())) > c.l.MaxClaimBytes {
		n.Answer = &eelpb.Answer{Status: o.Answer.GetStatus(), Truncated: true}
	}
	c.put(n)
	return &eelpb.ClaimReply{Ok: true, Record: n}
}

// reopen closes the attempt of a taken claim whose dispatch is known not to have run, so that
// a later attempt may take the claim.
func (c *claims) reopen(r *eelpb.ClaimRecord, o *eelpb.ClaimOp) *eelpb.ClaimReply {
	if r.State != eelpb.ClaimState_CLAIM_TAKEN || r.Token != o.Token || r.Vm != o.Vm {
		return &eelpb.ClaimReply{Record: r}
	}
	n := cloneRecord(r)
	n.State = eelpb.ClaimState_CLAIM_CLOSED
	c.put(n)
	return &eelpb.ClaimReply{Ok: true, Record: n}
}

// expire removes claims that are older than ClaimTTL.
func (c *claims) expire(nowMs int64) {
	limit := nowMs - c.l.ClaimTTL.Milliseconds()
	n := 0
	for n < len(c.expiryQueue) && c.expiryQueue[n].atMs < limit {
		id := c.expiryQueue[n].id
		c.bytes -= int64(len(c.records[id].Answer.GetBody()))
		delete(c.records, id)
		n++
	}
	if n > 0 {
		c.expiryQueue = slices.Clone(c.expiryQueue[n:])
	}
}

func (c *claims) image() []*eelpb.ClaimRecord {
	out := make([]*eelpb.ClaimRecord, 0, len(c.records))
	for _, q := range c.expiryQueue {
		out = append(out, c.records[q.id])
	}
	return out
}

func (c *claims) restore(records []*eelpb.ClaimRecord) {
	for _, r := range records {
		c.put(r)
		c.expiryQueue = append(c.expiryQueue, expiryItem{id: r.RequestId, atMs: r.AtMs})
	}
	// An image lists claims in the order in which they were first made. The sort is
	// stable, so that claims of one millisecond expire in the same order on all replicas.
	slices.SortStableFunc(c.expiryQueue, func(a, b expiryItem) int { return cmp.Compare(a.atMs, b.atMs) })
}
