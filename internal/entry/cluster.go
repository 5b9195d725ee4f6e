package entry

import (
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Catalogue returns the catalogue in force, or nil before the first.
func (x *Entry) Catalogue() *model.Catalogue { return x.store.catalogue() }

// Fresh tells whether the catalogue is known to be the newest.
func (x *Entry) Fresh() bool { return x.leaseValid() }

// MajorityRead tells whether more than half of the known replicas had nothing newer
// than the first catalogue.
func (x *Entry) MajorityRead() bool { return x.majorityRead.Load() }

// AddReplicas adds replicas that the settings name.
func (x *Entry) AddReplicas(replicas []string) { x.state.addReplicas(replicas) }

// Entries lists the entries that stay, nearest to a region first. Those of a drained
// failure domain go on: the drain is of the targets there.
func (x *Entry) Entries(home model.RegionID) []wire.Entry {
	c := x.Catalogue()
	if c == nil {
		return nil
	}
	return x.rank(c, home, "", true)
}

// PeerAddrs returns the addresses of the other entries of this failure domain that stay.
func (x *Entry) PeerAddrs() []string {
	var out []string
	for _, r := range x.directory.reports() {
		if r.VM.FailureDomain == string(x.o.Domain) && r.VM.Id != string(x.o.ID) && !r.VM.Leaving {
			out = append(out, r.VM.Addr)
		}
	}
	return out
}

// AnnounceLeave tells the leader that the entry leaves, so that callers are no longer sent here.
func (x *Entry) AnnounceLeave() {
	x.leaving.Store(true)
	x.triggerRenewal()
}

// VMCount returns how many entries stay, in a region or in all.
func (x *Entry) VMCount(region model.RegionID) int {
	c := x.Catalogue()
	if c == nil {
		return 0
	}
	return x.directory.countActive(func(v *eelpb.VM) bool {
		return region == "" || c.RegionOf(model.FailureDomainID(v.FailureDomain)) == region
	})
}
