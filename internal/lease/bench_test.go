package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// BenchmarkRenew measures the time and the bytes of one renewal for several numbers of VMs per
// grantor. Each VM owns six targets.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{10, 36, 143, 500} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := catalogue(b)
			g := New(Options{}, 0, 1)
			domains := []string{"attiki-a", "attiki-b", "makedonia-a", "makedonia-b", "kriti-a", "kriti-b"}
			list := make([]*eelpb.RenewRequest, n)
			for i := range list {
				q := renewal(fmt.Sprintf("vm%d", i))
				q.FailureDomain = domains[i%6]
				q.Addr = "127.0.0.1:7100"
				for k := range 6 {
					q.Targets = append(q.Targets, &eelpb.TargetReport{
						Id: fmt.Sprintf("t%d-%d", i, k), Addr: "127.0.0.1:7000", FailureDomain: q.FailureDomain,
						Service: fmt.Sprintf("s%d", i/6), Slots: 3, Ready: true, Incarnation: 1,
					})
				}
				q.Sites = []*eelpb.SiteLoad{{Service: "s", FailureDomain: q.FailureDomain, Slots: 18, InFlight: 4, LatencyUs: 20000}}
				list[i] = q
			}
			now, bytes, i := time.Minute, 0, 0
			for b.Loop() {
				q := list[i%n]
				q.Sites[0].InFlight = uint32(i % 18)
				a, err := g.Renew(q, c, now)
				assert.NilError(b, err)
				bytes += proto.Size(q) + proto.Size(a)
				applyReply(q, a)
				now += renewPeriod / time.Duration(n)
				i++
			}
			b.ReportMetric(float64(bytes)/float64(i), "B/renewal")
		})
	}
}

// applyReply updates a VM's next renewal by the reply to the last one, as an entry does.
func applyReply(q *eelpb.RenewRequest, a *eelpb.RenewReply) {
	q.SeenGrant, q.Directory = a.Grant, a.Directory
	if !q.TargetsSame {
		q.TargetsSame, q.TargetsDigest, q.Targets = true, TargetsDigest(q.Targets), nil
	}
	if a.HoldsSame {
		return
	}
	q.HoldsDigest, q.Held = a.HoldsDigest, nil
	for _, t := range a.Owned {
		q.Held = append(q.Held, t.Id)
	}
}

// renewPeriod is the interval between the renewals of a VM.
const renewPeriod = 500 * time.Millisecond
