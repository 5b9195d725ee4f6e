package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"gotest.tools/v3/assert"
)

// Disks whose every write takes up to one and a half election timeouts, as they do
// on a machine that syncs for many, leave the leader in its place, and the group has
// another one in time when it is lost.
func TestSlowDisks(t *testing.T) {
	const (
		slow = raft.DefaultElectionTimeout * 3 / 2
		// inForce is the time in which an accepted change must be in force everywhere.
		inForce = 5 * time.Second
		calm    = 10 * time.Second
	)
	for _, replicas := range []int{3, 5} {
		for seed := range seeds(t) {
			t.Run(fmt.Sprintf("replicas=%d/seed=%d", replicas, seed), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, seed, replicas)
				s.loss, s.slow = 0, slow
				s.work(inForce)
				for round := range 5 {
					l := s.leading()
					assert.Assert(t, l != nil, "round %d: no leader after %s", round, inForce)
					term := l.n.r.Term()
					s.work(calm)
					assert.Assert(t, l == s.leading() && l.n.r.Term() == term, "round %d: the leader lost its place", round)
					s.crash(l)
					s.work(inForce)
					s.boot(l)
				}
				s.finish()
			})
		}
	}
}
