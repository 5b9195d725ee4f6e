package quota

import (
	"fmt"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// Load pattern: a workspace turns hot at many VMs at once, before any of them has a credit for it. What
// the VMs admit without credit must stay within the allowance too.
func TestFirstRequestsOfManyVMs(t *testing.T) {
	const pressure = 10
	a := model.Allowance{PerSecond: 8, Burst: 4}
	allowed := int((a.PerSecond*simBounds.Window.Seconds()+a.Burst)*simBounds.OverageFactor + simBounds.Tolerance)
	for _, vms := range []int{11, 45, 78, 185} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			admitted := 0
			for range vms {
				m := NewMeter(simBounds)
				for range pressure {
					if m.Acquire("w", simBounds.Most(a), vms, 0) == Admitted {
						admitted++
					}
				}
			}
			assert.Assert(t, admitted <= allowed, "%d admitted, allowed are %d", admitted, allowed)
		})
	}
}
