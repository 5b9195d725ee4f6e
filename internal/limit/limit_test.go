package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDemand(t *testing.T) {
	tests := []struct {
		name string
		now  time.Duration
		want int64
	}{
		{"immediately", 100 * time.Millisecond, 10},
		{"within the second", 900 * time.Millisecond, 10},
		{"after the second", 1150 * time.Millisecond, 1},
		{"after demandTTL", time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWindow()
			w.SetLimit(4)
			for range 10 {
				w.Take(1, 100*time.Millisecond)
			}
			assert.Equal(t, w.Demand(tt.now), tt.want)
		})
	}
}

// No window of one second contains more than the limit, whatever the demand.
func TestWindow(t *testing.T) {
	const limit, steps = 50, 20_000
	rnd := rand.New(rand.NewPCG(1, 1))
	w := NewWindow()
	w.SetLimit(limit)
	var at []time.Duration
	now := time.Duration(0)
	for range steps {
		now += time.Duration(rnd.ExpFloat64() * float64(5*time.Millisecond))
		if w.Take(1, now) {
			at = append(at, now)
		}
	}
	from := 0
	for i := range at {
		for at[i]-at[from] >= time.Second {
			from++
		}
		assert.Assert(t, i-from+1 <= limit, "%d events in the second to %s", i-from+1, at[i])
	}
}

// A reservation counts until it is released, and what was used of it for one more window.
func TestReserve(t *testing.T) {
	const limit = 10
	tests := []struct {
		name     string
		reserved int64
		used     int64
		at       time.Duration
		want     int64
	}{
		{"not released", 6, -1, time.Minute, 4},
		{"used just now", 6, 6, WindowLength / 2, 4},
		{"used a window ago", 6, 6, time.Minute, 10},
		{"partly used just now", 6, 2, WindowLength / 2, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWindow()
			w.SetLimit(limit)
			assert.Assert(t, w.Reserve(tt.reserved, 0))
			if tt.used >= 0 {
				w.Release(tt.reserved, tt.used, 0)
			}
			assert.Assert(t, !w.Take(tt.want+1, tt.at))
			assert.Assert(t, w.Take(tt.want, tt.at))
		})
	}
}

// In no window do the extra events exceed the ratio of the base events plus the burst.
func TestRatio(t *testing.T) {
	const window = 10 * time.Second
	r := NewRatio(0.2, 0, window)
	r.SetBurst(3)
	var base, extra []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 40 * time.Millisecond {
		// Base events come for five seconds and then none for five seconds.
		if now/(5*time.Second)%2 == 0 {
			r.CountBase(now)
			base = append(base, now)
		}
		if r.Take(now) {
			extra = append(extra, now)
		}
	}
	count := func(l []time.Duration, from time.Duration) int {
		n := 0
		for _, at := range l {
			if at >= from && at < from+window {
				n++
			}
		}
		return n
	}
	assert.Assert(t, len(extra) > 100)
	for from := time.Duration(0); from < 50*time.Second; from += 500 * time.Millisecond {
		// The observer takes the highest count of base events of the window, of the one
		// before it and of the one half a window earlier.
		maxBase := max(count(base, from), count(base, from-window), count(base, from-window/2))
		assert.Assert(t, float64(count(extra, from)) <= 0.2*float64(maxBase)+3, "window from %s: %d extra events with %d base events", from, count(extra, from), maxBase)
	}
}
