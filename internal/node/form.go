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
	formPoll     = 100 * time.Millisecond
	formTimeout  = time.Second
	firstLogTerm = 1
	firstIndex   = 1
)

// form waits until all first replicas are known to be empty and starts the
// group with them. It ends as soon as the replica belongs to a group.
func (n *Node) form(ctx context.Context) error {
	t := time.NewTicker(formPoll)
	defer t.Stop()
	for !n.Identify().Formed {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		m, ok := n.askPeers(ctx)
		if !ok {
			continue
		}
		if err := n.call(ctx, func() error { return n.begin(m) }); err != nil {
			return err
		}
	}
	return nil
}

// askPeers returns the first membership, if all peers are empty or one has begun with this replica.
func (n *Node) askPeers(ctx context.Context) (*eelpb.Membership, bool) {
	s := &eelpb.Membership{}
	for _, p := range n.o.Peers {
		m := &eelpb.Member{Id: uint64(p.ID), Incarnation: n.identity.Incarnation, Addr: p.Addr, Voter: true, Region: string(n.o.Region)}
		if p.ID != n.o.ID {
			c, cancel := context.WithTimeout(ctx, formTimeout)
			who, err := n.o.Transport.Identify(c, p.Addr)
			cancel()
			if err != nil || raft.ReplicaID(who.Id) != p.ID {
				return nil, false
			}
			if who.Formed {
				return who.First, n.named(who.First)
			}
			m.Incarnation, m.Region = who.Incarnation, who.Region
		}
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b *eelpb.Member) int { return int(a.Id) - int(b.Id) })
	return s, true
}

// named tells whether a group's first membership has this disk as a voter. Such
// a disk never promised anything, since it did not begin with the others yet.
func (n *Node) named(s *eelpb.Membership) bool {
	for _, m := range s.GetMembers() {
		if m.Voter && m.Id == n.identity.ID && m.Incarnation == n.identity.Incarnation {
			return true
		}
	}
	return false
}

// begin starts the group from an empty snapshot that names its first members.
func (n *Node) begin(m *eelpb.Membership) error {
	if n.r.Formed() || n.finish != nil {
		return nil // While the disk is at work the caller comes again.
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
	n.hard, n.snapshot = h, s
	n.r = raft.New(n.raftConfig(), raft.PersistentState{Hard: h, Snapshot: s}, n.Now())
	level.Info(n.o.Log).Log("msg", "formed the group", "replicas", len(m.Members))
	return nil
}
