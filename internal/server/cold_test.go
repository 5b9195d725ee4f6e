package server

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// The cold time in the catalogue must not end before the target says so. Compared as a number of milliseconds, an end
// is missed if the target becomes cold again between two announcements: it says less than before, but more than what
// is left of that.
func TestColdEndAnnounced(t *testing.T) {
	type step struct {
		at       time.Duration
		sequence uint64
		cold     model.Millis
		// committed is whether this step is committed.
		committed bool
	}
	const ms = time.Millisecond
	tests := []struct {
		name  string
		steps []step
	}{
		{"cold again before the second announcement", []step{{0, 1, 3000, true}, {1500 * ms, 2, 2970, true}, {3000 * ms, 3, 1470, false}, {4500 * ms, 4, 0, true}}},
		{"counting down", []step{{0, 1, 3000, true}, {1500 * ms, 2, 1500, false}, {2900 * ms, 3, 100, false}, {4400 * ms, 4, 0, true}}},
		{"counting down, delayed and rounded", []step{{0, 1, 3000, true}, {1900 * ms, 2, 1500, false}, {3000 * ms, 3, 1, false}}},
		{"cold again in steps within the allowance", []step{{0, 1, 3000, true}, {1500 * ms, 2, 1800, false}, {3000 * ms, 3, 600, true}, {3100 * ms, 4, 500, false}}},
		{"cold again twice", []step{{0, 1, 3000, true}, {1500 * ms, 2, 2970, true}, {3000 * ms, 3, 2900, true}, {4500 * ms, 4, 1400, false}}},
		{"cold again for the same time", []step{{0, 1, 3000, true}, {1500 * ms, 2, 3000, true}, {3000 * ms, 3, 3000, true}}},
		{"cold again after it was warm", []step{{0, 1, 3000, true}, {4000 * ms, 2, 0, true}, {5500 * ms, 3, 2900, true}, {7000 * ms, 4, 1400, false}}},
		{"repeated", []step{{0, 1, 3000, true}, {1500 * ms, 2, 2970, true}, {1600 * ms, 2, 2970, false}}},
		{"late announcement", []step{{0, 1, 3000, true}, {3000 * ms, 3, 2000, true}, {3100 * ms, 2, 2970, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			now := time.Duration(0)
			s.now = func() time.Duration { return now }
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for i, x := range tt.steps {
				now = x.at
				before := s.o.Node.Machine().Version()
				y := target(5, model.TargetReady)
				y.ColdMillis = x.cold
				assert.NilError(t, s.Announce(ctx, y, x.sequence))
				assert.Equal(t, s.o.Node.Machine().Version() > before, x.committed, "step %d", i)
			}
		})
	}
}

// The announcement that says cold again reaches a replica that has not received the former ones: targets use another
// replica once a call has failed. The replica does not know the end of what is committed, and commits anew.
func TestColdAgainAtAnotherReplica(t *testing.T) {
	tests := []struct {
		name string
		// incarnation committed 3,000 ms at the earlier replica.
		incarnation uint64
		cold, want  model.Millis
		metrics     Metrics
	}{
		{"less than before", 5, 2970, 2970, Metrics{ColdUnknown: 1}},
		{"as much as before", 5, 3000, 3001, Metrics{ColdUnknown: 1}},
		{"started again", 4, 3000, 3000, Metrics{}},
		{"warm", 5, 0, 0, Metrics{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			x := target(tt.incarnation, model.TargetReady)
			x.ColdMillis = 3000
			assert.NilError(t, s.Announce(ctx, x, 1))
			s.registry.announcements = nil
			x = target(5, model.TargetReady)
			for i, cold := range []model.Millis{tt.cold, max(0, tt.cold-1500)} {
				x.ColdMillis = cold
				assert.NilError(t, s.Announce(ctx, x, uint64(i+2)))
				got, _ := state.ApplyDelta(nil, s.o.Node.Machine().Delta(0)).Targets.Get("t")
				assert.Equal(t, got.ColdMillis, tt.want, "announcement %d", i+2)
			}
			assert.Equal(t, s.Metrics(), tt.metrics)
		})
	}
}
