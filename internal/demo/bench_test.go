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
	// settleTime is the time without faults between two failovers: more than the
	// duration of a lease.
	settleTime = 4 * time.Second
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

// report reports the median and the maximum of durations in milliseconds.
func report(b *testing.B, name string, l []time.Duration) {
	b.Helper()
	slices.Sort(l)
	b.ReportMetric(float64(l[len(l)/2].Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(l[len(l)-1].Microseconds())/1000, name+"-max-ms")
}

// BenchmarkInForce measures the time from sending a change until it is accepted,
// and until it is in force on every entry.
func BenchmarkInForce(b *testing.B) {
	d := benchDeployment(b)
	ctx := context.Background()
	var accepted, inForce []time.Duration
	for i := 0; b.Loop(); i++ {
		cat, err := d.Admin.Catalogue(ctx)
		assert.NilError(b, err)
		start := time.Now()
		r, err := d.Admin.Change(ctx, wire.Change{ChangeID: fmt.Sprint("c", i), BaseVersion: cat.Version, Put: []model.Object{{
			Kind: model.ObjectDrain, Name: "bench", Owner: "admin", Spec: fmt.Appendf(nil, "{\"target\":\"none-%d\"}", i),
		}}})
		assert.NilError(b, err)
		accepted = append(accepted, time.Since(start))
		for !d.inForce(r.Version) {
			time.Sleep(time.Millisecond)
		}
		inForce = append(inForce, time.Since(start))
	}
	report(b, "accepted", accepted)
	report(b, "inForce", inForce)
}

// leaderIndex returns the index of a replica that is leader, other than the one
// with index exclude, or -1.
func (d *Deployment) leaderIndex(exclude int) int {
	for i, n := range d.Nodes {
		if i != exclude && n.IsLeader() {
			return i
		}
	}
	return -1
}

// minLease returns the minimum remaining lease time over all entries.
func (d *Deployment) minLease() time.Duration {
	minimum := time.Hour
	for _, x := range d.Entries {
		minimum = min(minimum, x.Status().LeaseMillis.Duration())
	}
	return minimum
}

// BenchmarkFailover partitions the leader from the other replicas, and measures how
// long these have no leader and the minimum remaining lease time of the entries.
func BenchmarkFailover(b *testing.B) {
	d := benchDeployment(b)
	var leaderless, remaining []time.Duration
	for b.Loop() {
		time.Sleep(settleTime)
		old := d.leaderIndex(-1)
		host := []string{d.ip(stateHosts, old+1)}
		start, minimum := time.Now(), time.Hour
		d.Net.Isolate(host)
		for d.leaderIndex(old) < 0 {
			time.Sleep(time.Millisecond)
		}
		leaderless = append(leaderless, time.Since(start))
		for time.Since(start) < settleTime {
			minimum = min(minimum, d.minLease())
			time.Sleep(time.Millisecond)
		}
		remaining = append(remaining, minimum)
		d.Net.Rejoin(host)
	}
	report(b, "withoutLeader", leaderless)
	slices.Sort(remaining)
	b.ReportMetric(float64(remaining[0].Milliseconds()), "leastLeaseLeft-ms")
}
