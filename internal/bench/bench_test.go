package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/demo"
	"github.com/eelgrassroad/eelgrassroad/pkg/caller"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// BenchmarkOverhead compares an uncontended lookup through an entry with the same
// call directly to the target, alternately, over the same relay.
func BenchmarkOverhead(b *testing.B) {
	ctx := context.Background()
	objects, err := model.Parse(Kalogeropoulos.File)
	assert.NilError(b, err)
	d, err := demo.New(ctx, demo.Options{
		Objects: objects, Dir: b.TempDir(), Net: 7, Entries: 1, Slots: 3, ServiceTime: time.Millisecond,
		Targets: map[model.ServiceID]int{"registry": 1}, Log: log.NewNopLogger(),
	})
	assert.NilError(b, err)
	c := d.Callers()[0]
	var direct, steered []time.Duration
	for i := 0; b.Loop(); i++ {
		direct = append(direct, callTarget(b, d.Targets[0].Addr(), i))
		start := time.Now()
		a, err := c.Do(ctx, caller.Request{Service: "registry", Class: "lookup"})
		assert.NilError(b, err)
		assert.Equal(b, a.Outcome, wire.Answered, a.Reason)
		steered = append(steered, time.Since(start))
	}
	slices.Sort(direct)
	slices.Sort(steered)
	b.ReportMetric(float64(direct[len(direct)/2].Microseconds()), "us-straight-p50")
	b.ReportMetric(float64(steered[len(steered)/2].Microseconds()), "us-steered-p50")
	c.Close()
	assert.NilError(b, d.Close())
}

func callTarget(b *testing.B, addr string, i int) time.Duration {
	start := time.Now()
	q, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
	assert.NilError(b, err)
	q.Header.Set(wire.HeaderRequestID, fmt.Sprintf("straight-%d", i))
	res, err := http.DefaultClient.Do(q)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(b, err)
	assert.NilError(b, res.Body.Close())
	return time.Since(start)
}
