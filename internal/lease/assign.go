package lease

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// distanceRank ranks the distance of a VM from a site; lower is closer.
type distanceRank int

const (
	sameDomain distanceRank = iota
	sameRegion
	otherRegion
)

// site is the set of targets of a service in a failure domain. All of them are assigned to
// one owner, so that their slots serve one queue.
type site struct {
	service model.ServiceID
	domain  model.FailureDomainID
	targets []*target
	slots   int
}

// sites returns the known sites, ordered by service and failure domain.
func (g *Grantor) sites() []*site {
	type key struct {
		service model.ServiceID
		domain  model.FailureDomainID
	}
	m := map[key]*site{}
	for _, t := range g.targets {
		k := key{model.ServiceID(t.report.Service), model.FailureDomainID(t.report.FailureDomain)}
		if m[k] == nil {
			m[k] = &site{service: k.service, domain: k.domain}
		}
		m[k].targets = append(m[k].targets, t)
		m[k].slots += int(t.report.Slots)
	}
	out := make([]*site, 0, len(m))
	for _, s := range m {
		slices.SortFunc(s.targets, func(a, b *target) int { return cmp.Compare(a.report.Id, b.report.Id) })
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *site) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	return out
}

// owner returns the VM that owns the site, or is to own it once the previous owner has
// released it. It returns nil if there is none.
func (s *site) owner(g *Grantor) *vm {
	for _, t := range s.targets {
		if v, ok := g.vms[t.intendedOwner()]; ok {
			return v
		}
	}
	return nil
}

// intendedOwner returns the VM that owns the target, or is to own it once the previous
// owner has released it.
func (t *target) intendedOwner() model.VMID {
	if t.revokedIn != 0 {
		return t.nextOwner
	}
	return t.owner
}

// assign gives each site an owner, and starts to move a site whose owner is leaving, is
// farther away than another VM, or owns more slots than others.
func (g *Grantor) assign(c *model.Catalogue) {
	owned := g.ownedSlots()
	for _, s := range g.sites() {
		best := g.bestOwner(s, c, owned)
		if best == nil {
			continue
		}
		old := s.owner(g)
		if old != nil && !shouldMove(s, old, best, c, owned) {
			best = old
		}
		if old != nil {
			owned[old.id] -= s.slots
		}
		owned[best.id] += s.slots
		g.transfer(s, best)
	}
}

// transfer makes a VM the owner of a site's free targets, and revokes the others from their
// owners.
func (g *Grantor) transfer(s *site, to *vm) {
	for _, t := range s.targets {
		if t.owner == "" {
			g.setOwner(model.TargetID(t.report.Id), t, to)
			continue
		}
		if t.owner != to.id && t.revokedIn == 0 {
			t.revokedIn = g.grant + 1
		}
		t.nextOwner = to.id
	}
}

func (g *Grantor) ownedSlots() map[model.VMID]int {
	n := make(map[model.VMID]int, len(g.vms))
	for _, t := range g.targets {
		if k := t.intendedOwner(); k != "" {
			n[k] += int(t.report.Slots)
		}
	}
	return n
}

func shouldMove(s *site, old, best *vm, c *model.Catalogue, owned map[model.VMID]int) bool {
	if old == best {
		return false
	}
	if old.leaving || distance(best, s, c) < distance(old, s, c) {
		return true
	}
	return owned[old.id] > owned[best.id]+s.slots
}

// bestOwner returns the nearest VM that is not leaving; among equally near ones, the VM that
// owns the fewest slots.
func (g *Grantor) bestOwner(s *site, c *model.Catalogue, owned map[model.VMID]int) *vm {
	var best *vm
	for _, v := range g.vms {
		if v.leaving {
			continue
		}
		if best == nil || isBetterOwner(v, best, s, c, owned) {
			best = v
		}
	}
	return best
}

func isBetterOwner(a, b *vm, s *site, c *model.Catalogue, owned map[model.VMID]int) bool {
	return cmp.Or(
		cmp.Compare(distance(a, s, c), distance(b, s, c)),
		cmp.Compare(owned[a.id], owned[b.id]),
		cmp.Compare(rendezvousWeight(b.id, s), rendezvousWeight(a.id, s)),
	) < 0
}

func distance(v *vm, s *site, c *model.Catalogue) distanceRank {
	if v.domain == s.domain {
		return sameDomain
	}
	if c.RegionOf(v.domain) == c.RegionOf(s.domain) {
		return sameRegion
	}
	return otherRegion
}

// rendezvousWeight returns the weight of highest-random-weight hashing (Thaler and Ravishankar,
// 1998).
func rendezvousWeight(v model.VMID, s *site) uint64 {
	h := fnv.New64a()
	for _, p := range []string{string(v), string(s.service), string(s.domain)} {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
