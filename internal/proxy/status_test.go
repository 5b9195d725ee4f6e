package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"gotest.tools/v3/assert"
)

// statusTarget answers with a status line and header that no final response has, and says no more.
func statusTarget(t *testing.T, status, body string) *fakeTarget {
	t.Helper()
	return newRaw(t, func(c net.Conn, r *http.Request) bool {
		return writeResponse(c, r, strings.Replace(strings.Replace(okResponse, "200", status, 1), "body", body, 1))
	})
}

// A target sends a status that no response can have, such as 000, or an interim one with a body. Callers must not get it, nor
// wait for more: the request is sent to another target if it may run again, and its outcome is unknown otherwise. The same holds
// where another VM relays it.
func TestStatusOfNoResponse(t *testing.T) {
	const atOnce = 300 * time.Millisecond
	tests := []struct {
		status string
		// passed means that the response goes to the caller unchanged.
		passed bool
	}{
		{"000", false},
		{"001", false},
		{"099", false},
		{"101", false},
		{"150", false},
		{"199", false},
		{"299", true},
		{"599", true},
		{"600", true},
		{"999", true},
	}
	for _, tt := range tests {
		for _, relayed := range []bool{false, true} {
			for _, path := range []string{"/once/x", "/safe/x"} {
				name := tt.status + path + map[bool]string{true: ", relayed"}[relayed]
				t.Run(name, func(t *testing.T) {
					s := statusTarget(t, tt.status, "body")
					vms := newHopVMs(t, 2, hopCatalogue(t, nil, false, s))
					if relayed {
						vms[0].cutOff(t)
					}
					start := time.Now()
					w := doRequest(vms[0].p, http.MethodPost, path, "in")
					assert.Check(t, time.Since(start) < atOnce, "after %v", time.Since(start))
					if tt.passed {
						assert.Equal(t, w.Result().Status[:3], tt.status)
						return
					}
					assert.Equal(t, w.Code, http.StatusBadGateway, "%s%s", vms[0].log, vms[1].log)
					assert.Equal(t, s.requests(), 1)
					assert.Equal(t, vms[0].p.Metrics().Responses[tt.status], int64(0))
				})
			}
		}
	}
}

// A request that may run again is sent to a second target after a status that no response can have.
func TestRetryAfterStatusOfNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "150"} {
		served := 0
		for range 8 {
			s, other := statusTarget(t, status, "body"), newFakeTarget(t, okResponse)
			p := newProxy(clusterOf(t, s, other))
			if w := doRequest(p, http.MethodPost, "/safe/x", "in"); w.Code == http.StatusOK {
				served++
			}
		}
		assert.Equal(t, served, 8, status)
	}
}

// statusRelay is a VM of another build that passes on any status as a target's.
type statusRelay struct {
	eelpb.Hop
	status int32
}

func (s statusRelay) Relay(_ context.Context, m *eelpb.RelayRequest) (*eelpb.RelayReply, error) {
	return &eelpb.RelayReply{Id: m.Id, Outcome: eelpb.RelayOutcome_RESPONDED, Status: s.status, Sent: 1}, nil
}

// A VM of another build replies with a status that no response can have. Callers must not get it.
func TestStatusOfNoResponseRelayed(t *testing.T) {
	for _, status := range []int32{-1, 0, 99, 101, 150, 1000} {
		vms := newHopVMs(t, 2, hopCatalogue(t, nil, false, newFakeTarget(t, okResponse)))
		vms[0].cutOff(t)
		vms[1].handler = auth.NewKey("k").Require(eelpb.NewHopServer(statusRelay{status: status}))
		w := doRequest(vms[0].p, http.MethodPost, "/once/x", "in")
		assert.Equal(t, w.Code, http.StatusBadGateway, "%d: %s", status, vms[0].log)
	}
}
