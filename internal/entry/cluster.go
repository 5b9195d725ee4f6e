package entry

import (
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Catalogue returns the catalogue in force, or nil before the first.
func (x *Entry) Catalogue() *model.Catalogue { return x.store.catalogue() }

// Fresh reports whether the catalogue is known to be the newest.
func (x *Entry) Fresh() bool { return x.leaseValid() }

// MajorityRead reports whether, at the start, the catalogue was pulled from or compared with
// more than half of the known replicas, none of which had a newer one.
func (x *Entry) MajorityRead() bool { return x.majorityRead.Load() }

// AddReplicas adds replicas that the settings list.
func (x *Entry) AddReplicas(replicas []string) { x.state.addReplicas(replicas) }

// Entries returns the active entries, nearest to a region first. Entries of a drained
// failure domain are included: a drain applies only to the targets there.
func (x *Entry) Entries(home model.RegionID) []wire.Entry {
	c := x.Catalogue()
	if c == nil {
		return nil
	}
	return x.rank(c, home, "", true)
}

// PeerAddrs returns the addresses of the other active entries of this failure domain.
func (x *Entry) PeerAddrs() []string {
	var out []string
	for _, r := range x.directory.reports() {
		if r.VM.FailureDomain == string(x.o.Domain) && r.VM.Id != string(x.o.ID) && !r.VM.Leaving {
			out = append(out, r.VM.Addr)
		}
	}
	return out
}

// AnnounceLeave announces to the leader that the entry leaves, so that callers are no longer
// directed to it.
func (x *Entry) AnnounceLeave() {
	x.leaving.Store(true)
	x.triggerRenewal()
}

// VMCount returns the number of active entries in a region, or in all regions if it is empty.
func (x *Entry) VMCount(region model.RegionID) int {
	c := x.Catalogue()
	if c == nil {
		return 0
	}
	return x.directory.countActive(func(v *eelpb.VM) bool {
		return region == "" || c.RegionOf(model.FailureDomainID(v.FailureDomain)) == region
	})
}

// Position returns the position of this VM among the active ones, in an order that depends on a
// key. A VM that the directory does not list, since it has just started or leaves, is the last.
func (x *Entry) Position(key string) limit.Position {
	hash := func(id model.VMID) place.Key { return place.HashObject(key, string(id)) }
	self := hash(x.o.ID)
	var at limit.Position
	domains := map[string]bool{string(x.o.Domain): true}
	listed := false
	for _, r := range x.directory.reports() {
		v := r.VM
		if v.Leaving {
			continue
		}
		at.VMs++
		domains[v.FailureDomain] = true
		listed = listed || v.Id == string(x.o.ID)
		if v.Id != string(x.o.ID) && hash(model.VMID(v.Id)) < self {
			at.Rank++
			if v.FailureDomain == string(x.o.Domain) {
				at.DomainRank++
			}
		}
	}
	at.Domains = len(domains)
	if !listed {
		at.Rank, at.VMs = at.VMs, at.VMs+1
	}
	return at
}
