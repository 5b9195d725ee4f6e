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

// unreachableTransport fails to reach one node once it is set, and counts the attempts.
type unreachableTransport struct {
	memTransport
	unreachable atomic.Value
	attempts    atomic.Int64
}

// Send delivers messages except to the unreachable node.
func (w *unreachableTransport) Send(ctx context.Context, addr string, m []*eelpb.Message) error {
	if l, _ := w.unreachable.Load().(string); l == addr {
		w.attempts.Add(1)
		return errors.New("connection refused")
	}
	return w.memTransport.Send(ctx, addr, m)
}

// The number of connection attempts to an unreachable replica is bounded by time, however
// many commands are committed.
func TestUnreachablePeer(t *testing.T) {
	w := &unreachableTransport{memTransport: memTransport{delay: time.Millisecond, nodes: map[string]*Node{}}}
	_, l := startThree(t, &w.memTransport, w)
	for _, addr := range []string{"1", "2"} {
		if addr != l.o.Addr {
			w.unreachable.Store(addr)
			break
		}
	}
	began := time.Now()
	for i := range uint64(200) {
		_, err := l.Propose(context.Background(), newClaim(i))
		assert.NilError(t, err)
	}
	maxAttempts := int64(time.Since(began)/unreachableDelay) + maxSendsInFlight
	assert.Assert(t, w.attempts.Load() <= maxAttempts, "%d attempts to reach an unreachable peer in %s", w.attempts.Load(), time.Since(began))
}
