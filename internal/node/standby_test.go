package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"gotest.tools/v3/assert"
)

// Replicas join a group that has lost none, and then one after the other is lost without a successor. A voter that
// is gone must not keep its place beside an even number of others: each of these would be needed for good.
func TestLossesAfterJoins(t *testing.T) {
	tests := []struct {
		name           string
		size, joins    int
		losses         int
		leader, legacy bool
	}{
		{name: "one, the second one is lost", size: 1, joins: 1, losses: 1},
		{name: "one and two more", size: 1, joins: 2, losses: 1},
		{name: "one and two more, the leader is lost", size: 1, joins: 2, losses: 1, leader: true},
		{name: "two and one more", size: 2, joins: 1, losses: 1},
		{name: "three and a fourth", size: 3, joins: 1, losses: 2},
		{name: "three and a fourth, leaders are lost", size: 3, joins: 1, losses: 2, leader: true},
		{name: "three and a fourth that votes", size: 3, joins: 1, losses: 2, legacy: true},
		{name: "three and a fourth that votes, leaders are lost", size: 3, joins: 1, losses: 2, leader: true, legacy: true},
		{name: "three and two more", size: 3, joins: 2, losses: 2},
		{name: "five and a sixth", size: 5, joins: 1, losses: 3},
	}
	for _, tt := range tests {
		for seed := range seeds(t) / 3 {
			t.Run(fmt.Sprintf("%s/seed=%d", tt.name, seed), func(t *testing.T) {
				t.Parallel()
				s := newMaintained(t, seed, tt.size)
				for range tt.joins {
					x := s.addReplica()
					s.maintainMembership(x)
					s.proposeFor(testCatchUp)
					if tt.legacy {
						// Former builds promoted any learner.
						s.changeMembership(func(r *raft.Raft) (raft.Index, error) { return r.Promote(x.id) })
					}
				}
				for i := range tt.losses {
					h := s.victim(tt.leader)
					if tt.size == 1 && !tt.leader {
						h = s.hosts[len(s.hosts)-1]
					}
					s.crash(h)
					h.gone = true
					s.proposeFor(testCatchUp)
					before := len(s.accepted)
					s.proposeFor(time.Second)
					assert.Assert(t, len(s.accepted) > before, "no change was accepted after loss %d", i+1)
				}
				s.healAndVerify()
			})
		}
	}
}

// The successor is lost after the voter that it replaces was removed, and before it was promoted. The two
// voters that are left must take in the next successor, and then bear a loss again.
func TestSuccessorLostBetweenChanges(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 3)
			s.run(5 * time.Second)
			dead, x := s.victim(false), s.addReplica()
			s.crash(dead)
			dead.gone = true
			m := &eelpb.Member{Id: uint64(x.id), Incarnation: x.n.identity.Incarnation, Addr: fmt.Sprint(x.id)}
			s.changeMembership(func(r *raft.Raft) (raft.Index, error) { return r.AddLearner(m) })
			s.changeMembership(func(r *raft.Raft) (raft.Index, error) { return r.Remove(dead.id, 0) })
			s.crash(x)
			x.gone = true
			for _, h := range s.alive() {
				s.maintainMembership(h)
			}
			s.proposeFor(testCatchUp)
			s.maintainMembership(s.addReplica())
			s.proposeFor(testCatchUp)
			s.assertWhole("after the next successor")
			s.replaceForGood(s.victim(seed%2 == 0))
			s.proposeFor(testCatchUp)
			s.assertWhole("after the next loss")
			s.healAndVerify()
		})
	}
}

// Faults in random order, each with its catch-up time: a replica that is replaced, loses its disk or is away, and one that
// is added. After each, any minority of the replicas may be down and the others still commit.
func TestAnyMajorityCommits(t *testing.T) {
	for i := range seeds(t) {
		size, seed := 3+int(i%3), i/3
		t.Run(fmt.Sprintf("replicas=%d/seed=%d", size, seed), func(t *testing.T) {
			t.Parallel()
			s := newMaintained(t, seed, size)
			for round, fault := range s.rnd.Perm(4) {
				switch fault {
				case 0:
					s.replaceForGood(s.victim(s.rnd.IntN(2) == 0))
				case 1:
					s.wipe(s.victim(s.rnd.IntN(2) == 0))
				case 2:
					s.disturbBriefly()
				case 3:
					s.maintainMembership(s.addReplica())
				}
				s.proposeFor(testCatchUp)
				alive := s.alive()
				s.rnd.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
				for _, h := range alive[:(len(alive)-1)/2] {
					s.crash(h)
				}
				s.proposeFor(time.Second)
				before := len(s.accepted)
				s.proposeFor(3 * time.Second)
				assert.Assert(t, len(s.accepted) > before, "round %d: a majority of %d replicas accepted no change", round, len(alive))
				s.heal()
				s.proposeFor(2 * testCatchUp)
			}
			s.healAndVerify()
		})
	}
}
