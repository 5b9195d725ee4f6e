package server

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// gatherTimeout bounds the commit of gathered writes; those who wait for it may
// give up sooner, and send again.
const gatherTimeout = 2 * time.Second

// gatherer makes one change of the writes that come while another is under way, so
// that thousands of targets which start together cost the leader some commits.
type gatherer struct {
	mu   sync.Mutex
	next *gathered
	more chan struct{}
}

// gathered are writes that are committed together.
type gathered struct {
	objects []*eelpb.Object
	done    chan struct{}
	version uint64
	err     error
}

// add puts writes into the next change.
func (g *gatherer) add(objects []*eelpb.Object) *gathered {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &gathered{done: make(chan struct{})}
		g.more <- struct{}{}
	}
	g.next.objects = append(g.next.objects, objects...)
	return g.next
}

func (g *gatherer) take() *gathered {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.next
	g.next = nil
	return b
}

// write commits writes that hold at any version, together with those of others, and
// returns the version that has them.
func (s *Server) write(ctx context.Context, objects ...*eelpb.Object) (uint64, error) {
	b := s.gather.add(objects)
	select {
	case <-b.done:
		return b.version, b.err
	case <-ctx.Done():
		return 0, errs.New("server.write", KindOutcomeUnknown, ctx.Err())
	case <-s.g.Context().Done():
		return 0, errs.New("server.write", KindOutcomeUnknown, context.Canceled)
	}
}

// gatherLoop commits what was gathered, one change after the other.
func (s *Server) gatherLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.gather.more:
		}
		b := s.gather.take()
		c, cancel := context.WithTimeout(ctx, gatherTimeout)
		r, err := s.submit(c, &eelpb.Change{Author: systemOwner, Objects: b.objects})
		cancel()
		b.version, b.err = r.GetVersion(), err
		close(b.done)
	}
}
