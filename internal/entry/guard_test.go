package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// A target leaves, or the owner's lease ends, while the connection to the target is established. The
// request must not be sent, and its result says so.
func TestTargetLeavesDuringConnect(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Entry)
		kind   resultKind
		sent   int64
	}{
		{"no change", func(*Entry) {}, resultAnswered, 1},
		{"target leaves", func(x *Entry) { x.pools.setOwned(nil) }, resultRefused, 0},
		{"lease ends", func(x *Entry) {
			x.lease.mu.Lock()
			defer x.lease.mu.Unlock()
			x.lease.expiresAt = 0
		}, resultRefused, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int64
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sent.Add(1)
				w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
			}))
			defer target.Close()
			addr := target.Listener.Addr().String()
			var x *Entry
			x, err := New(Options{ID: "v", Addr: "127.0.0.1:1", Domain: "a-1", Replicas: []string{"127.0.0.1:1"}, Key: auth.NewKey("k"), Log: log.NewNopLogger(),
				Dial: func(ctx context.Context, network, to string) (net.Conn, error) {
					if to == addr {
						tt.change(x)
					}
					return new(net.Dialer).DialContext(ctx, network, to)
				}})
			assert.NilError(t, err)
			// The renewals would withdraw the targets, as there is no leader.
			assert.NilError(t, x.g.Close())
			x.lease.mu.Lock()
			x.lease.expiresAt = time.Hour
			x.lease.mu.Unlock()
			own := pool.Target{ID: "t", Addr: addr, Domain: "a-1", Slots: 1, Incarnation: 1, Ready: true, AnnouncedAt: x.now()}
			x.pools.setOwned(map[model.ServiceID][]pool.Target{"s": {own}})
			x.pools.get("s").Update(own)
			j := &job{id: "id-1", service: "s", method: http.MethodGet, path: "/", deadline: x.now() + 5*time.Second, cls: model.Class{Delivery: model.Idempotent, MaxAnswerBytes: 100}}
			ticket, err := x.pools.get("s").Admit(pool.Request{Deadline: j.deadline, MaxQueued: 1, Domain: "a-1"})
			assert.NilError(t, err)
			s, err := ticket.Wait(context.Background())
			assert.NilError(t, err)
			r := x.dispatch(context.Background(), j, s, ownerArgs{permit: &permit{}})
			assert.Equal(t, r.kind, tt.kind, r.reason)
			assert.Equal(t, sent.Load(), tt.sent)
		})
	}
}
