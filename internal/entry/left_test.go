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
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// claimState is a leader that grants each claim after a delay.
type claimState struct {
	eelpb.State
	delay    time.Duration
	reopened atomic.Int64
}

func (s *claimState) Claim(_ context.Context, o *eelpb.ClaimOp) (*eelpb.ClaimReply, error) {
	switch o.Kind {
	case eelpb.ClaimKind_CLAIM_TAKE:
		time.Sleep(s.delay)
	case eelpb.ClaimKind_CLAIM_REOPEN:
		s.reopened.Add(1)
	}
	return &eelpb.ClaimReply{Ok: true}, nil
}

// A caller leaves between the claim of its request, which runs at most once, and the first byte to the target. The
// request must not be sent, and its claim is free for a resend.
func TestCallerLeavesBeforeSend(t *testing.T) {
	const leaves = 100 * time.Millisecond
	tests := []struct {
		name           string
		claim, dial    time.Duration
		sent, reopened int64
	}{
		{"it stays", 0, 0, 1, 0},
		{"while the claim is committed", 2 * leaves, 0, 0, 1},
		{"while the connection is established", 0, 2 * leaves, 0, 1},
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
			k, state := auth.NewKey("k"), &claimState{delay: tt.claim}
			leader := httptest.NewServer(k.Require(eelpb.NewStateServer(state)))
			defer leader.Close()
			x, err := New(Options{
				ID: "v", Addr: "127.0.0.1:1", Domain: "a-1", Replicas: []string{leader.Listener.Addr().String()}, Key: k, Log: log.NewNopLogger(),
				Dial: func(ctx context.Context, network, to string) (net.Conn, error) {
					if to == addr {
						time.Sleep(tt.dial)
					}
					return new(net.Dialer).DialContext(ctx, network, to)
				},
			})
			assert.NilError(t, err)
			ownTarget(t, x, addr)
			j := &job{id: "id-1", service: "s", method: http.MethodPost, path: "/", deadline: x.now() + 5*time.Second, cls: model.Class{Delivery: model.AtMostOnce, MaxAnswerBytes: 100, MaxQueued: 1}}
			ctx, leave := context.WithTimeout(context.Background(), leaves)
			defer leave()
			x.admit(ctx, j, ownerArgs{permit: &permit{}}, pool.Request{Deadline: j.deadline, MaxQueued: 1, Domain: "a-1"}, x.now())
			time.Sleep(2 * leaves)
			assert.Equal(t, sent.Load(), tt.sent)
			assert.Equal(t, state.reopened.Load(), tt.reopened)
		})
	}
}
