package proxy

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// A connection belongs to the next request as soon as it is returned. The request before must not
// look at it any more, which the race detector shows.
func TestReturnedConnectionIsNotRead(t *testing.T) {
	s := newFakeTarget(t, okResponse)
	p := newProxy(clusterOf(t, s))
	var g sync.WaitGroup
	for i := range 3 {
		g.Go(func() {
			for j := range 200 {
				assert.Check(t, doRequestAs(p, fmt.Sprintf("id-%d-%d", i, j), "/once/x").Code == 200)
			}
		})
	}
	g.Wait()
}
