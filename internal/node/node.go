// Package node runs one state replica: it connects the Raft core to the store,
// the clock and the messages of its peers, and applies committed commands to the
// state machine.
//
// # Usage
//
//	n, err := node.New(node.Options{ID: 1, Dir: dir, Peers: peers, Transport: t, Log: l})
//	r, err := n.Propose(ctx, command)
//	err = n.Close()
//
// A new group forms once, when all initial replicas respond and none of them has
// stored state. From then on a replica with an empty disk does not count as a member
// until it is admitted again, by an operator or through Options.Seeds.
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
	"github.com/eelgrassroad/eelgrassroad/internal/pulse"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/internal/store"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
)

// Kind classifies the errors of the package.
type Kind string

// The kinds of errors.
const (
	// KindNotLeader: the replica is not the leader, or the context ended before the replica
	// accepted the command. Add and Replace also return it for a replica that does not
	// answer, and Add for one whose id is not the expected one.
	KindNotLeader Kind = "notLeader"
	// KindOutcomeUnknown: a command may still be committed, because the context ended, the
	// replica stopped or the leadership changed before its result; or a membership change may
	// still be committed, because the leadership changed before that.
	KindOutcomeUnknown Kind = "outcomeUnknown"
	// KindStopped: the replica has stopped, or a command, a log entry or a state image could
	// not be marshalled or unmarshalled.
	KindStopped Kind = "stopped"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	tickInterval = 10 * time.Millisecond
	// snapshotBytes is the default size of the log file at which a snapshot replaces it.
	snapshotBytes = 16 << 20
	// maxBatch is the maximum number of commands per sync.
	maxBatch   = 512
	inboxSize  = 4096
	outboxSize = 1024
)

// Peer is a replica named in the settings.
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
	// SnapshotBytes overrides the size of the log file at which a snapshot is written.
	SnapshotBytes int64
	// Seeds returns the addresses to send join requests to. Without it, only an
	// operator changes the membership.
	Seeds func() []string
	// Region is the replica's region. Voters are spread over the regions that are set.
	Region model.RegionID
	// MaxVoters is the number of voters that the leader maintains if Seeds is set.
	MaxVoters int
	// CatchUp is the time from the start of a replica within which it has to take the place of a
	// voter that is gone for good, also if the leader changes meanwhile.
	CatchUp time.Duration
}

type proposal struct {
	data []byte
	// check is called right before the command is appended to the log, or nil.
	check func(raft.Term) error
	done  chan outcome
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
	w        environment
	// transmit sends a message to an address.
	transmit func(addr string, m *eelpb.Message)
	// write starts a durable write; its outcome is passed to finishWrite.
	write func(w func() error)

	mu        sync.Mutex
	r         *raft.Raft
	hardState *eelpb.HardState
	snapshot  *eelpb.Snapshot
	waiters   map[raft.Index]waiter
	// onWritten is set while a write is in progress and is called once it is durable.
	onWritten func()
	// writeStartedAt is the start time of the last write.
	writeStartedAt time.Duration
	senderAddrs    map[raft.ReplicaID]string
	pulse          *pulse.Pulse
	// loggedLeader and loggedTerm are the leader and term logged last.
	loggedLeader raft.ReplicaID
	loggedTerm   raft.Term
	// loggedQuorum is the state of the quorum logged last.
	loggedQuorum quorum

	inbox     chan *eelpb.Message
	proposals chan proposal
	calls     chan func()
	writes    chan func() error
	written   chan error
	outboxes  sync.Map
	// membershipMu serializes membership changes.
	membershipMu sync.Mutex
	commits      atomic.Int64
	syncs        atomic.Int64
}

// New opens the replica's directory and starts the replica.
func New(o Options) (*Node, error) {
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = snapshotBytes
	}
	if o.MaxVoters == 0 {
		o.MaxVoters = DefaultMaxVoters
	}
	if o.CatchUp == 0 {
		o.CatchUp = DefaultCatchUp
	}
	return start(o, environment{fs: store.OS(), clock: clock.Stopwatch(), random: rand.Uint64})
}

// start opens the replica's directory and starts its goroutines.
func start(o Options, w environment) (*Node, error) {
	n, err := open(o, w)
	if err != nil {
		return nil, err
	}
	n.transmit = n.enqueue
	// At most one write is in progress, so sending on either channel never blocks.
	n.writes, n.written = make(chan func() error, 1), make(chan error, 1)
	n.write = func(w func() error) { n.writes <- w }
	n.g = group.New(context.Background())
	n.g.Go(n.run)
	n.g.Go(n.writeLoop)
	if !n.r.Formed() && len(o.Peers) > 0 {
		n.g.Go(n.formGroup)
	}
	if o.Seeds != nil {
		n.g.Go(n.joinLoop)
		n.g.Every(balanceInterval, n.balance)
	}
	return n, nil
}

// environment holds the file system, clock and random source, which tests replace.
type environment struct {
	fs     store.FS
	clock  func() time.Duration
	random func() uint64
}

// open reads the replica's directory without starting any goroutine.
func open(o Options, w environment) (*Node, error) {
	st, d, err := store.Open(w.fs, o.Dir, uint64(o.ID), w.random)
	if err != nil {
		return nil, err
	}
	n := &Node{
		o: o, w: w, st: st, identity: d.Identity, machine: state.New(o.Limits),
		waiters: map[raft.Index]waiter{}, senderAddrs: map[raft.ReplicaID]string{}, inbox: make(chan *eelpb.Message, inboxSize),
		proposals: make(chan proposal, maxBatch), calls: make(chan func()),
		snapshot: d.Snapshot, hardState: d.Hard,
	}
	n.pulse = pulse.New(w.clock)
	if d.TruncatedBytes > 0 {
		level.Warn(o.Log).Log("msg", "truncated torn tail of the log", "bytes", d.TruncatedBytes)
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

// EarliestArrival returns the time before which what the process reads now cannot have arrived, as the process
// may have been frozen.
func (n *Node) EarliestArrival() time.Duration { return n.pulse.EarliestArrival() }

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

// Done returns a channel that is closed when the replica has stopped, on failure or by Close.
func (n *Node) Done() <-chan struct{} { return n.g.Context().Done() }

// Step enqueues messages received from other replicas.
func (n *Node) Step(messages []*eelpb.Message) {
	for _, m := range messages {
		select {
		case n.inbox <- m:
		default: // The inbox is full; the sender retries.
		}
	}
}

// Identify returns the replica's identity, and the initial membership as long as its snapshot
// is the one that bootstrapped the group.
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
