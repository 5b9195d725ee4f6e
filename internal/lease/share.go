package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// controlReserveDivisor divides the capacity of a link to give the part that is reserved for
// control traffic.
const controlReserveDivisor = 20

const (
	// demandFactor times its demand is the maximum share of a VM, apart from the burst. What
	// remains is granted to no VM, so that another one can get it without waiting.
	demandFactor = 2
	// burstDivisor divides a capacity to give the burst: what a VM with any demand may get
	// in addition.
	burstDivisor = 20
)

// LinkResource returns the resource name of one direction of a link.
func LinkResource(from, to model.RegionID) string {
	return fmt.Sprintf("link/%s/%s", from, to)
}

// CapResource returns the resource name of a shift cap.
func CapResource(name string) string {
	return "shiftCap/" + name
}

// resource is a capacity that is divided among VMs.
type resource struct {
	capacity int64
	granted  map[model.VMID]*holding
	released []releasedShare
}

// holding is the amount of a resource that a VM may be using: the maximum of the amounts
// granted since the last one that it acknowledged, and of what it reports that it still holds.
type holding struct {
	amounts []amount
	held    int64
	demand  int64
}

type amount struct {
	grant uint64
	n     int64
}

// holds reports whether a VM may be using any of the resource.
func (s *resource) holds(id model.VMID) bool {
	h, ok := s.granted[id]
	return ok && h.max() > 0
}

// releasedShare is an amount that was released and may still count in the current window of the VM
// that used it.
type releasedShare struct {
	until time.Duration
	n     int64
}

// max returns the maximum that the VM may be using.
func (h *holding) max() int64 {
	m := h.held
	for _, a := range h.amounts {
		m = max(m, a.n)
	}
	return m
}

// capacities returns the capacities of the resources that a VM of a region may use, by name.
func capacities(c *model.Catalogue, r model.RegionID) map[string]int64 {
	m := make(map[string]int64, 2*len(c.Links)+len(c.Caps))
	for _, l := range c.Links {
		if l.Regions[0] != r && l.Regions[1] != r {
			continue
		}
		n := int64(l.BytesPerSecond) - int64(l.BytesPerSecond)/controlReserveDivisor
		m[LinkResource(l.Regions[0], l.Regions[1])] = n
		m[LinkResource(l.Regions[1], l.Regions[0])] = n
	}
	for _, s := range c.Caps {
		m[CapResource(s.Name)] = s.PerSecond
	}
	return m
}

// share computes the VM's new share of each resource. It also reports whether a share is
// short: the VM would get more if other VMs had released theirs.
func (g *Grantor) share(v *vm, r *eelpb.RenewRequest, c *model.Catalogue, now time.Duration) (list []*eelpb.Share, short bool) {
	demands := amountsByResource(r.Demands)
	reported := amountsByResource(r.Shares)
	for name, capacity := range capacities(c, c.RegionOf(v.domain)) {
		s, ok := g.shares[name]
		if !ok {
			s = &resource{granted: map[model.VMID]*holding{}}
			g.shares[name] = s
		}
		s.capacity = capacity
		a := shareRequest{demand: max(demands[name], 0), held: max(reported[name], 0), seenGrant: r.SeenGrant, replyGrant: g.grant, inGracePeriod: g.InGracePeriod(now)}
		n := s.grant(v.id, a, now)
		if n > 0 {
			list = append(list, &eelpb.Share{Resource: name, Amount: n})
		}
		short = short || n < min(demands[name], s.fairShare(s.granted[v.id]))
	}
	slices.SortFunc(list, func(a, b *eelpb.Share) int { return strings.Compare(a.Resource, b.Resource) })
	return list, short
}

func amountsByResource(s []*eelpb.Share) map[string]int64 {
	m := make(map[string]int64, len(s))
	for _, x := range s {
		m[x.Resource] = x.Amount
	}
	return m
}

// shareRequest is the part of a renewal that concerns one resource.
type shareRequest struct {
	demand int64
	// held is the amount that the VM may use at present.
	held int64
	// seenGrant is the grant that the VM has in force, and replyGrant that of the reply.
	seenGrant, replyGrant uint64
	// inGracePeriod limits the new amount to what the VM already holds.
	inGracePeriod bool
}

// grant returns the VM's new amount and records it.
func (s *resource) grant(id model.VMID, a shareRequest, now time.Duration) int64 {
	h, ok := s.granted[id]
	if !ok {
		h = &holding{}
		s.granted[id] = h
	}
	h.demand = a.demand
	s.acknowledge(h, a, now)
	n := min(s.fairShare(h), s.available(id, now))
	if a.inGracePeriod {
		n = min(n, a.held)
	}
	n = max(n, 0)
	h.amounts = append(h.amounts, amount{grant: a.replyGrant, n: n})
	return n
}

// acknowledge drops the amounts older than the grant that the VM has in force, and withholds
// what the VM released for one window.
func (s *resource) acknowledge(h *holding, a shareRequest, now time.Duration) {
	before := h.max()
	i := 0
	for i < len(h.amounts)-1 && h.amounts[i+1].grant <= a.seenGrant {
		i++
	}
	h.amounts, h.held = append([]amount(nil), h.amounts[i:]...), min(a.held, s.capacity)
	if d := before - h.max(); d > 0 {
		s.released = append(s.released, releasedShare{until: now + shareWindow, n: d})
	}
}

// desired returns the amount that a VM would get if there were enough for all.
func (s *resource) desired(h *holding) int64 {
	if h.demand == 0 {
		return 0
	}
	return demandFactor*h.demand + s.capacity/burstDivisor
}

// fairShare returns the VM's desired amount, or its proportional part of the capacity where
// there is not enough for all.
func (s *resource) fairShare(h *holding) int64 {
	total := int64(0)
	for _, x := range s.granted {
		total += s.desired(x)
	}
	if total <= s.capacity {
		return s.desired(h)
	}
	return int64(float64(s.capacity) * float64(s.desired(h)) / float64(total))
}

// available returns the capacity that no other VM may be using.
func (s *resource) available(id model.VMID, now time.Duration) int64 {
	n := s.capacity
	for v, h := range s.granted {
		if v != id {
			n -= h.max()
		}
	}
	kept := s.released[:0]
	for _, r := range s.released {
		if now < r.until {
			n -= r.n
			kept = append(kept, r)
		}
	}
	s.released = kept
	return n
}

func (s *resource) removeVM(id model.VMID, now time.Duration) {
	h, ok := s.granted[id]
	if !ok {
		return
	}
	delete(s.granted, id)
	s.released = append(s.released, releasedShare{until: now + shareWindow, n: h.max()})
}
