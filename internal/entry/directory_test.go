package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// The list of a new leader begins empty. An entry that took it for the whole one took too large a part of a target's limit,
// and named too few entries to callers. It keeps the VMs of the former list for a lease, without what they owned.
func TestDirectoryOfNewLeader(t *testing.T) {
	const leaseMS, epoch = 2500, uint64(1) << 32
	reply := func(revision uint64, full bool, ids ...string) *eelpb.RenewReply {
		r := &eelpb.RenewReply{LeaseMs: leaseMS, Directory: revision, DirectoryFull: full}
		for _, id := range ids {
			r.Vms = append(r.Vms, &eelpb.VM{Id: id, Sites: []*eelpb.SiteLoad{{Service: "s", Slots: 1}}})
		}
		return r
	}
	removed := reply(2*epoch+2, false)
	removed.RemovedVms = []string{"b"}
	leaving := reply(2*epoch+2, false, "b")
	leaving.Vms[0].Leaving = true
	type step struct {
		at     time.Duration
		r      *eelpb.RenewReply
		vms    []string
		owners []string
	}
	first := step{0, reply(epoch+3, true, "a", "b", "c"), []string{"a", "b", "c"}, []string{"a", "b", "c"}}
	newLeader := step{time.Second, reply(2*epoch+1, true, "a"), []string{"a", "b", "c"}, []string{"a"}}
	tests := []struct {
		name  string
		steps []step
	}{
		{"the same leader", []step{first, {time.Second, reply(epoch+9, true, "a"), []string{"a"}, []string{"a"}}}},
		{"a new leader", []step{first, newLeader}},
		{"the others renew", []step{first, newLeader, {1800 * time.Millisecond, reply(2*epoch+3, false, "b", "c"), []string{"a", "b", "c"}, []string{"a", "b", "c"}}, {9 * time.Second, reply(2*epoch+3, false), []string{"a", "b", "c"}, []string{"a", "b", "c"}}}},
		{"one is gone", []step{first, newLeader, {3400 * time.Millisecond, reply(2*epoch+3, false, "b"), []string{"a", "b", "c"}, []string{"a", "b"}}, {3600 * time.Millisecond, reply(2*epoch+3, false), []string{"a", "b"}, []string{"a", "b"}}}},
		{"one is removed", []step{first, newLeader, {1800 * time.Millisecond, removed, []string{"a", "c"}, []string{"a"}}}},
		{"one leaves", []step{first, newLeader, {1800 * time.Millisecond, leaving, []string{"a", "b", "c"}, []string{"a"}}}},
		{"two changes of the leader", []step{first, newLeader, {2 * time.Second, reply(3*epoch+1, true, "c"), []string{"a", "b", "c"}, []string{"c"}}, {4400 * time.Millisecond, reply(3*epoch+2, false, "a"), []string{"a", "b", "c"}, []string{"a", "c"}}, {4600 * time.Millisecond, reply(3*epoch+2, false), []string{"a", "c"}, []string{"a", "c"}}}},
		{"the first list", []step{{0, reply(epoch+1, true, "a"), []string{"a"}, []string{"a"}}}},
	}
	for _, tt := range tests {
		var d directory
		for i, x := range tt.steps {
			d.apply(x.r, x.at)
			var vms, owners []string
			for _, r := range d.reports() {
				vms = append(vms, r.VM.Id)
				if len(r.VM.Sites) > 0 && !r.VM.Leaving {
					owners = append(owners, r.VM.Id)
				}
			}
			slices.Sort(vms)
			slices.Sort(owners)
			assert.DeepEqual(t, vms, x.vms)
			assert.DeepEqual(t, owners, x.owners)
			assert.Equal(t, d.countActive(func(v *eelpb.VM) bool { return v.Id == "b" }) == 1, slices.Contains(x.vms, "b") && x.r != leaving, "%s, step %d", tt.name, i)
		}
	}
}

// The parts of a limit that entries take come to no more than the limit while a new leader hears them one after the other.
func TestPartsOfLimitWithNewLeader(t *testing.T) {
	const n = 9
	c, err := model.NewCatalogue(1, nil)
	assert.NilError(t, err)
	former, next := lease.New(lease.Options{}, 0, 1), lease.New(lease.Options{}, 10*time.Second, 2)
	var entries []*Entry
	renew := func(g *lease.Grantor, x *Entry, now time.Duration) {
		r, err := g.Renew(&eelpb.RenewRequest{Vm: string(x.o.ID), Incarnation: 1, FailureDomain: string(x.o.Domain), Directory: x.directory.version()}, c, now)
		assert.NilError(t, err)
		x.directory.apply(r, now)
	}
	c.Domains["a-1"] = model.FailureDomain{Region: "a"}
	for i := range n {
		entries = append(entries, &Entry{o: Options{ID: model.VMID(fmt.Sprint("v", i)), Domain: "a-1"}})
	}
	for range 2 {
		for _, x := range entries {
			renew(former, x, 9*time.Second)
		}
	}
	for i, x := range entries {
		renew(next, x, 10*time.Second+time.Duration(i)*80*time.Millisecond)
		for _, y := range entries {
			assert.Equal(t, y.Position("t0").VMs, n, "%s, after the renewal of %s", y.o.ID, x.o.ID)
		}
	}
}
