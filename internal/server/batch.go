package server

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// batchTimeout bounds the commit of a batch. A caller that waits for the commit may have
// a shorter timeout and retry.
const batchTimeout = 2 * time.Second

// batcher combines the writes that arrive during a commit into one change, so that thousands
// of targets that start at the same time cost the leader only a few commits.
type batcher struct {
	mu      sync.Mutex
	next    *batch
	pending chan struct{}
}

// batch is a set of writes that are committed together.
type batch struct {
	objects []*eelpb.Object
	done    chan struct{}
	version uint64
	err     error
}

// compact returns the writes of a change with one write for each object, the one that would
// remain if they were applied one after the other. The state machine compares each write with the
// state before the change only, so that an earlier revision would replace a later one of
// the same change.
func compact(writes []*eelpb.Object) []*eelpb.Object {
	type key struct{ kind, name string }
	out := make([]*eelpb.Object, 0, len(writes))
	position := make(map[key]int, len(writes))
	for _, o := range writes {
		k := key{o.Kind, o.Name}
		i, ok := position[k]
		switch {
		case !ok:
			position[k] = len(out)
			out = append(out, o)
		case o.Revision == 0 || o.Revision > out[i].Revision:
			out[i] = o
		}
	}
	return out
}

// enqueue adds writes to the next batch.
func (g *batcher) enqueue(objects []*eelpb.Object) *batch {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &batch{done: make(chan struct{})}
		g.pending <- struct{}{}
	}
	g.next.objects = append(g.next.objects, objects...)
	return g.next
}

func (g *batcher) dequeue() *batch {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.next
	g.next = nil
	return b
}

// write commits writes that do not depend on a base version, in a batch with concurrent
// writes, and returns the version that contains them.
func (s *Server) write(ctx context.Context, objects ...*eelpb.Object) (uint64, error) {
	b := s.batches.enqueue(objects)
	select {
	case <-b.done:
		return b.version, b.err
	case <-ctx.Done():
		return 0, errs.New("server.write", KindOutcomeUnknown, ctx.Err())
	case <-s.g.Context().Done():
		return 0, errs.New("server.write", KindOutcomeUnknown, context.Canceled)
	}
}

// commitBatches commits the batches one at a time.
func (s *Server) commitBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.batches.pending:
		}
		b := s.batches.dequeue()
		c, cancel := context.WithTimeout(ctx, batchTimeout)
		r, err := s.submit(c, &eelpb.Change{Author: systemOwner, Objects: compact(b.objects)})
		cancel()
		b.version, b.err = r.GetVersion(), err
		close(b.done)
	}
}
