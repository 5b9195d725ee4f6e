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
		{"at once", 100 * time.Millisecond, 10},
		{"later in the second", 900 * time.Millisecond, 10},
		{"after the second", 1150 * time.Millisecond, 1},
		{"long after", time.Hour, 0},
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

// No second of any position sees more than the limit, whatever is asked for and given back.
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
		assert.Assert(t, i-from+1 <= limit, "%d in the second to %s", i-from+1, at[i])
	}
}

// What is held counts until it is released, and for a window after.
func TestHold(t *testing.T) {
	const limit = 10
	tests := []struct {
		name string
		held int64
		used int64
		at   time.Duration
		want int64
	}{
		{"held for long", 6, -1, time.Minute, 4},
		{"used just now", 6, 6, WindowLength / 2, 4},
		{"used a window ago", 6, 6, time.Minute, 10},
		{"partly used just now", 6, 2, WindowLength / 2, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWindow()
			w.SetLimit(limit)
			assert.Assert(t, w.Reserve(tt.held, 0))
			if tt.used >= 0 {
				w.Release(tt.held, tt.used, 0)
			}
			assert.Assert(t, !w.Take(tt.want+1, tt.at))
			assert.Assert(t, w.Take(tt.want, tt.at))
		})
	}
}

// In no window that begins at any time do the bounded events exceed the ratio of
// the others and the burst.
func TestRatio(t *testing.T) {
	const window = 10 * time.Second
	r := NewRatio(0.2, 0, window)
	r.SetBurst(3)
	var base, extra []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 40 * time.Millisecond {
		// Requests come for five seconds and stay away for five.
		if now/(5*time.Second)%2 == 0 {
			r.CountBase(now)
			base = append(base, now)
		}
		if r.Take(now) {
			extra = append(extra, now)
		}
	}
	in := func(l []time.Duration, from time.Duration) int {
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
		// The observer counts the requests of the window, of the one before, or of
		// the one half a window before, whichever has most.
		most := max(in(base, from), in(base, from-window), in(base, from-window/2))
		assert.Assert(t, float64(in(extra, from)) <= 0.2*float64(most)+3, "window from %s: %d of %d", from, in(extra, from), most)
	}
}
