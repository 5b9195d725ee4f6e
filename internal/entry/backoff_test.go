package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Entries that fail together must not retry together: their delays spread over half of the
// backoff, and no delay is longer than half of eelplat's renewal interval of 800 ms.
func TestBackoff(t *testing.T) {
	tests := []struct {
		failures  int
		low, high time.Duration
	}{
		{0, 25 * time.Millisecond, 50 * time.Millisecond},
		{1, 50 * time.Millisecond, 100 * time.Millisecond},
		{3, 200 * time.Millisecond, 400 * time.Millisecond},
		{1000, 200 * time.Millisecond, 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.failures), func(t *testing.T) {
			seen := map[time.Duration]bool{}
			for range 100 {
				d := backoff(tt.failures)
				assert.Assert(t, d >= tt.low && d <= tt.high, "%s", d)
				seen[d] = true
			}
			assert.Assert(t, len(seen) > 50, "%d different pauses", len(seen))
		})
	}
}
