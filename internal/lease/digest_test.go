package lease

import (
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"gotest.tools/v3/assert"
)

// TestDigests checks that reports and replies omit what has not changed, and that a grantor that
// does not have the omitted targets requests all of them.
func TestDigests(t *testing.T) {
	c := catalogue(t)
	report := func(id string) *eelpb.TargetReport {
		return &eelpb.TargetReport{Id: id, Service: "registry", FailureDomain: "attiki-a", Slots: 3, Ready: true}
	}
	two := []*eelpb.TargetReport{report("t1"), report("t2")}
	g, now := New(Options{}, 0, 1), time.Minute
	renew := func(g *Grantor, q *eelpb.RenewRequest) *eelpb.RenewReply {
		now += 100 * time.Millisecond
		a, err := g.Renew(q, c, now)
		assert.NilError(t, err)
		return a
	}
	q := renewal("vm1")
	q.Targets = two
	full := renew(g, q)
	assert.Equal(t, len(full.Owned), 2)
	same := renewal("vm1")
	same.TargetsSame, same.TargetsDigest, same.HoldsDigest = true, TargetsDigest(two), full.HoldsDigest
	more := renewal("vm1")
	more.Targets, more.HoldsDigest = []*eelpb.TargetReport{report("t1"), report("t2"), report("t3")}, full.HoldsDigest
	other := renewal("vm1")
	other.TargetsSame, other.TargetsDigest = true, TargetsDigest(two[:1])
	tests := []struct {
		name        string
		g           *Grantor
		q           *eelpb.RenewRequest
		wantTargets bool
		same        bool
		owned       int
	}{
		{"nothing changed", g, same, false, true, 0},
		{"unknown digest", g, other, true, false, 0},
		{"new target", g, more, false, false, 3},
		{"outdated digest", g, same, true, false, 0},
		{"new grantor", New(Options{}, 0, 2), same, true, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := renew(tt.g, tt.q)
			assert.Equal(t, a.WantTargets, tt.wantTargets)
			assert.Equal(t, a.HoldsSame, tt.same)
			assert.Equal(t, len(a.Owned), tt.owned)
		})
	}
	assert.Equal(t, len(g.targets), 3)
}
