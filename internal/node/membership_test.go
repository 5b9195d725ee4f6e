package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

func TestPlanMembership(t *testing.T) {
	type member struct {
		id     uint64
		voter  bool
		silent time.Duration
		region string
	}
	const up, brief, long = 0, 5 * time.Second, time.Minute
	tests := []struct {
		name    string
		members []member
		want    membershipPlan
	}{
		{"nothing to do", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, up, ""}}, membershipPlan{}},
		{"unresponsive voter without replacement is kept", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, long, ""}}, membershipPlan{}},
		{"learner is promoted below the voter limit", []member{{1, true, up, ""}, {2, true, up, ""}, {4, false, up, ""}}, membershipPlan{promote: 4}},
		{"unresponsive learner is not promoted", []member{{1, true, up, ""}, {2, true, up, ""}, {4, false, brief, ""}}, membershipPlan{}},
		{"learner is not promoted at the voter limit", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, up, ""}, {4, false, up, ""}}, membershipPlan{}},
		{"voter in a short partition is kept", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, brief, ""}, {4, false, up, ""}}, membershipPlan{}},
		{"voter that was silent longest is replaced first", []member{{1, true, up, ""}, {2, true, long, ""}, {3, true, 2 * long, ""}, {4, false, up, ""}}, membershipPlan{remove: 3}},
		{"voter is kept until a learner has caught up", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, long, ""}, {4, false, brief, ""}}, membershipPlan{}},
		{"unresponsive voter is replaced", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, long, ""}, {4, false, up, ""}}, membershipPlan{remove: 3}},
		{"unresponsive learner is removed", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, up, ""}, {4, false, long, ""}}, membershipPlan{remove: 4}},
		{"learner of the region with the fewest voters is promoted", []member{{1, true, up, "a"}, {2, true, up, "b"}, {4, false, up, "a"}, {5, false, up, "c"}}, membershipPlan{promote: 5}},
		{"region that holds the quorum loses a voter", []member{{1, true, up, "a"}, {2, true, up, "a"}, {3, true, up, "b"}, {4, false, up, "c"}}, membershipPlan{remove: 2}},
		{"leader is not removed", []member{{1, true, up, "a"}, {2, true, up, "b"}, {3, true, up, "a"}, {4, false, up, "c"}}, membershipPlan{remove: 3}},
		{"no replacement by a region that already has a voter", []member{{1, true, up, "a"}, {2, true, up, "a"}, {3, true, up, "b"}, {4, false, up, "b"}}, membershipPlan{}},
		{"no rebalancing while another voter is unresponsive", []member{{1, true, up, "a"}, {2, true, up, "a"}, {3, true, brief, "b"}, {4, false, up, "c"}}, membershipPlan{}},
		{"silent voter of an even group goes without a successor", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, long, ""}, {4, true, up, ""}}, membershipPlan{remove: 3}},
		{"voter of an even group in a short partition is kept", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, brief, ""}, {4, true, up, ""}}, membershipPlan{}},
		{"one of two is never removed without a successor", []member{{1, true, up, ""}, {2, true, long, ""}}, membershipPlan{}},
		{"single voter is not joined by one more", []member{{1, true, up, ""}, {4, false, up, ""}}, membershipPlan{}},
		{"single voter is joined by two more", []member{{1, true, up, ""}, {4, false, up, ""}, {5, false, up, ""}}, membershipPlan{promote: 4}},
		{"no rebalancing without regions", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, up, ""}, {4, false, up, ""}}, membershipPlan{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &eelpb.Membership{}
			silent := map[raft.ReplicaID]time.Duration{}
			for _, m := range tt.members {
				s.Members = append(s.Members, &eelpb.Member{Id: m.id, Voter: m.voter, Region: m.region})
				silent[raft.ReplicaID(m.id)] = m.silent
			}
			got := planMembership(s, 3, 1, 8*time.Second, func(id raft.ReplicaID) contact {
				return contact{silent: silent[id], caughtUp: silent[id] == 0}
			})
			assert.Equal(t, got, tt.want)
		})
	}
}

// testCluster is a group of replicas in one process that join through seeds. It is
// their Transport.
type testCluster struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*Node
	seeds []string
	dirs  map[string]string
	// regions holds the region of each replica by address.
	regions map[string]model.RegionID
	// hanging holds the addresses at which join requests are not answered, as on a VM without power.
	hanging map[string]bool
}

func (c *testCluster) lookup(addr string) (*Node, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.nodes[addr]
	if !ok {
		return nil, fmt.Errorf("replica %s is down", addr)
	}
	return n, nil
}

func (c *testCluster) Send(_ context.Context, addr string, m []*eelpb.Message) error {
	n, err := c.lookup(addr)
	if err != nil {
		return err
	}
	n.Step(m)
	return nil
}

func (c *testCluster) Identify(_ context.Context, addr string) (*eelpb.IdentifyReply, error) {
	n, err := c.lookup(addr)
	if err != nil {
		return nil, err
	}
	return n.Identify(), nil
}

func (c *testCluster) Join(ctx context.Context, addr string, m *eelpb.Member) (*eelpb.JoinReply, error) {
	if c.hanging[addr] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n, err := c.lookup(addr)
	if err != nil {
		return nil, err
	}
	if !n.IsLeader() {
		return &eelpb.JoinReply{LeaderAddr: n.Status().LeaderAddr}, nil
	}
	ok, err := n.Admit(ctx, m)
	return &eelpb.JoinReply{Joined: ok}, err
}

// start starts replica i. Only replicas started with first set form the group.
func (c *testCluster) start(i int, first bool) {
	c.t.Helper()
	addr := fmt.Sprint(i)
	o := Options{
		ID: raft.ReplicaID(i), Dir: c.dirs[addr], Addr: addr, Transport: c, Log: log.NewNopLogger(),
		Seeds: func() []string { return c.seeds }, MaxVoters: 5, Region: c.regions[addr],
	}
	if first {
		for j := range c.seeds {
			o.Peers = append(o.Peers, Peer{ID: raft.ReplicaID(j + 1), Addr: fmt.Sprint(j + 1)})
		}
	}
	n, err := New(o)
	assert.NilError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[addr] = n
}

func (c *testCluster) stop(i int) {
	c.t.Helper()
	c.mu.Lock()
	n := c.nodes[fmt.Sprint(i)]
	delete(c.nodes, fmt.Sprint(i))
	c.mu.Unlock()
	assert.NilError(c.t, n.Close())
}

// isCurrent reports whether a member is the incarnation that runs at its address now.
func (c *testCluster) isCurrent(m MemberStatus) bool {
	n, ok := c.nodes[m.Addr]
	return ok && n.Identify().Incarnation == m.Incarnation
}

// waitForVoters waits until the leader has the given number of voters that are up to
// date and in their current incarnation.
func (c *testCluster) waitForVoters(want int) {
	c.t.Helper()
	got := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		for _, n := range c.nodes {
			if !n.IsLeader() {
				continue
			}
			got = 0
			s := n.Status()
			for _, m := range s.Members {
				if m.Voter && c.isCurrent(m) && (m.Match == s.Commit || m.ID == s.ID) {
					got++
				}
			}
		}
		c.mu.Unlock()
		if got == want {
			return
		}
	}
	c.t.Fatalf("leader has %d current voters, want %d", got, want)
}

// Three seeds form a group, two more replicas join it, and a replica that lost its disk
// rejoins without an operator and without forming a group of its own.
func TestJoinBySeeds(t *testing.T) {
	c := &testCluster{t: t, nodes: map[string]*Node{}, seeds: []string{"1", "2", "3"}, dirs: map[string]string{}}
	for i := 1; i <= 5; i++ {
		c.dirs[fmt.Sprint(i)] = t.TempDir()
	}
	c.start(5, false)
	c.start(2, true)
	c.start(4, false)
	c.start(1, true)
	c.start(3, true)
	c.waitForVoters(5)
	n, err := c.lookup("2")
	assert.NilError(t, err)
	old := n.Identify().Incarnation
	c.stop(2)
	c.dirs["2"] = t.TempDir()
	c.start(2, false)
	c.waitForVoters(5)
	n, err = c.lookup("2")
	assert.NilError(t, err)
	assert.Assert(t, n.Identify().Formed)
	assert.Assert(t, n.Identify().Incarnation != old)
	for i := 1; i <= 5; i++ {
		c.stop(i)
	}
}

// Even if all three seeds are in one region, the loss of that region must not lose the
// quorum once there are replicas in other regions.
func TestVotersSpreadOverRegions(t *testing.T) {
	c := &testCluster{
		t: t, nodes: map[string]*Node{}, seeds: []string{"1", "2", "3"}, dirs: map[string]string{},
		regions: map[string]model.RegionID{"1": "a", "2": "a", "3": "a", "4": "b", "5": "b", "6": "b", "7": "c"},
	}
	for i := 1; i <= 7; i++ {
		c.dirs[fmt.Sprint(i)] = t.TempDir()
		c.start(i, i <= 3)
	}
	maxPerRegion := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		counts := c.votersByRegion()
		maxPerRegion = max(counts["a"], counts["b"], counts["c"])
		if counts["a"]+counts["b"]+counts["c"] == 5 && maxPerRegion == 2 {
			break
		}
	}
	assert.Equal(t, maxPerRegion, 2)
	c.waitForVoters(5)
	for i := 1; i <= 7; i++ {
		c.stop(i)
	}
}

// Of the addresses that a new replica is told, those of replicas that are gone do not answer. It must not
// wait for them one after the other: it has its place only once it has joined.
func TestJoinPastReplicasThatAreGone(t *testing.T) {
	c := &testCluster{t: t, nodes: map[string]*Node{}, seeds: []string{"1", "2"}, dirs: map[string]string{}}
	for i := 1; i <= 3; i++ {
		c.dirs[fmt.Sprint(i)] = t.TempDir()
	}
	for i := 1; i <= 2; i++ {
		c.start(i, true)
	}
	c.waitForVoters(2)
	c.seeds, c.hanging = []string{"8", "9", "2"}, map[string]bool{"8": true, "9": true}
	from := time.Now()
	c.start(3, false)
	c.waitForVoters(3)
	d := time.Since(from)
	assert.Assert(t, d < joinTimeout, "the replica became a voter after %v", d)
	for i := 1; i <= 3; i++ {
		c.stop(i)
	}
}

// votersByRegion counts the voters in the leader's membership by region.
func (c *testCluster) votersByRegion() map[model.RegionID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[model.RegionID]int{}
	for _, n := range c.nodes {
		if !n.IsLeader() {
			continue
		}
		for _, m := range n.Status().Members {
			if m.Voter {
				out[m.Region]++
			}
		}
	}
	return out
}
