package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/memfs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"gotest.tools/v3/assert"
)

// wipe replaces a host's disk by an empty one and starts the host again.
func (s *sim) wipe(h *host) {
	s.crash(h)
	h.fs = memfs.New()
	s.boot(h)
}

// leading returns the host that holds the leader's lease, or nil.
func (s *sim) leading() *host {
	for _, h := range s.hosts {
		if h.n != nil && h.n.Now() < h.n.r.LeaseUntil() {
			return h
		}
	}
	return nil
}

// change retries a membership change at the leader until it is committed.
func (s *sim) change(f func(r *raft.Raft) (raft.Index, error)) {
	var last error
	for range 400 {
		l := s.leading()
		if l == nil {
			s.run(50 * time.Millisecond)
			continue
		}
		var i raft.Index
		var err error
		s.do(l, func(n *Node) { i, err = f(n.r) })
		if err != nil {
			last = err
			s.run(50 * time.Millisecond)
			continue
		}
		for range 40 {
			s.run(25 * time.Millisecond)
			if l.n != nil && l.n.r.Commit() >= i {
				return
			}
		}
	}
	s.t.Fatalf("the membership change was not committed: %v", last)
}

// replace admits a host's new disk in the place of its old one.
func (s *sim) replace(h *host) {
	id := h.id
	s.change(func(r *raft.Raft) (raft.Index, error) { return r.Remove(id, 0) })
	m := &eelpb.Member{Id: uint64(id), Incarnation: h.n.identity.Incarnation, Addr: fmt.Sprint(id)}
	s.change(func(r *raft.Raft) (raft.Index, error) { return r.AddLearner(m) })
	s.change(func(r *raft.Raft) (raft.Index, error) { return r.Promote(id) })
}

// work proposes for a while.
func (s *sim) work(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.propose()
		s.run(40 * time.Millisecond)
	}
}

// electionLimit leaves time for several elections: with two replicas left, one lost
// message or a split vote costs a whole election timeout each.
const electionLimit = 8 * time.Second

// A wiped replica is not counted before it was admitted again, and the loss of
// a second VM right after that loses nothing.
func TestWipedReplica(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSim(t, seed, 3)
			s.run(5 * time.Second)
			s.work(3 * time.Second)
			wiped := s.hosts[s.rnd.IntN(3)]
			other := s.hosts[wiped.id%3]
			s.wipe(wiped)
			s.crash(other)
			s.run(200 * time.Millisecond)
			before := len(s.accepted)
			s.run(2 * time.Second)
			s.work(4 * time.Second)
			assert.Equal(t, len(s.accepted), before, "a wiped replica was counted")

			s.boot(other)
			s.work(electionLimit)
			assert.Assert(t, len(s.accepted) > before, "two old replicas accept changes")
			s.replace(wiped)
			s.wipe(other)
			repaired := len(s.accepted)
			s.work(electionLimit)
			assert.Assert(t, len(s.accepted) > repaired, "the repaired group accepts changes")
			s.finish()
		})
	}
}
