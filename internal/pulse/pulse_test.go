package pulse

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An order that waited in the socket of a frozen process must not be taken for a new one, whether the first to run
// after the freeze is the beat or the reader of the order.
func TestEarliestArrival(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name  string
		beats []time.Duration
		now   time.Duration
		want  time.Duration
	}{
		{"never frozen", []time.Duration{100 * ms, 200 * ms}, 250 * ms, 100 * ms},
		{"the beat runs first", []time.Duration{100 * ms, 4100 * ms}, 4110 * ms, 100 * ms},
		{"the reader runs first", []time.Duration{100 * ms}, 4100 * ms, 100 * ms},
		{"frozen some time ago", []time.Duration{100 * ms, 4100 * ms, 4200 * ms}, 4300 * ms, 100 * ms},
		{"frozen long ago", append([]time.Duration{100 * ms}, every(100*ms, 4100*ms, 5100*ms)...), 5150 * ms, 5000 * ms},
		{"frozen again", []time.Duration{100 * ms, 4100 * ms, 4200 * ms, 6200 * ms}, 6250 * ms, 4200 * ms},
		{"a short gap", []time.Duration{100 * ms, 240 * ms}, 300 * ms, 150 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Duration(0)
			p := New(func() time.Duration { return now })
			for _, b := range tt.beats {
				now = b
				p.Beat()
			}
			now = tt.now
			assert.Equal(t, p.EarliestArrival(), tt.want)
		})
	}
}

// every returns the times from one to another at an interval.
func every(interval, from, to time.Duration) []time.Duration {
	var out []time.Duration
	for t := from; t <= to; t += interval {
		out = append(out, t)
	}
	return out
}
