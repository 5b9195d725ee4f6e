package steer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Report is a VM's record in the directory and when it was received.
type Report struct {
	VM         *eelpb.VM
	ReportedAt time.Duration
}

// Table lists the sites by service, nearest first. It is immutable.
type Table struct {
	sites map[model.ServiceID]*Sites
}

// Self describes the VM for which a table is built.
type Self struct {
	VM     model.VMID
	Domain model.FailureDomainID
	// Gauge returns the load of an owner as observed by this VM.
	Gauge func(model.VMID, model.ServiceID) *Gauge
	// LinkUtilization returns a function for the used fraction of the link to a region.
	LinkUtilization func(model.RegionID) func() float64
}

// NewTable builds the table of a VM.
func NewTable(c *model.Catalogue, self Self, reports []Report) *Table {
	t := &Table{sites: map[model.ServiceID]*Sites{}}
	lists := map[model.ServiceID][]Site{}
	ownRegion := c.RegionOf(self.Domain)
	for _, r := range reports {
		for _, l := range r.VM.Sites {
			if s, ok := newSite(c, self, ownRegion, r, l); ok {
				lists[model.ServiceID(l.Service)] = append(lists[model.ServiceID(l.Service)], s)
			}
		}
	}
	for svc, s := range lists {
		slices.SortFunc(s, func(a, b Site) int {
			if d := cmp.Compare(a.RTT, b.RTT); d != 0 {
				return d
			}
			return cmp.Compare(siteHash(self.VM, a), siteHash(self.VM, b))
		})
		t.sites[svc] = NewSites(s)
	}
	return t
}

// siteHash orders sites of equal RTT differently for each VM, so that the VMs of a region
// spread over them.
func siteHash(v model.VMID, s Site) uint64 {
	h := fnv.New64a()
	h.Write([]byte(v))
	h.Write([]byte(s.VM))
	h.Write([]byte(s.Domain))
	return h.Sum64()
}

func newSite(c *model.Catalogue, self Self, ownRegion model.RegionID, r Report, l *eelpb.SiteLoad) (Site, bool) {
	d := model.FailureDomainID(l.FailureDomain)
	if c.Drained(d, "") || l.Slots == 0 {
		return Site{}, false
	}
	id, svc := model.VMID(r.VM.Id), model.ServiceID(l.Service)
	s := Site{
		VM: id, Addr: r.VM.Addr, Domain: d, Region: c.RegionOf(d), Slots: int32(l.Slots),
		Load: int32(l.InFlight + l.Queued), Latency: time.Duration(l.LatencyUs) * time.Microsecond,
		Local: id == self.VM, ReportedAt: r.ReportedAt, Gauge: self.Gauge(id, svc),
	}
	owner := c.RegionOf(model.FailureDomainID(r.VM.FailureDomain))
	s.RTT = roundTrip(c, ownRegion, owner, !s.Local) + roundTrip(c, owner, s.Region, r.VM.FailureDomain != l.FailureDomain)
	s.OwnerRegion = owner
	if s.Region != ownRegion {
		s.LinkUtilization = self.LinkUtilization(s.Region)
	}
	return s, true
}

// sameRegionRTT is the round-trip time between two failure domains of a region.
const sameRegionRTT = 2 * time.Millisecond

// roundTrip returns the round-trip time between two regions. Within one region it is
// sameRegionRTT if the other end is remote and 0 if it is not.
func roundTrip(c *model.Catalogue, from, to model.RegionID, remote bool) time.Duration {
	if from != to {
		l, _ := c.Link(from, to)
		return 2 * l.DelayMillis.Duration()
	}
	if remote {
		return sameRegionRTT
	}
	return 0
}

var noSites = NewSites(nil)

// Sites returns the sites of a service.
func (t *Table) Sites(s model.ServiceID) *Sites {
	if x, ok := t.sites[s]; ok {
		return x
	}
	return noSites
}

// PickPolicy returns the policy of a request. The policies of its class, or of its
// service if the class has none, are picked by weight with a stable hash of the request id.
func PickPolicy(c *model.Catalogue, s model.ServiceID, class model.ClassID, id model.RequestID) model.Policy {
	p, ok := pickAmong(c.Policies, s, class, id)
	if ok {
		return p
	}
	p, ok = pickAmong(c.Policies, s, "", id)
	if ok {
		return p
	}
	return model.Policy{Name: "default", Service: s, Algorithm: model.Nearest}
}

func pickAmong(policies []model.Policy, s model.ServiceID, class model.ClassID, id model.RequestID) (model.Policy, bool) {
	total := 0
	for _, p := range policies {
		if p.Service == s && p.Class == class {
			total += p.Weight
		}
	}
	if total == 0 {
		return model.Policy{}, false
	}
	at := int(hashID(id) % uint64(total))
	for _, p := range policies {
		if p.Service != s || p.Class != class {
			continue
		}
		if at -= p.Weight; at < 0 {
			return p, true
		}
	}
	return model.Policy{}, false
}

// hashID returns the FNV-1a hash of an id with a final mix. It does not allocate.
func hashID(id model.RequestID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
