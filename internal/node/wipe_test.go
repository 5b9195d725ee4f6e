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

// wipe replaces a host's disk by an empty one and restarts the host.
func (s *sim) wipe(h *host) {
	s.crash(h)
	h.fs = memfs.New()
	s.boot(h)
}

// leaseHolder returns the host that holds the leader lease, or nil.
func (s *sim) leaseHolder() *host {
	for _, h := range s.hosts {
		if h.n != nil && h.n.Now() < h.n.r.LeaseUntil() {
			return h
		}
	}
	return nil
}

// changeMembership retries a membership change at the leader until it is committed.
func (s *sim) changeMembership(f func(r *raft.Raft) (raft.Index, error)) {
	var last error
	for range 400 {
		l := s.leaseHolder()
		if l == nil {
			s.run(50 * time.Millisecond)
			continue
		}
		var i raft.Index
		var err error
		s.exec(l, func(n *Node) { i, err = f(n.r) })
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
	s.t.Fatalf("membership change was not committed: %v", last)
}

// replace removes the former incarnation of a host, and adds and promotes the current one.
func (s *sim) replace(h *host) {
	id := h.id
	s.changeMembership(func(r *raft.Raft) (raft.Index, error) { return r.Remove(id, 0) })
	m := &eelpb.Member{Id: uint64(id), Incarnation: h.n.identity.Incarnation, Addr: fmt.Sprint(id)}
	s.changeMembership(func(r *raft.Raft) (raft.Index, error) { return r.AddLearner(m) })
	s.changeMembership(func(r *raft.Raft) (raft.Index, error) { return r.Promote(id) })
}

// proposeFor proposes changes for a virtual duration.
func (s *sim) proposeFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.propose()
		s.run(40 * time.Millisecond)
	}
}

// recoveryTimeout allows for several elections: with two replicas left, each lost message
// or split vote costs a whole election timeout.
const recoveryTimeout = 8 * time.Second

// A wiped replica does not count towards a quorum before it is admitted again, and wiping
// a second replica right after that loses no acknowledged change.
func TestWipedReplica(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSim(t, seed, 3)
			s.run(5 * time.Second)
			s.proposeFor(3 * time.Second)
			wiped := s.hosts[s.rnd.IntN(3)]
			other := s.hosts[wiped.id%3]
			s.wipe(wiped)
			s.crash(other)
			s.run(200 * time.Millisecond)
			before := len(s.accepted)
			s.run(2 * time.Second)
			s.proposeFor(4 * time.Second)
			assert.Equal(t, len(s.accepted), before, "wiped replica counted towards a quorum")

			s.boot(other)
			s.proposeFor(recoveryTimeout)
			assert.Assert(t, len(s.accepted) > before, "two intact replicas accepted no change")
			s.replace(wiped)
			s.wipe(other)
			repaired := len(s.accepted)
			s.proposeFor(recoveryTimeout)
			assert.Assert(t, len(s.accepted) > repaired, "group accepted no change after the replacement")
			s.healAndVerify()
		})
	}
}
