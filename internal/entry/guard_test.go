package entry

import (
	"bufio"
	"context"
	"io"
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

// A faulty target writes a refusal on a connection that has carried an answer before, while it runs
// the next request. A request that runs at most once must not be taken for refused, and no request
// for refused by the refusal of another one.
func TestStrayShedOnKeptConnection(t *testing.T) {
	shed := func(id string) string {
		if id != "" {
			id = wire.HeaderRequestID + ": " + id + "\r\n"
		}
		return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Eel-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	tests := []struct {
		name     string
		delivery model.Delivery
		// warmUp means that the connection carries another request before.
		warmUp bool
		id     string
		want   resultKind
	}{
		{"first response, at most once", model.AtMostOnce, false, "", resultRefused},
		{"kept connection, at most once", model.AtMostOnce, true, "", resultBroken},
		{"kept connection, idempotent", model.Idempotent, true, "", resultRefused},
		{"kept connection, with the id", model.AtMostOnce, true, "id-2", resultRefused},
		{"kept connection, with another id", model.AtMostOnce, true, "id-1", resultBroken},
		{"first response, with another id", model.Idempotent, false, "id-1", resultBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer lis.Close()
			go func() {
				c, err := lis.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				b := bufio.NewReader(c)
				for i := 0; ; i++ {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					line := shed(tt.id)
					if i == 0 && tt.warmUp {
						line = "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": " + r.Header.Get(wire.HeaderRequestID) + "\r\nContent-Length: 0\r\n\r\n"
					}
					if _, err := io.WriteString(c, line); err != nil {
						return
					}
				}
			}()
			x := newOwner(t, lis.Addr().String())
			send := func(id model.RequestID) tryResult {
				j := &job{id: id, service: "s", method: http.MethodGet, path: "/", deadline: x.now() + 5*time.Second, cls: model.Class{Delivery: tt.delivery, MaxAnswerBytes: 100}}
				ticket, err := x.pools.get("s").Admit(pool.Request{Deadline: j.deadline, MaxQueued: 1, Domain: "a-1"})
				assert.NilError(t, err)
				s, err := ticket.Wait(context.Background())
				assert.NilError(t, err)
				return x.dispatch(context.Background(), j, s, ownerArgs{permit: &permit{}})
			}
			if tt.warmUp {
				assert.Equal(t, send("id-1").kind, resultAnswered)
			}
			r := send("id-2")
			assert.Equal(t, r.kind, tt.want, r.reason)
		})
	}
}

// newOwner returns an entry that owns a target.
func newOwner(t *testing.T, target string) *Entry {
	t.Helper()
	x, err := New(Options{ID: "v", Addr: "127.0.0.1:1", Domain: "a-1", Replicas: []string{"127.0.0.1:1"}, Key: auth.NewKey("k"), Log: log.NewNopLogger()})
	assert.NilError(t, err)
	ownTarget(t, x, target)
	return x
}

// ownTarget makes an entry the owner of a target.
func ownTarget(t *testing.T, x *Entry, target string) {
	t.Helper()
	// The renewals would withdraw the targets, as there is no leader.
	assert.NilError(t, x.g.Close())
	x.lease.mu.Lock()
	x.lease.expiresAt = time.Hour
	x.lease.mu.Unlock()
	own := pool.Target{ID: "t", Addr: target, Domain: "a-1", Slots: 1, Incarnation: 1, Ready: true, AnnouncedAt: x.now()}
	x.pools.setOwned(map[model.ServiceID][]pool.Target{"s": {own}})
	x.pools.get("s").Update(own)
}
