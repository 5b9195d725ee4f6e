package node

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
)

const (
	formInterval = 100 * time.Millisecond
	formTimeout  = time.Second
	firstLogTerm = 1
	firstIndex   = 1
)

// formGroup waits until all initial replicas are known to be empty and bootstraps the
// group with them. It returns as soon as the replica belongs to a group.
func (n *Node) formGroup(ctx context.Context) error {
	t := time.NewTicker(formInterval)
	defer t.Stop()
	for !n.Identify().Formed {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		m, ok := n.firstMembership(ctx)
		if !ok {
			continue
		}
		if err := n.call(ctx, func() error { return n.bootstrap(m) }); err != nil {
			return err
		}
	}
	return nil
}

// firstMembership returns the initial membership if all peers are empty, or if a peer has
// bootstrapped with this replica as a voter.
func (n *Node) firstMembership(ctx context.Context) (*eelpb.Membership, bool) {
	s := &eelpb.Membership{}
	for _, p := range n.o.Peers {
		m := &eelpb.Member{Id: uint64(p.ID), Incarnation: n.identity.Incarnation, Addr: p.Addr, Voter: true, Region: string(n.o.Region)}
		if p.ID != n.o.ID {
			c, cancel := context.WithTimeout(ctx, formTimeout)
			reply, err := n.o.Transport.Identify(c, p.Addr)
			cancel()
			if err != nil || raft.ReplicaID(reply.Id) != p.ID {
				return nil, false
			}
			if reply.Formed {
				return reply.First, n.includesSelf(reply.First)
			}
			m.Incarnation, m.Region = reply.Incarnation, reply.Region
		}
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b *eelpb.Member) int { return int(a.Id) - int(b.Id) })
	return s, true
}

// includesSelf reports whether a group's initial membership has this incarnation as a
// voter. It is safe to bootstrap with it: this replica has not bootstrapped yet, so its
// disk has never granted a vote or acknowledged an entry.
func (n *Node) includesSelf(s *eelpb.Membership) bool {
	for _, m := range s.GetMembers() {
		if m.Voter && m.Id == n.identity.ID && m.Incarnation == n.identity.Incarnation {
			return true
		}
	}
	return false
}

// bootstrap starts the group from an empty snapshot that contains the initial membership.
func (n *Node) bootstrap(m *eelpb.Membership) error {
	if n.r.Formed() || n.onWritten != nil {
		return nil // The caller retries while a write is in progress.
	}
	b, err := proto.Marshal(state.New(n.o.Limits).Image())
	if err != nil {
		return err
	}
	s := &eelpb.Snapshot{Index: firstIndex, Term: firstLogTerm, Membership: m, Data: b}
	h := &eelpb.HardState{Term: firstLogTerm, Commit: firstIndex}
	if err := n.st.SaveSnapshot(s, h, nil); err != nil {
		return err
	}
	n.hardState, n.snapshot = h, s
	n.r = raft.New(n.raftConfig(), raft.PersistentState{Hard: h, Snapshot: s}, n.Now())
	level.Info(n.o.Log).Log("msg", "group formed", "replicas", len(m.Members))
	return nil
}
