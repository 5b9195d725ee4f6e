package entry

import (
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// An entry sends a suspected request once the leader permits it, once for each permission, and asks again if it gets none. A
// leader of an earlier build permits nothing, and entries decide by themselves as before.
func TestTrialPermission(t *testing.T) {
	d, other := model.RequestDigest{1}, model.RequestDigest{2}
	renew := func(v *evidence, now time.Duration, r *eelpb.RenewReply) [][]byte {
		q := &eelpb.RenewRequest{}
		v.add(q, now)()
		v.permitted(r, now)
		return q.Trials
	}
	permits := func(x ...model.RequestDigest) *eelpb.RenewReply {
		r := &eelpb.RenewReply{PermitsTrials: true}
		for _, d := range x {
			r.Trials = append(r.Trials, d[:])
		}
		return r
	}
	tests := []struct {
		name  string
		reply *eelpb.RenewReply
		// after is the time from the reply to the request, and may whether it is sent, and the next one.
		after time.Duration
		may   [2]bool
	}{
		{"permitted", permits(d), 20 * time.Millisecond, [2]bool{true, false}},
		{"permitted too long ago", permits(d), trialTTL, [2]bool{false, false}},
		{"not permitted", permits(), 20 * time.Millisecond, [2]bool{false, false}},
		{"another one is permitted", permits(other), 20 * time.Millisecond, [2]bool{false, false}},
		{"a leader of an earlier build", &eelpb.RenewReply{}, 20 * time.Millisecond, [2]bool{true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v evidence
			may, ask := v.trials.take(d, time.Second)
			assert.Assert(t, !may && ask)
			_, ask = v.trials.take(d, time.Second+20*time.Millisecond)
			assert.Assert(t, !ask, "asked twice")
			assert.Equal(t, len(renew(&v, time.Second, tt.reply)), 1)
			assert.Equal(t, len(renew(&v, time.Second, tt.reply)), 0)
			for _, want := range tt.may {
				may, _ := v.trials.take(d, time.Second+tt.after)
				assert.Equal(t, may, want)
			}
			_, ask = v.trials.take(d, time.Second+tt.after+trialAskInterval)
			assert.Equal(t, ask, !v.trials.free)
		})
	}
}

// A flood of suspected requests asks for a bounded number of trials.
func TestTrialsAreBounded(t *testing.T) {
	var v evidence
	for i := range 4 * maxPendingTrials {
		v.trials.take(model.RequestDigest{byte(i), byte(i >> 8), 1}, time.Second)
	}
	q := &eelpb.RenewRequest{}
	v.add(q, time.Second)
	assert.Equal(t, len(q.Trials), maxPendingTrials)
	assert.Equal(t, len(v.trials.askedAt), maxPendingTrials)
}
