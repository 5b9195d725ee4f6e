package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// controlPart divides a link to give what is kept free for control.
const controlPart = 20

const (
	// demandSlack is how many times its demand a VM may get. What is left is
	// granted to no VM, so that another one can have it without waiting.
	demandSlack = 2
	// burstPart divides a capacity to give what a VM with any demand may get on top.
	burstPart = 20
)

// LinkResource names one direction of a link.
func LinkResource(from, to model.RegionID) string {
	return fmt.Sprintf("link/%s/%s", from, to)
}

// CapResource names a shift cap.
func CapResource(name string) string {
	return "shiftCap/" + name
}

// resource is a capacity that is divided among VMs.
type resource struct {
	capacity int64
	granted  map[model.VMID]*holding
	resting  []rest
}

// holding is what a VM may be using: all amounts since the last that it
// confirmed, and what it says that it still holds of more.
type holding struct {
	amounts []amount
	held    int64
	demand  int64
}

type amount struct {
	grant uint64
	n     int64
}

// holds tells whether a VM may be using any of the resource.
func (s *resource) holds(id model.VMID) bool {
	h, ok := s.granted[id]
	return ok && h.max() > 0
}

// rest is an amount that was given back and may still be in a running window.
type rest struct {
	until time.Duration
	n     int64
}

func (h *holding) max() int64 {
	m := h.held
	for _, a := range h.amounts {
		m = max(m, a.n)
	}
	return m
}

// capacities lists the resources that a VM of a region may use.
func capacities(c *model.Catalogue, r model.RegionID) map[string]int64 {
	m := make(map[string]int64, 2*len(c.Links)+len(c.Caps))
	for _, l := range c.Links {
		if l.Regions[0] != r && l.Regions[1] != r {
			continue
		}
		n := int64(l.BytesPerSecond) - int64(l.BytesPerSecond)/controlPart
		m[LinkResource(l.Regions[0], l.Regions[1])] = n
		m[LinkResource(l.Regions[1], l.Regions[0])] = n
	}
	for _, s := range c.Caps {
		m[CapResource(s.Name)] = s.PerSecond
	}
	return m
}

// share divides each resource anew for one VM. It also tells whether the VM
// would get more of one if others had given theirs back.
func (g *Grantor) share(v *vm, r *eelpb.RenewRequest, c *model.Catalogue, now time.Duration) (list []*eelpb.Share, short bool) {
	demands := byName(r.Demands)
	reported := byName(r.Shares)
	for name, capacity := range capacities(c, c.RegionOf(v.domain)) {
		s, ok := g.shares[name]
		if !ok {
			s = &resource{granted: map[model.VMID]*holding{}}
			g.shares[name] = s
		}
		s.capacity = capacity
		a := ask{demand: max(demands[name], 0), held: max(reported[name], 0), seen: r.SeenGrant, number: g.grant, quiet: g.InGracePeriod(now)}
		n := s.grant(v.id, a, now)
		if n > 0 {
			list = append(list, &eelpb.Share{Resource: name, Amount: n})
		}
		short = short || n < min(demands[name], s.fair(s.granted[v.id]))
	}
	slices.SortFunc(list, func(a, b *eelpb.Share) int { return strings.Compare(a.Resource, b.Resource) })
	return list, short
}

func byName(s []*eelpb.Share) map[string]int64 {
	m := make(map[string]int64, len(s))
	for _, x := range s {
		m[x.Resource] = x.Amount
	}
	return m
}

// ask is what a renewal says of one resource.
type ask struct {
	demand int64
	// held is what the VM may use of it at this moment.
	held int64
	// seen is the last grant in force, and number that of the reply.
	seen, number uint64
	// quiet bounds the grant by what is held.
	quiet bool
}

// grant returns the VM's new amount.
func (s *resource) grant(id model.VMID, a ask, now time.Duration) int64 {
	h, ok := s.granted[id]
	if !ok {
		h = &holding{}
		s.granted[id] = h
	}
	h.demand = a.demand
	s.confirm(h, a, now)
	n := min(s.fair(h), s.free(id, now))
	if a.quiet {
		n = min(n, a.held)
	}
	n = max(n, 0)
	h.amounts = append(h.amounts, amount{grant: a.number, n: n})
	return n
}

// confirm forgets the amounts before the grant that the VM has in force, and
// lets what it gave back rest for a window.
func (s *resource) confirm(h *holding, a ask, now time.Duration) {
	before := h.max()
	i := 0
	for i < len(h.amounts)-1 && h.amounts[i+1].grant <= a.seen {
		i++
	}
	h.amounts, h.held = append([]amount(nil), h.amounts[i:]...), min(a.held, s.capacity)
	if d := before - h.max(); d > 0 {
		s.resting = append(s.resting, rest{until: now + shareWindow, n: d})
	}
}

// wish returns what a VM would get if there were enough for all.
func (s *resource) wish(h *holding) int64 {
	if h.demand == 0 {
		return 0
	}
	return demandSlack*h.demand + s.capacity/burstPart
}

// fair returns the VM's wish, or its part of the capacity where there is not enough for all.
func (s *resource) fair(h *holding) int64 {
	total := int64(0)
	for _, x := range s.granted {
		total += s.wish(x)
	}
	if total <= s.capacity {
		return s.wish(h)
	}
	return int64(float64(s.capacity) * float64(s.wish(h)) / float64(total))
}

// free returns the capacity that no other VM may be using.
func (s *resource) free(id model.VMID, now time.Duration) int64 {
	n := s.capacity
	for v, h := range s.granted {
		if v != id {
			n -= h.max()
		}
	}
	kept := s.resting[:0]
	for _, r := range s.resting {
		if now < r.until {
			n -= r.n
			kept = append(kept, r)
		}
	}
	s.resting = kept
	return n
}

func (s *resource) drop(id model.VMID, now time.Duration) {
	h, ok := s.granted[id]
	if !ok {
		return
	}
	delete(s.granted, id)
	s.resting = append(s.resting, rest{until: now + shareWindow, n: h.max()})
}
