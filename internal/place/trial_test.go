package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An estimate that refuses all requests is tried by single requests, ever more rarely while they
// fail, and not at all while there are measurements.
func TestTrials(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at   time.Duration
		do   string
		want bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"before any measurement", []step{{0, "start", true}}},
		{"one at a time", []step{{0, "start", true}, {5000 * ms, "start", false}}},
		{"soon after a measurement", []step{{0, "observe", true}, {900 * ms, "start", false}, {1000 * ms, "start", true}}},
		{"not sent", []step{{0, "start", true}, {1 * ms, "not sent", true}, {2 * ms, "start", true}}},
		{"served", []step{{0, "start", true}, {300 * ms, "served", true}, {1200 * ms, "start", false}, {1300 * ms, "start", true}}},
		{"failed repeatedly", []step{
			{0, "start", true}, {0, "failed", true}, {900 * ms, "start", false}, {1000 * ms, "start", true}, {1000 * ms, "failed", true},
			{2900 * ms, "start", false}, {3000 * ms, "start", true}, {3000 * ms, "failed", true}, {6900 * ms, "start", false},
			{7000 * ms, "start", true}, {7000 * ms, "failed", true}, {10_900 * ms, "start", false}, {11_000 * ms, "start", true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewServiceTime(400 * ms)
			for i, x := range tt.steps {
				switch x.do {
				case "start":
					assert.Equal(t, s.StartTrial(false, x.at), x.want, "step %d", i)
				case "observe":
					s.Observe(false, 300*ms, x.at)
				case "not sent":
					s.EndTrial(false, TrialNotSent, 0, x.at)
				case "served":
					s.EndTrial(false, TrialServed, 300*ms, x.at)
				case "failed":
					s.EndTrial(false, TrialFailed, 300*ms, x.at)
				}
			}
		})
	}
}

// A trial that is served replaces an estimate from a time when targets were slower. It never raises
// an estimate, and one that is not served changes none.
func TestTrialCorrectsEstimate(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		isWarm     bool
		result     TrialResult
		took       time.Duration
		warm, cold time.Duration
	}{
		{"warm", true, TrialServed, 100 * ms, 100 * ms, 2000 * ms},
		{"cold", false, TrialServed, 700 * ms, 700 * ms, 700 * ms},
		{"slower than expected", true, TrialServed, 3000 * ms, 1000 * ms, 2000 * ms},
		{"failed", true, TrialFailed, 100 * ms, 1000 * ms, 2000 * ms},
		{"not sent", true, TrialNotSent, 0, 1000 * ms, 2000 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewServiceTime(2000 * ms)
			assert.Assert(t, s.StartTrial(tt.isWarm, 0))
			s.EndTrial(tt.isWarm, tt.result, tt.took, tt.took)
			assert.Equal(t, s.Estimate(true), tt.warm)
			assert.Equal(t, s.Estimate(false), tt.cold)
		})
	}
}
