package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdeal(t *testing.T) {
	o := Options{Firm: Kalogeropoulos, Seed: 1, Length: 20 * time.Second, ServiceTime: 100 * time.Millisecond}
	tests := []struct {
		name  string
		load  float64
		least float64
		most  float64
	}{
		// Of exponential times 1 % are above 4.6 means; a queue adds to them.
		{"light load", 0.3, 400, 550},
		{"overload", 1.3, 3000, 20000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o.Load = tt.load
			p50, p99 := o.ideal("registry", 0)
			assert.Assert(t, p50 < p99)
			assert.Assert(t, p99 > tt.least && p99 < tt.most, "p99 is %f", p99)
		})
	}
}
