package node

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
)

// run drives the core until the replica stops.
func (n *Node) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			n.locked(func() { n.r.Tick(n.Now()) })
		case m := <-n.inbox:
			n.locked(func() { n.stepAll(m) })
		case p := <-n.open():
			n.locked(func() { n.proposeAll(p) })
		case f := <-n.calls:
			n.locked(f)
		case err := <-n.written:
			if err := n.finishWrite(err); err != nil {
				return n.stopped(err)
			}
		}
		if err := n.drain(); err != nil {
			return n.stopped(err)
		}
	}
}

// gatherTime is how long proposals wait for a write that is under way, so that one
// message and one sync serve many of them; a disk that takes longer stalls.
const gatherTime = 2 * tickInterval

// open returns the proposals, or nothing while they gather.
func (n *Node) open() chan proposal {
	if n.finish != nil && n.Now() < n.writeFrom+gatherTime {
		return nil
	}
	return n.proposals
}

// stopped logs why the replica stops by itself.
func (n *Node) stopped(err error) error {
	level.Error(n.o.Log).Log("msg", "replica stops", "err", err)
	return err
}

// writeLoop makes durable what it is given, one after the other, so that a disk
// that stalls holds up neither heartbeats nor reads.
func (n *Node) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-n.writes:
			n.written <- w()
		}
	}
}

func (n *Node) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *Node) stepAll(m *eelpb.Message) {
	n.r.Tick(n.Now())
	n.step(m)
	for range len(n.inbox) {
		n.step(<-n.inbox)
	}
}

// step hands a message to the core and keeps the address of its sender, which
// a replica that was just added has from nowhere else.
func (n *Node) step(m *eelpb.Message) {
	n.senders[raft.ReplicaID(m.From)] = m.FromAddr
	n.r.Step(m, n.Now())
}

// proposeAll appends all proposals that wait, so that one sync serves them.
func (n *Node) proposeAll(p proposal) {
	n.r.Tick(n.Now())
	batch := []proposal{p}
	for len(batch) < maxBatch && len(n.proposals) > 0 {
		batch = append(batch, <-n.proposals)
	}
	data := make([][]byte, 0, len(batch))
	for _, b := range batch {
		data = append(data, b.data)
	}
	first, err := n.r.Propose(data...)
	if err != nil {
		for _, b := range batch {
			b.done <- outcome{err: n.notLeader("node.Propose")}
		}
		return
	}
	for i, b := range batch {
		n.waiters[first+raft.Index(i)] = waiter{term: n.r.Term(), done: b.done}
	}
}

// drain does what the core asks for until it asks for nothing, or until the disk
// is at work: then only what does not depend on it is sent and applied.
func (n *Node) drain() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		n.sendAll(n.r.ImmediateMessages())
		if err := n.restore(n.r.InstalledSnapshot()); err != nil {
			return err
		}
		if err := n.applyAll(n.r.Committed()); err != nil {
			return err
		}
		if n.finish != nil || !n.r.HasReady() {
			break
		}
		n.store(n.r.Ready())
	}
	if n.r.Role() != raft.Leader {
		n.failWaiters()
	}
	n.logLeader()
	return n.maybeSnapshot()
}

// store starts to make a Ready durable, or is done with one that stores nothing.
func (n *Node) store(d raft.Ready) {
	if !d.MustSync() {
		n.saved(d)
		return
	}
	n.startWrite(n.saver(d), func() { n.saved(d) })
}

// saved sends what had to wait until a Ready was durable.
func (n *Node) saved(d raft.Ready) {
	if d.Snapshot != nil {
		n.snapshot = d.Snapshot
	}
	n.sendAll(d.Messages)
	n.r.Advance(d)
}

// startWrite hands a write to the disk; finish is called once it is durable.
func (n *Node) startWrite(w func() error, finish func()) {
	n.finish, n.writeFrom = finish, n.Now()
	n.r.SetWriting(true)
	n.write(w)
}

// finishWrite takes the outcome of the write that was started.
func (n *Node) finishWrite(err error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.finish
	n.finish = nil
	if err != nil {
		return err
	}
	f()
	n.r.SetWriting(false)
	return nil
}

// logLeader logs that the replica follows another leader, or none.
func (n *Node) logLeader() {
	l, t := n.r.Leader(), n.r.Term()
	if l == n.leader && t == n.term {
		return
	}
	n.leader, n.term = l, t
	level.Info(n.o.Log).Log("msg", "leader changed", "leader", uint64(l), "term", uint64(t), "role", n.r.Role())
}

// saver returns the write that makes a Ready durable.
func (n *Node) saver(d raft.Ready) func() error {
	n.syncs.Add(1)
	if d.Hard != nil {
		n.hard = d.Hard
	}
	h := n.hard
	if d.Snapshot != nil {
		return func() error { return n.st.SaveSnapshot(d.Snapshot, h, d.Entries) }
	}
	if d.Hard == nil && h != nil {
		// The commit index goes along with entries, so that a restarted replica
		// knows nearly all of the state before it hears a leader.
		h = &eelpb.HardState{Term: h.Term, Vote: h.Vote, Commit: uint64(n.r.Commit())}
		n.hard = h
	}
	return func() error { return n.st.Save(h, d.Entries) }
}

func (n *Node) applyAll(entries []*eelpb.LogEntry) error {
	for _, e := range entries {
		n.commits.Add(1)
		var res state.Result
		if e.Kind == eelpb.EntryKind_ENTRY_COMMAND {
			c := &eelpb.Command{}
			if err := proto.Unmarshal(e.Data, c); err != nil {
				return errs.Newf("node.apply", KindStopped, "entry %d does not decode: %v", e.Index, err)
			}
			res = n.machine.Apply(c)
		}
		i := raft.Index(e.Index)
		w, ok := n.waiters[i]
		if !ok {
			continue
		}
		delete(n.waiters, i)
		if w.term != raft.Term(e.Term) {
			w.done <- outcome{err: lost()}
			continue
		}
		w.done <- outcome{result: res}
	}
	return nil
}

func lost() error {
	return errs.Newf("node.Propose", KindLost, "leadership changed before the command was committed")
}

// failWaiters tells those who wait that this replica will not learn their outcome as leader.
func (n *Node) failWaiters() {
	for i, w := range n.waiters {
		w.done <- outcome{err: lost()}
		delete(n.waiters, i)
	}
}

// maybeSnapshot starts to write a snapshot when the log has grown and the disk is
// idle; during an election the disk is kept for votes.
func (n *Node) maybeSnapshot() error {
	if n.finish != nil || n.r.Leader() == 0 || n.st.LogSize() < n.o.SnapshotBytes || n.r.Applied() <= raft.Index(n.snapshot.GetIndex()) {
		return nil
	}
	b, err := proto.Marshal(n.machine.Image())
	if err != nil {
		return errs.New("node.snapshot", KindStopped, err)
	}
	i, h := n.r.Applied(), n.hard
	s := &eelpb.Snapshot{Index: uint64(i), Term: uint64(n.r.TermAt(i)), Membership: n.r.MembershipAt(i), Data: b}
	rest := n.r.EntriesAfter(i)
	n.startWrite(func() error { return n.st.SaveSnapshot(s, h, rest) }, func() {
		n.snapshot = s
		n.r.Compact(i)
		level.Debug(n.o.Log).Log("msg", "made a snapshot", "index", i, "bytes", len(b))
	})
	return nil
}
