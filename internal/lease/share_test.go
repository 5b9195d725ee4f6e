package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"gotest.tools/v3/assert"
)

// TestUncontendedShareGrantedAtOnce checks that a VM that alone has demand gets its share at its
// next renewal: shares that other VMs do not use are not granted to them.
func TestUncontendedShareGrantedAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		vms      int
		demand   int64
		minShare int64
	}{
		{"a tenth of the cap", 10, 10, 10},
		{"most of the cap", 10, 80, 80},
		{"all of the cap, many VMs", 40, 200, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := catalogue(t)
			g := New(Options{}, 0, 1)
			now := time.Minute
			for i := range tt.vms {
				_, err := g.Renew(renewal(fmt.Sprintf("vm%d", i)), c, now)
				assert.NilError(t, err)
			}
			q := renewal("vm0")
			q.Demands = []*eelpb.Share{{Resource: capName, Amount: tt.demand}}
			a, err := g.Renew(q, c, now+time.Millisecond)
			assert.NilError(t, err)
			for _, s := range a.Shares {
				if s.Resource == capName {
					assert.Assert(t, s.Amount >= tt.minShare, "share is %d", s.Amount)
				}
			}
		})
	}
}

// TestHeldShare checks that the part of an earlier share that a VM still holds is granted to no
// other VM, and is withheld for one window after its release.
func TestHeldShare(t *testing.T) {
	c := catalogue(t)
	g, now := New(Options{}, 0, 1), time.Minute
	seen := map[string]uint64{}
	renew := func(vm string, demand, held int64) int64 {
		q := renewal(vm)
		q.SeenGrant = seen[vm]
		q.Demands = []*eelpb.Share{{Resource: capName, Amount: demand}}
		q.Shares = []*eelpb.Share{{Resource: capName, Amount: held}}
		a, err := g.Renew(q, c, now)
		assert.NilError(t, err)
		seen[vm] = a.Grant
		for _, s := range a.Shares {
			if s.Resource == capName {
				return s.Amount
			}
		}
		return 0
	}
	assert.Equal(t, renew("vm1", 100, 0), int64(100))
	tests := []struct {
		name string
		wait time.Duration
		held int64
		want int64
	}{
		{"all in force", 0, 100, 0},
		{"60 held", shareWindow, 60, 0},
		{"60 held for a window", shareWindow, 60, 40},
		{"released just now", shareWindow / 2, 0, 40},
		{"released a window ago", shareWindow, 0, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now += tt.wait
			assert.Equal(t, renew("vm1", 0, tt.held), int64(0))
			assert.Equal(t, renew("vm2", 100, 0), tt.want)
		})
	}
}
