package lease

import (
	"hash/fnv"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// near ranks how close a VM is to a target; lower is closer.
type near int

const (
	sameDomain near = iota
	sameRegion
	otherRegion
)

// maxImbalance is by how many targets an owner may exceed another before one moves.
const maxImbalance = 1

// assign gives each target an owner, and starts to move a target whose owner
// leaves, is farther away than need be, or owns more than others.
func (g *Grantor) assign(c *model.Catalogue) {
	count := g.ownedCounts()
	for id, t := range g.targets {
		if t.leavingIn != 0 {
			continue
		}
		best := g.bestOwner(id, t, c, count)
		if best == nil || best.id == t.owner {
			continue
		}
		if t.owner == "" {
			t.owner = best.id
			count[best.id]++
			continue
		}
		if g.shouldMove(t, best, c, count) {
			t.leavingIn = g.grant + 1
			count[t.owner]--
			count[best.id]++
		}
	}
}

func (g *Grantor) ownedCounts() map[model.VMID]int {
	n := make(map[model.VMID]int, len(g.vms))
	for _, t := range g.targets {
		if t.owner != "" {
			n[t.owner]++
		}
	}
	return n
}

func (g *Grantor) shouldMove(t *target, best *vm, c *model.Catalogue, count map[model.VMID]int) bool {
	old, ok := g.vms[t.owner]
	if !ok || old.leaving {
		return true
	}
	if distance(best, t, c) < distance(old, t, c) {
		return true
	}
	return count[old.id] > count[best.id]+maxImbalance
}

// bestOwner returns the nearest VM that stays, then the one that owns least.
func (g *Grantor) bestOwner(id model.TargetID, t *target, c *model.Catalogue, count map[model.VMID]int) *vm {
	var best *vm
	for _, v := range g.vms {
		if v.leaving {
			continue
		}
		if best == nil || closer(v, best, id, t, c, count) {
			best = v
		}
	}
	return best
}

func closer(a, b *vm, id model.TargetID, t *target, c *model.Catalogue, count map[model.VMID]int) bool {
	if x, y := distance(a, t, c), distance(b, t, c); x != y {
		return x < y
	}
	if x, y := count[a.id], count[b.id]; x != y {
		return x < y
	}
	return rendezvous(a.id, id) > rendezvous(b.id, id)
}

func distance(v *vm, t *target, c *model.Catalogue) near {
	d := model.FailureDomainID(t.report.FailureDomain)
	if v.domain == d {
		return sameDomain
	}
	if c.RegionOf(v.domain) == c.RegionOf(d) {
		return sameRegion
	}
	return otherRegion
}

// rendezvous is the weight of highest-random-weight hashing (Thaler and Ravishankar, 1998).
func rendezvous(v model.VMID, t model.TargetID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(v))
	h.Write([]byte{0})
	h.Write([]byte(t))
	return h.Sum64()
}
