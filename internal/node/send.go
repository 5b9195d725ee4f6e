package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/go-kit/log/level"
)

// Transport sends messages and requests to a replica.
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
		n.transmit(addr, m)
	}
}

// enqueue adds a message to the outbox of an address.
func (n *Node) enqueue(addr string, m *eelpb.Message) {
	select {
	case n.outbox(addr) <- m:
	default: // The peer is slow or unreachable; the core retransmits.
	}
}

func (n *Node) addrOf(id raft.ReplicaID) string {
	for _, m := range n.r.Members().GetMembers() {
		if raft.ReplicaID(m.Id) == id {
			return m.Addr
		}
	}
	return n.senderAddrs[id]
}

// outbox returns the message queue of an address; the first call starts its sender.
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
	// maxSendsInFlight is above 1 so that a message need not wait for the previous response.
	maxSendsInFlight = 8
	// unreachableDelay is how long messages are batched after a peer could not be reached.
	// A delay of one heartbeat interval costs a recovered peer at most one heartbeat.
	unreachableDelay = raft.DefaultHeartbeatInterval
)

func (n *Node) sendLoop(ctx context.Context, addr string, c chan *eelpb.Message) {
	slots := make(chan struct{}, maxSendsInFlight)
	var unreachable atomic.Bool
	for {
		if unreachable.Swap(false) && sleep(ctx, unreachableDelay) != nil {
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
					unreachable.Store(true)
					level.Debug(n.o.Log).Log("msg", "message delivery failed", "to", addr, "err", err)
				}
				return nil
			})
		}
	}
}
