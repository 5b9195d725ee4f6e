package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"gotest.tools/v3/assert"
)

// Disks on which every write takes up to one and a half election timeouts, as on a
// machine with many syncing processes, do not cost the leader its leadership. When the
// leader crashes, the group elects another within maxPropagationTime.
func TestSlowDisks(t *testing.T) {
	const (
		maxWriteDelay = raft.DefaultElectionTimeout * 3 / 2
		// maxPropagationTime is the time within which an accepted change must be in force everywhere.
		maxPropagationTime = 5 * time.Second
		stablePeriod       = 10 * time.Second
	)
	// Elections failed with these seeds before: two candidates split the votes and
	// waited for the remaining votes longer than the bound.
	failedSeeds := map[int][]uint64{5: {4, 54}}
	for _, replicas := range []int{3, 5} {
		list := failedSeeds[replicas]
		for seed := range seeds(t) {
			if !slices.Contains(list, seed) {
				list = append(list, seed)
			}
		}
		for _, seed := range list {
			t.Run(fmt.Sprintf("replicas=%d/seed=%d", replicas, seed), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, seed, replicas)
				s.loss, s.maxWriteDelay = 0, maxWriteDelay
				s.proposeFor(maxPropagationTime)
				for round := range 5 {
					l := s.leaseHolder()
					assert.Assert(t, l != nil, "round %d: no leader after %s", round, maxPropagationTime)
					term := l.n.r.Term()
					s.proposeFor(stablePeriod)
					assert.Assert(t, l == s.leaseHolder() && l.n.r.Term() == term, "round %d: the leader lost its leadership", round)
					s.crash(l)
					s.proposeFor(maxPropagationTime)
					s.boot(l)
				}
				s.healAndVerify()
			})
		}
	}
}
