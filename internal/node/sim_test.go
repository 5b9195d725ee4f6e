package node

import (
	"bytes"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/memfs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the first event.
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// host is a replica's VM: its disk, its clock and, while it runs, its node.
type host struct {
	id     raft.ReplicaID
	fs     *memfs.FS
	n      *Node
	rate   float64
	offset time.Duration
	frozen bool
	// gone is set once the host and its disk are lost for good.
	gone bool
	// stalledUntil is the end of the current disk stall.
	stalledUntil time.Duration
	// version is the highest catalogue version that the replica has shown since its start.
	version uint64
	// checkedIndex is the index at which the state was last compared with other replicas.
	checkedIndex raft.Index
}

// sim is a simulated group of replicas with a virtual clock, a lossy network and disks that
// lose power.
type sim struct {
	t   *testing.T
	rnd *rand.Rand
	// diskRand is the random source of write times and disk stalls.
	diskRand *rand.Rand
	now      time.Duration
	seq      int
	queue    events
	hosts    []*host
	blocked  map[[2]raft.ReplicaID]bool
	loss     float64
	// maxWriteDelay is the maximum additional write time, as on disks that are shared.
	// Each write takes at least half of it.
	maxWriteDelay time.Duration
	leaders       map[raft.Term]raft.ReplicaID
	// images holds the state image by index, which must be the same on all replicas.
	images map[raft.Index][]byte
	// accepted holds the acknowledged change ids by version.
	accepted        map[uint64]string
	highestAccepted uint64
	proposed        int
}

func newSim(t *testing.T, seed uint64, replicas int) *sim {
	s := &sim{
		t: t, rnd: rand.New(rand.NewPCG(seed, 0)), diskRand: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]raft.ReplicaID]bool{}, loss: 0.03,
		leaders: map[raft.Term]raft.ReplicaID{}, images: map[raft.Index][]byte{}, accepted: map[uint64]string{},
	}
	first := &eelpb.Membership{}
	for i := 1; i <= replicas; i++ {
		h := &host{
			id: raft.ReplicaID(i), fs: memfs.New(), rate: 0.995 + 0.01*s.rnd.Float64(),
			offset: time.Duration(s.rnd.Int64N(int64(time.Hour))),
		}
		s.hosts = append(s.hosts, h)
		s.boot(h)
		first.Members = append(first.Members, &eelpb.Member{
			Id: uint64(i), Incarnation: h.n.identity.Incarnation, Addr: fmt.Sprint(i), Voter: true,
		})
	}
	for _, h := range s.hosts {
		assert.NilError(t, h.n.bootstrap(first))
		s.tick(h)
	}
	return s
}

// boot starts a host's node from the contents of its disk.
func (s *sim) boot(h *host) {
	n, err := open(Options{ID: h.id, Dir: "/d", Addr: fmt.Sprint(h.id), Log: log.NewNopLogger(), SnapshotBytes: 4096, MaxVoters: DefaultMaxVoters, CatchUp: testCatchUp}, environment{
		fs: h.fs, random: s.rnd.Uint64,
		clock: func() time.Duration { return time.Duration(float64(s.now)*h.rate) + h.offset },
	})
	assert.NilError(s.t, err, "replica %d failed to start", h.id)
	n.transmit = func(addr string, m *eelpb.Message) { s.send(h, addr, proto.Clone(m).(*eelpb.Message)) }
	n.write = func(w func() error) { s.after(s.writeTime(h), func() { s.write(h, n, w) }) }
	// A restarted replica applies its log again; until then it rejects readers that have
	// seen a higher version.
	h.n, h.version, h.checkedIndex = n, 0, 0
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, f: f})
}

func (s *sim) tick(h *host) {
	s.after(tickInterval, func() {
		s.tick(h)
		s.exec(h, func(n *Node) { n.r.Tick(n.Now()) })
	})
}

// exec runs a function on a host's node and handles the resulting output. A host that
// loses power meanwhile stops.
func (s *sim) exec(h *host, f func(n *Node)) {
	n := h.n
	if n == nil || h.frozen {
		return
	}
	n.withLock(func() { f(n) })
	if err := n.processReady(); err != nil {
		assert.Assert(s.t, h.fs.PowerLost(), "replica %d: %v", h.id, err)
		s.crash(h)
		return
	}
	s.checkInvariants(h)
}

const (
	// syncTime is the maximum time of a write on a healthy disk.
	syncTime = 3 * time.Millisecond
	// stallTime is the maximum duration of a disk stall: several election timeouts.
	stallTime = 3 * time.Second
)

func (s *sim) writeTime(h *host) time.Duration {
	d := time.Duration(s.diskRand.Int64N(int64(syncTime)))
	if s.maxWriteDelay > 0 {
		d += s.maxWriteDelay/2 + time.Duration(s.diskRand.Int64N(int64(s.maxWriteDelay/2)))
	}
	return max(d, h.stalledUntil-s.now)
}

// write runs a node's pending write, unless its host lost power before.
func (s *sim) write(h *host, n *Node, w func() error) {
	if h.n != n {
		return
	}
	if h.frozen {
		s.after(tickInterval, func() { s.write(h, n, w) })
		return
	}
	if err := n.finishWrite(w()); err != nil {
		assert.Assert(s.t, h.fs.PowerLost(), "replica %d: %v", h.id, err)
		s.crash(h)
		return
	}
	s.exec(h, func(*Node) {})
}

func (s *sim) send(from *host, addr string, m *eelpb.Message) {
	to := s.byAddr(addr)
	copies := 1
	if s.rnd.Float64() < s.loss {
		copies = s.rnd.IntN(2) * 2
	}
	for range copies {
		s.after(time.Millisecond+time.Duration(s.rnd.Int64N(int64(60*time.Millisecond))), func() {
			if !s.blocked[[2]raft.ReplicaID{from.id, to.id}] {
				s.exec(to, func(n *Node) {
					n.r.Tick(n.Now())
					n.step(proto.Clone(m).(*eelpb.Message))
				})
			}
		})
	}
}

func (s *sim) byAddr(addr string) *host {
	for _, h := range s.hosts {
		if fmt.Sprint(h.id) == addr {
			return h
		}
	}
	s.t.Fatalf("no host has address %q", addr)
	return nil
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
	}
	s.now = end
}

// checkInvariants checks the invariants that must hold after every step.
func (s *sim) checkInvariants(h *host) {
	n := h.n
	if n.r.Role() == raft.Leader {
		old, ok := s.leaders[n.r.Term()]
		assert.Assert(s.t, !ok || old == h.id, "term %d has leaders %d and %d", n.r.Term(), old, h.id)
		s.leaders[n.r.Term()] = h.id
	}
	v := uint64(n.machine.Version())
	assert.Assert(s.t, v >= h.version, "replica %d: version decreased from %d to %d", h.id, h.version, v)
	h.version = v
	s.checkLease()
	// The state changes only with the index, and images of many changes are large.
	if s.rnd.IntN(20) == 0 && n.r.Applied() != h.checkedIndex {
		h.checkedIndex = n.r.Applied()
		s.checkState(n)
	}
}

// checkState compares the state with that of other replicas at the same index.
func (s *sim) checkState(n *Node) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(n.machine.Image())
	assert.NilError(s.t, err)
	i := n.r.Applied()
	if old, ok := s.images[i]; ok {
		assert.Assert(s.t, bytes.Equal(old, b), "states differ at index %d", i)
	}
	s.images[i] = b
}

// checkLease checks that at most one replica holds the leader lease, and that it shows
// every acknowledged change.
func (s *sim) checkLease() {
	holder := raft.ReplicaID(0)
	for _, h := range s.hosts {
		if h.n == nil || h.n.Now() >= h.n.r.LeaseUntil() {
			continue
		}
		v := uint64(h.n.machine.Version())
		assert.Assert(s.t, v >= s.highestAccepted, "leader %d shows version %d after %d was acknowledged", h.id, v, s.highestAccepted)
		assert.Assert(s.t, holder == 0, "replicas %d and %d both hold the leader lease", holder, h.id)
		holder = h.id
	}
}

// propose proposes a change at each leader, based on its version, and records the change once
// it is acknowledged.
func (s *sim) propose() {
	for _, h := range s.hosts {
		if h.n == nil || h.frozen || h.n.r.Role() != raft.Leader {
			continue
		}
		s.proposed++
		id := fmt.Sprintf("c%d", s.proposed)
		c := &eelpb.Command{Change: &eelpb.Change{
			ChangeId: id, BaseVersion: uint64(h.n.machine.Version()),
			Objects: []*eelpb.Object{{Kind: "region", Name: fmt.Sprintf("r%d", s.rnd.IntN(50)), Spec: bytes.Repeat([]byte("x"), 40)}},
		}}
		b, err := proto.Marshal(c)
		assert.NilError(s.t, err)
		done := make(chan outcome, 1)
		s.exec(h, func(n *Node) { n.proposeAll(proposal{data: b, done: done}) })
		s.await(id, done)
	}
}

func (s *sim) await(id string, done chan outcome) {
	select {
	case o := <-done:
		if o.err == nil && o.result.Change.Accepted {
			old, ok := s.accepted[o.result.Change.Version]
			assert.Assert(s.t, !ok || old == id, "version %d was assigned to changes %s and %s", o.result.Change.Version, old, id)
			s.accepted[o.result.Change.Version] = id
			s.highestAccepted = max(s.highestAccepted, o.result.Change.Version)
		}
	default:
		s.after(10*time.Millisecond, func() { s.await(id, done) })
	}
}

// crash cuts the power of a host.
func (s *sim) crash(h *host) {
	if h.n == nil {
		return
	}
	h.n.failWaiters()
	h.n, h.frozen = nil, false
	h.fs.Crash(s.rnd)
}

// injectFault injects a random fault, or heals all of them; half of the time it also stalls a
// disk.
func (s *sim) injectFault() {
	if s.diskRand.IntN(2) == 0 {
		h := s.hosts[s.diskRand.IntN(len(s.hosts))]
		h.stalledUntil = s.now + time.Duration(s.diskRand.Int64N(int64(stallTime)))
	}
	h := s.hosts[s.rnd.IntN(len(s.hosts))]
	switch s.rnd.IntN(7) {
	case 0:
		s.crash(h)
	case 1:
		if h.n != nil {
			h.fs.FailAfter = 1 + s.rnd.IntN(12)
		}
	case 2:
		h.frozen = h.n != nil
	case 3, 4:
		o := s.hosts[s.rnd.IntN(len(s.hosts))]
		s.blocked[[2]raft.ReplicaID{h.id, o.id}] = true
		if s.rnd.IntN(2) == 0 {
			s.blocked[[2]raft.ReplicaID{o.id, h.id}] = true
		}
	default:
		s.heal()
	}
}

// heal ends all faults and restarts stopped hosts. A pending FailAfter stays.
func (s *sim) heal() {
	clear(s.blocked)
	for _, h := range s.hosts {
		h.frozen = false
		h.stalledUntil = 0
		if h.n == nil && !h.gone {
			s.boot(h)
		}
	}
}

// healAndVerify ends all faults and checks that no acknowledged change was lost.
func (s *sim) healAndVerify() {
	s.heal()
	s.loss = 0
	for _, h := range s.hosts {
		h.fs.FailAfter = -1
	}
	s.run(10 * time.Second)
	s.propose()
	s.run(3 * time.Second)
	for _, h := range s.hosts {
		if h.gone || !h.n.r.Formed() {
			continue
		}
		s.checkState(h.n)
		for v, id := range s.accepted {
			r, ok := h.n.machine.Result(id)
			assert.Assert(s.t, ok && r.Accepted && r.Version == v, "replica %d lost change %s, acknowledged as version %d", h.id, id, v)
		}
	}
}

var seedCount = flag.Uint64("seeds", 12, "number of seeds per randomized test")

// seeds returns the number of seeds that a test runs, and logs it.
func seeds(t *testing.T) uint64 {
	t.Logf("seeds 0 to %d", *seedCount-1)
	return *seedCount
}

func TestRandomFaults(t *testing.T) {
	accepted, terms := 0, 0
	for _, replicas := range []int{3, 5} {
		for seed := range seeds(t) {
			t.Run(fmt.Sprintf("replicas=%d/seed=%d", replicas, seed), func(t *testing.T) {
				s := newSim(t, seed, replicas)
				for range 150 {
					s.run(time.Duration(s.rnd.Int64N(int64(400 * time.Millisecond))))
					s.propose()
					if s.rnd.IntN(3) == 0 {
						s.injectFault()
					}
				}
				s.healAndVerify()
				accepted += len(s.accepted)
				terms += len(s.leaders)
			})
		}
	}
	t.Logf("%d changes acknowledged under %d leaders", accepted, terms)
	assert.Assert(t, uint64(accepted) > 20**seedCount, "too few accepted changes for a meaningful test")
}
