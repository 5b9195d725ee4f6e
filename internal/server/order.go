package server

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
)

// hangUpDelay is how long an order waits for the end of its connection, which follows an order whose sender
// has left at once.
const hangUpDelay = 20 * time.Millisecond

// fences numbers the writes of objects without revisions under the leadership of this replica. A change that
// bears the number as of when its sender was waiting takes effect only if the object was not
// written since: it may have been held up on its way, and a later one confirmed meanwhile.
type fences struct {
	mu     sync.Mutex
	term   raft.Term
	writes map[string]uint64
}

// isFenced reports whether the changes of an object are ordered by fences.
func isFenced(k model.ObjectKind) bool { return k == model.ObjectDrain }

// of returns the fence of an object in a term.
func (f *fences) of(o *eelpb.ReadRequest, t raft.Term) *eelpb.Fence {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enter(t)
	if t < f.term {
		return &eelpb.Fence{Term: uint64(t)} // It fits no write any more.
	}
	return &eelpb.Fence{Term: uint64(t), Writes: f.writes[o.Kind+"/"+o.Name]}
}

// pass counts the writes of a change that is put into the log of a term, or fails if the fence is not the
// current one. A nil fence always passes.
func (f *fences) pass(objects []*eelpb.Object, fence *eelpb.Fence, t raft.Term) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enter(t)
	first := objects[0].Kind + "/" + objects[0].Name
	if fence != nil && (fence.Term != uint64(t) || fence.Writes != f.writes[first]) {
		return errs.Newf("server.pass", KindOvertaken, "%s was written since: fence %d of term %d, now %d of term %d",
			first, fence.Writes, fence.Term, f.writes[first], t)
	}
	for _, o := range objects {
		if isFenced(model.ObjectKind(o.Kind)) {
			f.writes[o.Kind+"/"+o.Name]++
		}
	}
	return nil
}

// enter forgets the writes of earlier terms.
func (f *fences) enter(t raft.Term) {
	if t > f.term || f.writes == nil {
		f.term, f.writes = t, map[string]uint64{}
	}
}

// propose commits a command at this replica, and counts its writes.
func (s *Server) propose(ctx context.Context, c *eelpb.Command) (*eelpb.ChangeResult, error) {
	objects, fence := c.Change.Objects, c.Change.Fence
	c.Change.Fence = nil
	var check func(raft.Term) error
	for _, o := range objects {
		if isFenced(model.ObjectKind(o.Kind)) {
			check = func(t raft.Term) error { return s.fences.pass(objects, fence, t) }
		}
	}
	r, err := s.o.Node.ProposeIf(ctx, c, check)
	return r.Change, err
}

// sender is the caller of an order, which waits for a response for a limited time, and then sends the order
// elsewhere, or another one.
type sender struct {
	ctx context.Context
	now func() time.Duration
	// until is when the caller may have left.
	until time.Duration
}

// newSender returns the sender of an order that is read now. Its time began when the order can have arrived
// at the earliest: this process may have been frozen since.
func (s *Server) newSender(ctx context.Context, patience time.Duration) sender {
	return sender{ctx: ctx, now: s.o.Node.Now, until: s.o.Node.EarliestArrival() + patience}
}

// waits reports whether the sender is sure to wait still. The context's own timer may be late after a freeze.
func (x sender) waits() bool { return x.ctx.Err() == nil && x.now() < x.until }

// submitOrdered commits a change of a fenced object while its sender waits. The fence is read at the leader
// before it is known that the sender waits, so that the change takes effect only if nothing was confirmed to the sender
// since.
func (s *Server) submitOrdered(x sender, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	const op = "server.submitOrdered"
	ctx, cancel := context.WithTimeout(x.ctx, x.until-x.now())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(hangUpDelay):
	}
	first := q.Objects[0]
	submitted := false
	r, err := callLeader(ctx, s, func(c context.Context, l eelpb.State) (*eelpb.ChangeResult, error) {
		a, err := l.Read(c, &eelpb.ReadRequest{Kind: first.Kind, Name: first.Name})
		if err != nil {
			return nil, err
		}
		if !x.waits() {
			cancel()
			return nil, errs.Newf(op, KindExpired, "the sender may have left")
		}
		submitted = true
		q.Fence = a.Fence // A leader of an earlier build gives none.
		return l.Submit(c, q)
	})
	if err != nil && !submitted {
		return nil, errs.New(op, KindExpired, err)
	}
	return r, err
}

// submitChange is the leader's part of Submit.
func (s *Server) submitChange(ctx context.Context, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	q.AnyBase = true
	r, err := s.propose(ctx, &eelpb.Command{Change: q})
	if errs.Is(err, KindOvertaken) {
		level.Info(s.o.Log).Log("msg", "order overtaken", "object", q.Objects[0].Name, "err", err)
		return nil, twirp.NewError(twirp.Aborted, err.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return r, nil
}
