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
		{"a silent voter without a successor stays", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, long, ""}}, membershipPlan{}},
		{"room for a voter", []member{{1, true, up, ""}, {2, true, up, ""}, {4, false, up, ""}}, membershipPlan{promote: 4}},
		{"a learner that is silent does not vote", []member{{1, true, up, ""}, {2, true, up, ""}, {4, false, brief, ""}}, membershipPlan{}},
		{"no room", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, up, ""}, {4, false, up, ""}}, membershipPlan{}},
		{"a voter in a short partition stays", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, brief, ""}, {4, false, up, ""}}, membershipPlan{}},
		{"a voter that is gone gives way", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, long, ""}, {4, false, up, ""}}, membershipPlan{remove: 3}},
		{"a learner that is gone is forgotten", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, up, ""}, {4, false, long, ""}}, membershipPlan{remove: 4}},
		{"the learner of the region with the fewest voters", []member{{1, true, up, "a"}, {2, true, up, "b"}, {4, false, up, "a"}, {5, false, up, "c"}}, membershipPlan{promote: 5}},
		{"a region that could end the quorum gives a voter up", []member{{1, true, up, "a"}, {2, true, up, "a"}, {3, true, up, "b"}, {4, false, up, "c"}}, membershipPlan{remove: 2}},
		{"but not the leader", []member{{1, true, up, "a"}, {2, true, up, "b"}, {3, true, up, "a"}, {4, false, up, "c"}}, membershipPlan{remove: 3}},
		{"not for a region that has one already", []member{{1, true, up, "a"}, {2, true, up, "a"}, {3, true, up, "b"}, {4, false, up, "b"}}, membershipPlan{}},
		{"not while another voter is silent", []member{{1, true, up, "a"}, {2, true, up, "a"}, {3, true, brief, "b"}, {4, false, up, "c"}}, membershipPlan{}},
		{"not where regions are not told", []member{{1, true, up, ""}, {2, true, up, ""}, {3, true, up, ""}, {4, false, up, ""}}, membershipPlan{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &eelpb.Membership{}
			silent := map[raft.ReplicaID]time.Duration{}
			for _, m := range tt.members {
				s.Members = append(s.Members, &eelpb.Member{Id: m.id, Voter: m.voter, Region: m.region})
				silent[raft.ReplicaID(m.id)] = m.silent
			}
			got := planMembership(s, 3, 1, func(id raft.ReplicaID) time.Duration { return silent[id] })
			assert.Equal(t, got, tt.want)
		})
	}
}

// club is a group of replicas in one process that find each other by seeds.
type club struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*Node
	seeds []string
	dirs  map[string]string
	// regions are where the replicas are.
	regions map[string]model.RegionID
}

func (c *club) at(addr string) (*Node, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.nodes[addr]
	if !ok {
		return nil, fmt.Errorf("replica %s is down", addr)
	}
	return n, nil
}

func (c *club) Send(_ context.Context, addr string, m []*eelpb.Message) error {
	n, err := c.at(addr)
	if err != nil {
		return err
	}
	n.Step(m)
	return nil
}

func (c *club) Identify(_ context.Context, addr string) (*eelpb.IdentifyReply, error) {
	n, err := c.at(addr)
	if err != nil {
		return nil, err
	}
	return n.Identify(), nil
}

func (c *club) Join(ctx context.Context, addr string, m *eelpb.Member) (*eelpb.JoinReply, error) {
	n, err := c.at(addr)
	if err != nil {
		return nil, err
	}
	if !n.IsLeader() {
		return &eelpb.JoinReply{LeaderAddr: n.Status().LeaderAddr}, nil
	}
	ok, err := n.Admit(ctx, m)
	return &eelpb.JoinReply{Joined: ok}, err
}

// start starts the replica with the number; only those of the first start form the group.
func (c *club) start(i int, first bool) {
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

func (c *club) stop(i int) {
	c.t.Helper()
	c.mu.Lock()
	n := c.nodes[fmt.Sprint(i)]
	delete(c.nodes, fmt.Sprint(i))
	c.mu.Unlock()
	assert.NilError(c.t, n.Close())
}

// current tells whether a member is the replica that runs at its address now.
func (c *club) current(m MemberStatus) bool {
	n, ok := c.nodes[m.Addr]
	return ok && n.Identify().Incarnation == m.Incarnation
}

// voters waits until the leader counts the number of voters, all of them up to date
// and with the disks that they have now.
func (c *club) voters(want int) {
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
				if m.Voter && c.current(m) && (m.Match == s.Commit || m.ID == s.ID) {
					got++
				}
			}
		}
		c.mu.Unlock()
		if got == want {
			return
		}
	}
	c.t.Fatalf("the leader counts %d voters, not %d", got, want)
}

// Three seeds form a group, two more replicas find it, and one that lost its disk
// comes back by itself, without forming a group of its own.
func TestReplicasFindEachOther(t *testing.T) {
	c := &club{t: t, nodes: map[string]*Node{}, seeds: []string{"1", "2", "3"}, dirs: map[string]string{}}
	for i := 1; i <= 5; i++ {
		c.dirs[fmt.Sprint(i)] = t.TempDir()
	}
	c.start(5, false)
	c.start(2, true)
	c.start(4, false)
	c.start(1, true)
	c.start(3, true)
	c.voters(5)
	n, err := c.at("2")
	assert.NilError(t, err)
	old := n.Identify().Incarnation
	c.stop(2)
	c.dirs["2"] = t.TempDir()
	c.start(2, false)
	c.voters(5)
	n, err = c.at("2")
	assert.NilError(t, err)
	assert.Assert(t, n.Identify().Formed)
	assert.Assert(t, n.Identify().Incarnation != old)
	for i := 1; i <= 5; i++ {
		c.stop(i)
	}
}

// Where all three seeds are in one region, its loss must not take the quorum along
// once there are replicas elsewhere.
func TestVotersSpreadOverRegions(t *testing.T) {
	c := &club{
		t: t, nodes: map[string]*Node{}, seeds: []string{"1", "2", "3"}, dirs: map[string]string{},
		regions: map[string]model.RegionID{"1": "a", "2": "a", "3": "a", "4": "b", "5": "b", "6": "b", "7": "c"},
	}
	for i := 1; i <= 7; i++ {
		c.dirs[fmt.Sprint(i)] = t.TempDir()
		c.start(i, i <= 3)
	}
	most := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		in := c.votersIn()
		most = max(in["a"], in["b"], in["c"])
		if in["a"]+in["b"]+in["c"] == 5 && most == 2 {
			break
		}
	}
	assert.Equal(t, most, 2)
	c.voters(5)
	for i := 1; i <= 7; i++ {
		c.stop(i)
	}
}

// votersIn counts the voters that the leader names by region.
func (c *club) votersIn() map[model.RegionID]int {
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
