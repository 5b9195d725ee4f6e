package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/go-kit/log/level"
)

// Transport carries messages to a replica.
type Transport interface {
	Send(ctx context.Context, addr string, m []*eelpb.Message) error
	Identify(ctx context.Context, addr string) (*eelpb.IdentifyReply, error)
	Join(ctx context.Context, addr string, m *eelpb.Member) (*eelpb.JoinReply, error)
}

func (n *Node) sendAll(messages []*eelpb.Message) {
	for _, m := range messages {
		if m.Kind == eelpb.MessageKind_MESSAGE_SNAPSHOT {
			m.Snapshot = n.snapshot
		}
		m.FromAddr = n.o.Addr
		addr := n.addrOf(raft.ReplicaID(m.To))
		if addr == "" {
			continue
		}
		n.post(addr, m)
	}
}

// enqueue hands a message to the sender of its address.
func (n *Node) enqueue(addr string, m *eelpb.Message) {
	select {
	case n.outbox(addr) <- m:
	default: // The peer is slow or gone; the core sends again.
	}
}

func (n *Node) addrOf(id raft.ReplicaID) string {
	for _, m := range n.r.Members().GetMembers() {
		if raft.ReplicaID(m.Id) == id {
			return m.Addr
		}
	}
	return n.senders[id]
}

// outbox returns the queue of messages for an address, and starts its sender.
func (n *Node) outbox(addr string) chan *eelpb.Message {
	if c, ok := n.outboxes.Load(addr); ok {
		return c.(chan *eelpb.Message)
	}
	c := make(chan *eelpb.Message, outboxSize)
	n.outboxes.Store(addr, c)
	n.g.Go(func(ctx context.Context) error {
		n.sendLoop(ctx, addr, c)
		return nil
	})
	return c
}

const (
	sendTimeout = time.Second
	// maxSendsInFlight lets the next message go before the last was answered.
	maxSendsInFlight = 8
	// downPause is how long messages for a peer that could not be reached gather:
	// the leader's next heartbeat would be the first that it misses.
	downPause = raft.DefaultHeartbeatInterval
)

func (n *Node) sendLoop(ctx context.Context, addr string, c chan *eelpb.Message) {
	slots := make(chan struct{}, maxSendsInFlight)
	var down atomic.Bool
	for {
		if down.Swap(false) && sleep(ctx, downPause) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case m := <-c:
			batch := []*eelpb.Message{m}
			for len(c) > 0 {
				batch = append(batch, <-c)
			}
			slots <- struct{}{}
			n.g.Go(func(ctx context.Context) error {
				defer func() { <-slots }()
				ctx, cancel := context.WithTimeout(ctx, sendTimeout)
				defer cancel()
				if err := n.o.Transport.Send(ctx, addr, batch); err != nil {
					down.Store(true)
					level.Debug(n.o.Log).Log("msg", "message not delivered", "to", addr, "err", err)
				}
				return nil
			})
		}
	}
}
