package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Near the end of its grace, a VM that stops takes only requests that are certain to be answered
// before. A longer one would be cut while a target works on it, though another VM could serve it.
func TestLongRequestsRefusedBeforeStop(t *testing.T) {
	tests := []struct {
		name     string
		finishIn time.Duration
		deadline string
		status   int
	}{
		{"timeout of the route ends in time", 3 * time.Second, "", http.StatusOK},
		{"timeout of the route ends later", time.Second, "", http.StatusServiceUnavailable},
		{"deadline of the caller ends in time", time.Second, "500", http.StatusOK},
		{"deadline of the caller ends later", time.Second, "1500", http.StatusServiceUnavailable},
		{"no time left", 0, "500", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			p := newProxy(clusterOf(t, s))
			p.FinishWithin(tt.finishIn)
			w := doRequestWith(p, "/once/x", DefaultHeaders.Deadline, tt.deadline)
			assert.Equal(t, w.Code, tt.status, w.Body)
			if tt.status != http.StatusOK {
				assert.Equal(t, s.requests(), 0)
				assert.Equal(t, w.Header().Get("Retry-After"), "0.000")
			}
		})
	}
}
