package proxy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limiting returns a response that names a limit.
func limiting(response, limit string) string {
	return strings.Replace(response, "\r\n", "\r\nEel-Limit: "+limit+"\r\n", 1)
}

// fleetOf returns proxies of several VMs in front of the same targets.
func fleetOf(t *testing.T, vms int, targets ...*fakeTarget) []*Proxy {
	t.Helper()
	var out []*Proxy
	for i := range vms {
		w := clusterOf(t, targets...)
		w.vms, w.rank = vms, i
		p := newProxy(w)
		t.Cleanup(func() { assert.NilError(t, p.Close()) })
		out = append(out, p)
	}
	return out
}

// A target names in its responses the requests per second that it takes from all VMs together, and
// gets many times as many. Below the limit, requests must go to other targets; none may be failed
// for it.
func TestLimitOfTargetIsKept(t *testing.T) {
	const (
		perSecond = 2.0
		settle    = 500 * time.Millisecond
		duration  = 3 * time.Second
	)
	// The target accepts half more than its limit, and five requests, in any four seconds.
	most := int(1.5*4*perSecond) + 5
	for _, vms := range []int{1, 9, 30} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			inNeed, sound := newFakeTarget(t, limiting(okResponse, "2.0")), newFakeTarget(t, okResponse)
			fleet := fleetOf(t, vms, inNeed, sound)
			var g sync.WaitGroup
			for i, p := range fleet {
				for j := range 3 {
					doRequestAs(p, fmt.Sprintf("first-%d-%d", i, j), "/once/x")
				}
			}
			time.Sleep(settle)
			before := inNeed.requests()
			for i, p := range fleet {
				g.Go(func() {
					for n, from := 0, time.Now(); time.Since(from) < duration; n++ {
						w := doRequestAs(p, fmt.Sprintf("id-%d-%d", i, n), "/once/x")
						assert.Check(t, w.Code == 200, "status %d: %s", w.Code, w.Body)
						time.Sleep(rand.N(40 * time.Millisecond))
					}
				})
			}
			g.Wait()
			got := inNeed.requests() - before
			assert.Assert(t, got <= most, "%d requests in %s, allowed are %d", got, duration, most)
			assert.Assert(t, got >= 1, "the target gets nothing")
		})
	}
}
