// Package node runs one state replica: it drives the consensus core with the
// store, the clock and the messages of its peers, and applies committed
// commands to the state machine.
//
// # Usage
//
//	n, err := node.New(node.Options{ID: 1, Dir: dir, Peers: peers, Send: send, Log: l})
//	r, err := n.Propose(ctx, command)
//	err = n.Close()
//
// A new group forms once, when all its first replicas answer and none of them
// holds anything. From then on a replica with an empty disk is a stranger until
// an operator replaces it.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/clock"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/internal/store"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
)

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindNotLeader Kind = "notLeader"
	KindLost      Kind = "outcomeUnknown"
	KindStopped   Kind = "stopped"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	tickInterval = 10 * time.Millisecond
	// snapshotBytes is the size of the log file at which a snapshot replaces it.
	snapshotBytes = 16 << 20
	// maxBatch bounds the commands that one sync makes durable.
	maxBatch   = 512
	inboxSize  = 4096
	outboxSize = 1024
)

// Peer is another replica as the settings name it.
type Peer struct {
	ID   raft.ReplicaID
	Addr string
}

// Options are the settings of a replica.
type Options struct {
	ID        raft.ReplicaID
	Dir       string
	Addr      string
	Peers     []Peer
	Transport Transport
	Limits    state.Limits
	Log       log.Logger
	// SnapshotBytes overrides the size of the log file at which a snapshot is made.
	SnapshotBytes int64
	// Seeds returns addresses to ask to be taken into the group. Without it the
	// membership changes only when an operator says so.
	Seeds func() []string
	// Region is where the replica is; voters are spread over regions as far as they are told.
	Region model.RegionID
	// MaxVoters is how many voters the group keeps by itself, where it has Seeds.
	MaxVoters int
}

type proposal struct {
	data []byte
	done chan outcome
}

type outcome struct {
	result state.Result
	err    error
}

type waiter struct {
	term raft.Term
	done chan outcome
}

// Node is one running replica.
type Node struct {
	o        Options
	g        *group.Group
	st       *store.Store
	identity store.Identity
	machine  *state.Machine
	w        world
	// post sends a message to an address.
	post func(addr string, m *eelpb.Message)
	// write makes something durable; finishWrite takes the outcome later.
	write func(w func() error)

	mu       sync.Mutex
	r        *raft.Raft
	hard     *eelpb.HardState
	snapshot *eelpb.Snapshot
	waiters  map[raft.Index]waiter
	// finish is set while the disk is at work, and called when it is done.
	finish func()
	// writeFrom is when the last write began.
	writeFrom time.Duration
	senders   map[raft.ReplicaID]string
	// leader and term are the last that were logged.
	leader raft.ReplicaID
	term   raft.Term

	inbox     chan *eelpb.Message
	proposals chan proposal
	calls     chan func()
	writes    chan func() error
	written   chan error
	outboxes  sync.Map
	// admitting allows one change of the membership at a time.
	admitting sync.Mutex
	commits   atomic.Int64
	syncs     atomic.Int64
}

// New opens the replica's folder and starts it.
func New(o Options) (*Node, error) {
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = snapshotBytes
	}
	if o.MaxVoters == 0 {
		o.MaxVoters = DefaultMaxVoters
	}
	return start(o, world{fs: store.OS(), clock: clock.Since(), random: rand.Uint64})
}

// start opens the replica's folder and starts what drives it.
func start(o Options, w world) (*Node, error) {
	n, err := open(o, w)
	if err != nil {
		return nil, err
	}
	n.post = n.enqueue
	// One write is under way at most, so neither channel ever blocks.
	n.writes, n.written = make(chan func() error, 1), make(chan error, 1)
	n.write = func(w func() error) { n.writes <- w }
	n.g = group.New(context.Background())
	n.g.Go(n.run)
	n.g.Go(n.writeLoop)
	if !n.r.Formed() && len(o.Peers) > 0 {
		n.g.Go(n.form)
	}
	if o.Seeds != nil {
		n.g.Go(n.join)
		n.g.Every(balanceEvery, n.balance)
	}
	return n, nil
}

// world is what a replica has of the VM: files, the clock and chance.
type world struct {
	fs     store.FS
	clock  func() time.Duration
	random func() uint64
}

// open reads the replica's folder without starting anything.
func open(o Options, w world) (*Node, error) {
	st, d, err := store.Open(w.fs, o.Dir, uint64(o.ID), w.random)
	if err != nil {
		return nil, err
	}
	n := &Node{
		o: o, w: w, st: st, identity: d.Identity, machine: state.New(o.Limits),
		waiters: map[raft.Index]waiter{}, senders: map[raft.ReplicaID]string{}, inbox: make(chan *eelpb.Message, inboxSize),
		proposals: make(chan proposal, maxBatch), calls: make(chan func()),
		snapshot: d.Snapshot, hard: d.Hard,
	}
	if d.TruncatedBytes > 0 {
		level.Warn(o.Log).Log("msg", "cut the torn tail of the log", "bytes", d.TruncatedBytes)
	}
	if err := n.restore(d.Snapshot); err != nil {
		return nil, err
	}
	n.r = raft.New(n.raftConfig(), raft.PersistentState{Hard: d.Hard, Snapshot: d.Snapshot, Entries: d.Entries}, n.Now())
	return n, nil
}

func (n *Node) raftConfig() raft.Config {
	return raft.Config{
		ID: n.o.ID, Incarnation: raft.Incarnation(n.identity.Incarnation),
		Rand: rand.New(rand.NewPCG(n.w.random(), n.w.random())),
	}
}

func (n *Node) restore(s *eelpb.Snapshot) error {
	if s == nil {
		return nil
	}
	i := &eelpb.StateImage{}
	if err := proto.Unmarshal(s.Data, i); err != nil {
		return errs.New("node.restore", KindStopped, err)
	}
	n.machine.Restore(i)
	return nil
}

// Now returns the monotonic time since the node started.
func (n *Node) Now() time.Duration {
	return n.w.clock()
}

// Machine returns the state machine.
func (n *Node) Machine() *state.Machine { return n.machine }

// Close stops the replica.
func (n *Node) Close() error {
	err := n.g.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failWaiters()
	if e := n.st.Close(); err == nil {
		err = e
	}
	return err
}

// Done returns a channel that is closed when the replica has stopped by itself.
func (n *Node) Done() <-chan struct{} { return n.g.Context().Done() }

// Step takes messages of other replicas.
func (n *Node) Step(messages []*eelpb.Message) {
	for _, m := range messages {
		select {
		case n.inbox <- m:
		default: // The sender sends again.
		}
	}
}

// Identify returns who this replica is.
func (n *Node) Identify() *eelpb.IdentifyReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &eelpb.IdentifyReply{
		Id: n.identity.ID, Incarnation: n.identity.Incarnation, Formed: n.r.Formed(), Addr: n.o.Addr,
		Region: string(n.o.Region),
	}
	if n.snapshot.GetIndex() == firstIndex {
		r.First = n.snapshot.Membership
	}
	return r
}

func (n *Node) notLeader(op string) error {
	return errs.New(op, KindNotLeader, fmt.Errorf("the leader is replica %d", n.r.Leader()))
}
