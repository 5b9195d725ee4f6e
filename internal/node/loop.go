package node

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/internal/store"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
)

// run is the event loop of the Raft core.
func (n *Node) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			n.pulse.Beat()
			n.withLock(func() { n.r.Tick(n.Now()) })
		case m := <-n.inbox:
			n.withLock(func() { n.stepAll(m) })
		case p := <-n.readyProposals():
			n.withLock(func() { n.proposeAll(p) })
		case f := <-n.calls:
			n.withLock(f)
		case err := <-n.written:
			if err := n.finishWrite(err); err != nil {
				return n.logStop(err)
			}
		}
		if err := n.processReady(); err != nil {
			return n.logStop(err)
		}
	}
}

// batchWindow is how long proposals wait for a write in progress, so that one message
// and one sync cover many proposals. A write that takes longer counts as a disk stall,
// and proposals no longer wait for it.
const batchWindow = 2 * tickInterval

// readyProposals returns the proposal channel, or nil while proposals are batched.
func (n *Node) readyProposals() chan proposal {
	if n.onWritten != nil && n.Now() < n.writeStartedAt+batchWindow {
		return nil
	}
	return n.proposals
}

// logStop logs the error that stops the replica and returns it.
func (n *Node) logStop(err error) error {
	level.Error(n.o.Log).Log("msg", "replica stopped", "err", err)
	return err
}

// writeLoop runs writes one at a time, apart from the event loop, so that a stalled
// disk delays neither heartbeats nor reads.
func (n *Node) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-n.writes:
			n.written <- n.writeWhenRoom(ctx, w)
		}
	}
}

// fullDiskRetryInterval is the interval at which a write is tried again while the disk is full.
const fullDiskRetryInterval = 50 * time.Millisecond

// writeWhenRoom runs a write, and tries it again while the disk is full. Until then the replica is one
// whose disk stalls: it goes on to vote for what it has, and the others make a quorum.
func (n *Node) writeWhenRoom(ctx context.Context, w func() error) error {
	err := w()
	if !errs.Is(err, store.KindFull) {
		return err
	}
	level.Error(n.o.Log).Log("msg", "disk is full", "err", err)
	for start := n.Now(); errs.Is(err, store.KindFull); err = w() {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(fullDiskRetryInterval):
		}
		if n.Now()-start > fullDiskLogInterval {
			start = n.Now()
			level.Error(n.o.Log).Log("msg", "disk is still full", "err", err)
		}
	}
	level.Info(n.o.Log).Log("msg", "disk has room again", "err", err)
	return err
}

// fullDiskLogInterval is the interval at which a full disk is logged.
const fullDiskLogInterval = 10 * time.Second

func (n *Node) withLock(f func()) {
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

// step passes a message to the core and records the address of its sender, which a
// replica that was just added has no other way to learn.
func (n *Node) step(m *eelpb.Message) {
	n.senderAddrs[raft.ReplicaID(m.From)] = m.FromAddr
	n.r.Step(m, n.Now())
}

// proposeAll appends all waiting proposals, up to maxBatch, so that one sync covers them.
func (n *Node) proposeAll(p proposal) {
	n.r.Tick(n.Now())
	batch := []proposal{p}
	for len(batch) < maxBatch && len(n.proposals) > 0 {
		batch = append(batch, <-n.proposals)
	}
	batch = n.checkAll(batch)
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

// checkAll returns the proposals whose check passes, and fails the others. Without leadership all fail
// later.
func (n *Node) checkAll(batch []proposal) []proposal {
	if n.r.Role() != raft.Leader {
		return batch
	}
	var out []proposal
	for _, b := range batch {
		if b.check != nil {
			if err := b.check(n.r.Term()); err != nil {
				b.done <- outcome{err: err}
				continue
			}
		}
		out = append(out, b)
	}
	return out
}

// processReady handles the output of the core until there is none left. While a write
// is in progress it sends and applies only what does not depend on that write.
func (n *Node) processReady() error {
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
		if n.onWritten != nil || !n.r.HasReady() {
			break
		}
		n.persist(n.r.Ready())
	}
	if n.r.Role() != raft.Leader {
		n.failWaiters()
	}
	n.logLeaderChange()
	return n.maybeSnapshot()
}

// persist starts the write of a Ready, or completes one that has nothing to sync.
func (n *Node) persist(d raft.Ready) {
	if !d.MustSync() {
		n.completeReady(d)
		return
	}
	n.startWrite(n.persistFunc(d), func() { n.completeReady(d) })
}

// completeReady sends the messages that had to wait until the Ready was durable.
func (n *Node) completeReady(d raft.Ready) {
	if d.Snapshot != nil {
		n.snapshot = d.Snapshot
	}
	n.sendAll(d.Messages)
	n.r.Advance(d)
}

// startWrite starts a write; onWritten is called once it is durable.
func (n *Node) startWrite(w func() error, onWritten func()) {
	n.onWritten, n.writeStartedAt = onWritten, n.Now()
	n.r.SetWriting(true)
	n.write(w)
}

// finishWrite handles the outcome of the write in progress.
func (n *Node) finishWrite(err error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.onWritten
	n.onWritten = nil
	if err != nil {
		return err
	}
	f()
	n.r.SetWriting(false)
	return nil
}

// logLeaderChange logs a change of the known leader or of the term.
func (n *Node) logLeaderChange() {
	l, t := n.r.Leader(), n.r.Term()
	if l == n.loggedLeader && t == n.loggedTerm {
		return
	}
	n.loggedLeader, n.loggedTerm = l, t
	level.Info(n.o.Log).Log("msg", "leader changed", "leader", uint64(l), "term", uint64(t), "role", n.r.Role())
}

// persistFunc returns the write that makes a Ready durable.
func (n *Node) persistFunc(d raft.Ready) func() error {
	n.syncs.Add(1)
	if d.Hard != nil {
		n.hardState = d.Hard
	}
	h := n.hardState
	if d.Snapshot != nil {
		return func() error { return n.st.SaveSnapshot(d.Snapshot, h, d.Entries) }
	}
	if d.Hard == nil && h != nil {
		// The commit index is written with the entries, so that a restarted replica
		// has nearly all of the state before it has contact with a leader.
		h = &eelpb.HardState{Term: h.Term, Vote: h.Vote, Commit: uint64(n.r.Commit())}
		n.hardState = h
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
				return errs.Newf("node.apply", KindStopped, "decode entry %d: %v", e.Index, err)
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
			w.done <- outcome{err: outcomeUnknown()}
			continue
		}
		w.done <- outcome{result: res}
	}
	return nil
}

func outcomeUnknown() error {
	return errs.Newf("node.Propose", KindOutcomeUnknown, "leadership changed before the command was committed")
}

// failWaiters fails all waiting proposals, whose outcome this replica no longer learns as
// leader.
func (n *Node) failWaiters() {
	for i, w := range n.waiters {
		w.done <- outcome{err: outcomeUnknown()}
		delete(n.waiters, i)
	}
}

// maybeSnapshot starts to write a snapshot once the log has reached SnapshotBytes and
// no write is in progress. Without a leader the disk is left free for votes.
func (n *Node) maybeSnapshot() error {
	if n.onWritten != nil || n.r.Leader() == 0 || n.st.LogSize() < n.o.SnapshotBytes || n.r.Applied() <= raft.Index(n.snapshot.GetIndex()) {
		return nil
	}
	b, err := proto.Marshal(n.machine.Image())
	if err != nil {
		return errs.New("node.snapshot", KindStopped, err)
	}
	i, h := n.r.Applied(), n.hardState
	s := &eelpb.Snapshot{Index: uint64(i), Term: uint64(n.r.TermAt(i)), Membership: n.r.MembershipAt(i), Data: b}
	remaining := n.r.EntriesAfter(i)
	n.startWrite(func() error { return n.st.SaveSnapshot(s, h, remaining) }, func() {
		n.snapshot = s
		n.r.Compact(i)
		level.Debug(n.o.Log).Log("msg", "snapshot written", "index", i, "bytes", len(b))
	})
	return nil
}
