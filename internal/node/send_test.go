package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"gotest.tools/v3/assert"
)

// lostWires cannot reach a node once it is lost, and count what is sent to it.
type lostWires struct {
	wires
	lost  atomic.Value
	tries atomic.Int64
}

// Send delivers messages, but not to the lost node.
func (w *lostWires) Send(ctx context.Context, addr string, m []*eelpb.Message) error {
	if l, _ := w.lost.Load().(string); l == addr {
		w.tries.Add(1)
		return errors.New("connection refused")
	}
	return w.wires.Send(ctx, addr, m)
}

// However much is committed, a replica that is gone costs few connections.
func TestLostPeer(t *testing.T) {
	w := &lostWires{wires: wires{delay: time.Millisecond, nodes: map[string]*Node{}}}
	_, l := trio(t, &w.wires, w)
	for _, addr := range []string{"1", "2"} {
		if addr != l.o.Addr {
			w.lost.Store(addr)
			break
		}
	}
	began := time.Now()
	for i := range uint64(200) {
		_, err := l.Propose(context.Background(), claim(i))
		assert.NilError(t, err)
	}
	most := int64(time.Since(began)/downPause) + maxSendsInFlight
	assert.Assert(t, w.tries.Load() <= most, "%d tries to reach a lost peer in %s", w.tries.Load(), time.Since(began))
}
