package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdeal(t *testing.T) {
	o := Options{Firm: Kalogeropoulos, Seed: 1, Length: 20 * time.Second, ServiceTime: 100 * time.Millisecond}
	tests := []struct {
		name   string
		load   float64
		minP99 float64
		maxP99 float64
	}{
		// 1 % of exponential service times exceed 4.6 times the mean; queueing adds to that.
		{"light load", 0.3, 400, 550},
		{"overload", 1.3, 3000, 20000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o.Load = tt.load
			p50, p99 := o.ideal("registry", 0)
			assert.Assert(t, p50 < p99)
			assert.Assert(t, p99 > tt.minP99 && p99 < tt.maxP99, "p99 is %f", p99)
		})
	}
}
