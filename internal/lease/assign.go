package lease

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// near ranks how close a VM is to a site; lower is closer.
type near int

const (
	sameDomain near = iota
	sameRegion
	otherRegion
)

// site is the targets of a service in a failure domain. They have one owner
// together, so that their slots serve one queue.
type site struct {
	service model.ServiceID
	domain  model.FailureDomainID
	targets []*target
	slots   int
}

// sites returns the known sites in a fixed order.
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

// owner returns the VM that owns the site, or is to own it once the old owner let go, or nil.
func (s *site) owner(g *Grantor) *vm {
	for _, t := range s.targets {
		if v, ok := g.vms[t.keeper()]; ok {
			return v
		}
	}
	return nil
}

// keeper returns the VM that owns the target, or is to own it once the old owner let go.
func (t *target) keeper() model.VMID {
	if t.leavingIn != 0 {
		return t.next
	}
	return t.owner
}

// assign gives each site an owner, and starts to move a site whose owner
// leaves, is farther away than need be, or owns more than others.
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
		g.give(s, best)
	}
}

// give makes a VM the owner of a site's free targets, and takes the others from their owners.
func (g *Grantor) give(s *site, to *vm) {
	for _, t := range s.targets {
		if t.owner == "" {
			g.setOwner(model.TargetID(t.report.Id), t, to)
			continue
		}
		if t.owner != to.id && t.leavingIn == 0 {
			t.leavingIn = g.grant + 1
		}
		t.next = to.id
	}
}

func (g *Grantor) ownedSlots() map[model.VMID]int {
	n := make(map[model.VMID]int, len(g.vms))
	for _, t := range g.targets {
		if k := t.keeper(); k != "" {
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

// bestOwner returns the nearest VM that stays, then the one that owns least.
func (g *Grantor) bestOwner(s *site, c *model.Catalogue, owned map[model.VMID]int) *vm {
	var best *vm
	for _, v := range g.vms {
		if v.leaving {
			continue
		}
		if best == nil || closer(v, best, s, c, owned) {
			best = v
		}
	}
	return best
}

func closer(a, b *vm, s *site, c *model.Catalogue, owned map[model.VMID]int) bool {
	return cmp.Or(
		cmp.Compare(distance(a, s, c), distance(b, s, c)),
		cmp.Compare(owned[a.id], owned[b.id]),
		cmp.Compare(rendezvous(b.id, s), rendezvous(a.id, s)),
	) < 0
}

func distance(v *vm, s *site, c *model.Catalogue) near {
	if v.domain == s.domain {
		return sameDomain
	}
	if c.RegionOf(v.domain) == c.RegionOf(s.domain) {
		return sameRegion
	}
	return otherRegion
}

// rendezvous is the weight of highest-random-weight hashing (Thaler and Ravishankar, 1998).
func rendezvous(v model.VMID, s *site) uint64 {
	h := fnv.New64a()
	for _, p := range []string{string(v), string(s.service), string(s.domain)} {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
