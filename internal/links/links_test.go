package links

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A VM concludes that it is cut off only if no target of any service accepts a connection, and that its
// links are back only after two probes in a row.
func TestDetector(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at time.Duration
		// do returns whether the VM is to probe.
		do    func(*Detector, time.Duration) bool
		probe bool
		// cutOff is the state after the step.
		cutOff bool
	}
	failed := func(d *Detector, now time.Duration) bool { return d.Failed(true, now) }
	timedOut := func(d *Detector, now time.Duration) bool { return d.Failed(false, now) }
	sent := func(target string) func(*Detector, time.Duration) bool {
		return func(d *Detector, now time.Duration) bool { return d.Sent(target, now) }
	}
	heard := func(d *Detector, now time.Duration) bool { d.Heard(now); return false }
	connected := func(d *Detector, now time.Duration) bool { d.Connected(now); return false }
	probed := func(dialled, accepted int) func(*Detector, time.Duration) bool {
		return func(d *Detector, now time.Duration) bool {
			d.Probed(Probe{Dialled: dialled, Accepted: accepted}, now)
			return false
		}
	}
	refused := func(d *Detector, now time.Duration) bool {
		d.Probed(Probe{Dialled: 6, Refused: 6}, now)
		return false
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"a send times out shortly after a target has responded", []step{
			{1000 * ms, heard, false, false}, {1200 * ms, timedOut, false, false}, {1300 * ms, timedOut, true, false},
		}},
		{"dials time out half a second after a target has responded", []step{
			{1000 * ms, heard, false, false}, {1100 * ms, failed, true, false}, {1600 * ms, probed(12, 0), false, false}, {1900 * ms, failed, true, false}, {2400 * ms, probed(12, 0), false, true},
		}},
		{"dials time out over full links, and a target responds meanwhile", []step{
			{1000 * ms, failed, true, false}, {1100 * ms, heard, false, false}, {1250 * ms, probed(6, 0), false, false},
		}},
		{"dials are refused, and a target responds on an open connection", []step{
			{1000 * ms, failed, true, false}, {1001 * ms, heard, false, false}, {1001 * ms, refused, false, true}, {1100 * ms, heard, false, true},
		}},
		{"a target responds although dials timed out", []step{
			{1000 * ms, failed, true, false}, {1250 * ms, probed(6, 0), false, true}, {1300 * ms, heard, false, false},
		}},
		{"a failed send and no target accepts", []step{{1000 * ms, failed, true, false}, {1250 * ms, probed(6, 0), false, true}}},
		{"a failed send and one target accepts", []step{{1000 * ms, failed, true, false}, {1250 * ms, probed(6, 1), false, false}}},
		{"one target in all", []step{{1000 * ms, failed, true, false}, {1250 * ms, probed(1, 0), false, false}}},
		{"one probe at a time, with a pause", []step{
			{1000 * ms, failed, true, false}, {1010 * ms, failed, false, false}, {1050 * ms, probed(6, 3), false, false},
			{1200 * ms, failed, false, false}, {1310 * ms, failed, true, false},
		}},
		{"connected just now", []step{{1000 * ms, connected, false, false}, {1050 * ms, failed, false, false}, {1150 * ms, failed, true, false}}},
		{"silence of two targets", []step{
			{1000 * ms, sent("a"), false, false}, {1100 * ms, sent("b"), false, false}, {1251 * ms, sent("c"), true, false}, {1500 * ms, probed(6, 0), false, true},
		}},
		{"silence of one target", []step{{1000 * ms, sent("a"), false, false}, {1500 * ms, sent("a"), false, false}}},
		{"a target responds in between", []step{
			{1000 * ms, sent("a"), false, false}, {1200 * ms, heard, false, false}, {1300 * ms, sent("b"), false, false}, {1400 * ms, sent("c"), false, false},
		}},
		{"idle before", []step{{1000 * ms, heard, false, false}, {9000 * ms, sent("a"), false, false}, {9100 * ms, sent("b"), false, false}}},
		{"back after two probes", []step{
			{1000 * ms, failed, true, false}, {1250 * ms, probed(6, 0), false, true}, {1600 * ms, probed(6, 1), false, true},
			{1900 * ms, probed(6, 0), false, true}, {2200 * ms, probed(6, 5), false, true}, {2500 * ms, probed(6, 6), false, false},
		}},
		{"no probe on request while cut off", []step{
			{1000 * ms, failed, true, false}, {1250 * ms, probed(6, 0), false, true}, {2000 * ms, failed, false, true}, {3000 * ms, sent("a"), false, true},
		}},
		{"cut off again", []step{
			{1000 * ms, failed, true, false}, {1250 * ms, probed(6, 0), false, true}, {1600 * ms, probed(6, 6), false, true}, {1900 * ms, probed(6, 6), false, false},
			{2300 * ms, failed, true, false}, {2550 * ms, probed(6, 0), false, true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New()
			d.Heard(ms)
			for i, s := range tt.steps {
				assert.Equal(t, s.do(d, s.at), s.probe, "step %d", i)
				assert.Equal(t, d.CutOff(), s.cutOff, "step %d", i)
			}
		})
	}
}

// A process that has just started has heard of no target: dials that time out tell nothing of its links,
// which carry the catalogue and all callers that come back.
func TestNoCutBeforeFirstResponse(t *testing.T) {
	d := New()
	assert.Assert(t, !d.Failed(false, 5*time.Second))
	assert.Assert(t, !d.Sent("a", 5*time.Second))
	assert.Assert(t, !d.Sent("b", 6*time.Second))
	assert.Assert(t, !d.Probed(Probe{Dialled: 12}, 6*time.Second))
	assert.Assert(t, d.Failed(true, 7*time.Second))
	assert.Assert(t, d.Probed(Probe{Dialled: 6, Refused: 6}, 7*time.Second))
}

// A process that starts behind a cut never hears of a target. It must find out all the same, while one whose links
// are merely full still gets connections.
func TestStartBehindCut(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name        string
		connectedAt []time.Duration
		cutOff      bool
	}{
		{"no connection", nil, true},
		{"a connection just before the cut", []time.Duration{1010 * ms}, true},
		{"a connection now and then", []time.Duration{1500 * ms, 2300 * ms, 3100 * ms}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New()
			for now := time.Second; now < 4*time.Second; now += 50 * ms {
				for _, at := range tt.connectedAt {
					if at > now-50*ms && at <= now {
						d.Connected(at)
					}
				}
				if d.Sent("a", now) || d.Sent("b", now) || d.Failed(false, now) {
					d.Probed(Probe{Dialled: 6}, now+40*ms)
				}
				assert.Assert(t, !d.CutOff() || now-time.Second >= minFirstSilence-50*ms, "cut off after %v", now-time.Second)
			}
			assert.Equal(t, d.CutOff(), tt.cutOff)
		})
	}
}

// The number of cuts and the time of the last change are kept for operators.
func TestState(t *testing.T) {
	d := New()
	down, up := Probe{Dialled: 6, Refused: 6}, Probe{Dialled: 6, Accepted: 6}
	for i := range 3 {
		at := time.Duration(i+1) * time.Minute
		assert.Assert(t, d.Probed(down, at))
		assert.Assert(t, !d.Probed(down, at+1))
		assert.Equal(t, d.State(), State{CutOff: true, Since: at, Cuts: i + 1})
		assert.Assert(t, !d.Probed(up, at+2))
		assert.Assert(t, d.Probed(up, at+3))
		assert.Equal(t, d.State(), State{Since: at + 3, Cuts: i + 1})
	}
}
