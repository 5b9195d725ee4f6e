package demo

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/examples"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

const (
	benchNet     = 11
	benchEntries = 10
	// settle is how long a deployment is left alone between two failovers: more than a lease.
	settle = 4 * time.Second
)

func benchDeployment(b *testing.B) *Deployment {
	b.Helper()
	objects, err := model.Parse(examples.Kalogeropoulos)
	assert.NilError(b, err)
	d, err := New(context.Background(), Options{
		Objects: objects, Dir: b.TempDir(), Net: benchNet, Entries: benchEntries, Log: log.NewNopLogger(),
		Targets: map[model.ServiceID]int{"registry": 6}, Slots: 3, ServiceTime: 10 * time.Millisecond,
	})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, d.Close()) })
	return d
}

// report reports the median and the worst of some times in milliseconds.
func report(b *testing.B, name string, l []time.Duration) {
	b.Helper()
	slices.Sort(l)
	b.ReportMetric(float64(l[len(l)/2].Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(l[len(l)-1].Microseconds())/1000, name+"-max-ms")
}

// BenchmarkInForce measures how long a change takes until it is accepted, and
// until it is in force on every entry, both from when it was sent.
func BenchmarkInForce(b *testing.B) {
	d := benchDeployment(b)
	ctx := context.Background()
	var accepted, inForce []time.Duration
	for i := 0; b.Loop(); i++ {
		cat, err := d.Admin.Catalogue(ctx)
		assert.NilError(b, err)
		from := time.Now()
		r, err := d.Admin.Change(ctx, wire.Change{ChangeID: fmt.Sprint("c", i), BaseVersion: cat.Version, Put: []model.Object{{
			Kind: model.ObjectDrain, Name: "bench", Owner: "admin", Spec: fmt.Appendf(nil, "{\"target\":\"none-%d\"}", i),
		}}})
		assert.NilError(b, err)
		accepted = append(accepted, time.Since(from))
		for !d.inForce(r.Version) {
			time.Sleep(time.Millisecond)
		}
		inForce = append(inForce, time.Since(from))
	}
	report(b, "accepted", accepted)
	report(b, "inForce", inForce)
}

// leading returns the index of the replica that leads and is not cut off, or -1.
func (d *Deployment) leading(not int) int {
	for i, n := range d.Nodes {
		if i != not && n.IsLeader() {
			return i
		}
	}
	return -1
}

// leastLease returns what is left of the lease of the entry that has least.
func (d *Deployment) leastLease() time.Duration {
	least := time.Hour
	for _, x := range d.Entries {
		least = min(least, x.Status().LeaseMillis.Duration())
	}
	return least
}

// BenchmarkFailover cuts the leading replica off and measures how long the
// others are without a leader, and what is left of the entries' leases at worst.
func BenchmarkFailover(b *testing.B) {
	d := benchDeployment(b)
	var without, left []time.Duration
	for b.Loop() {
		time.Sleep(settle)
		old := d.leading(-1)
		host := []string{d.ip(stateHosts, old+1)}
		from, least := time.Now(), time.Hour
		d.Net.Isolate(host)
		for d.leading(old) < 0 {
			time.Sleep(time.Millisecond)
		}
		without = append(without, time.Since(from))
		for time.Since(from) < settle {
			least = min(least, d.leastLease())
			time.Sleep(time.Millisecond)
		}
		left = append(left, least)
		d.Net.Rejoin(host)
	}
	report(b, "withoutLeader", without)
	slices.Sort(left)
	b.ReportMetric(float64(left[0].Milliseconds()), "leastLeaseLeft-ms")
}
