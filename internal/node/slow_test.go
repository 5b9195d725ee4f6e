package node

import (
	"fmt"
	"slices"
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
	// Elections of these seeds failed once: two candidates split the votes, and
	// waited for the rest of them longer than the bound.
	failed := map[int][]uint64{5: {4, 54}}
	for _, replicas := range []int{3, 5} {
		list := failed[replicas]
		for seed := range seeds(t) {
			if !slices.Contains(list, seed) {
				list = append(list, seed)
			}
		}
		for _, seed := range list {
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
