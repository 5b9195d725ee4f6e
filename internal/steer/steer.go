// Package steer decides where a request goes: first a site (a failure domain
// with an owner of targets in it), by the policy of the request. It is pure:
// tables and loads in, a choice out, without locks or allocation.
//
// Policies only order the sites. What a site, a link or a shift cap can carry
// is enforced after the choice, whatever the policy.
//
// # Usage
//
//	t := steer.NewTable(catalogue, home, vms)
//	s := t.Sites("registry")
//	i := steer.Choose(steer.Query{Policy: p, Home: "attiki"}, s, &tried)
//	site := &s.List[i]
//
// The choice of the less loaded of two random sites is from Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing" (2001).
package steer

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// staleAfter is the age at which a report starts to count for less.
	staleAfter = time.Second
	// staleFull is the age at which a site counts as full.
	staleFull = 4 * time.Second
	// maxCandidates bounds the sites that one decision looks at.
	maxCandidates = 16
	// defaultLinkPrice is what a full link adds to a site's cost.
	defaultLinkPrice = 100 * time.Millisecond
)

// Site is the targets of one service in one failure domain that one VM owns.
type Site struct {
	VM     model.VMID
	Addr   string
	Domain model.FailureDomainID
	Region model.RegionID
	// OwnerRegion is the region of the owner, which is another one where the site's region has no VM.
	OwnerRegion model.RegionID
	Slots       int32
	Load        int32
	Latency     time.Duration
	// RTT is the way there and back from this VM.
	RTT time.Duration
	// Local marks targets that this VM owns itself.
	Local bool
	// ReportedAt is when the load was reported.
	ReportedAt time.Duration
	// Gauge is what this VM itself sees of the owner.
	Gauge *Gauge
	// LinkUtilization is the used part of the link to the region, from 0 to 1.
	LinkUtilization func() float64
}

// Gauge is what a VM sees of an owner's load of a service. It is safe for concurrent use.
type Gauge struct {
	// InFlight counts the VM's own requests in progress there.
	InFlight atomic.Int32
	// Load is the load that the owner's last answer told, and At when.
	Load       atomic.Int32
	ObservedAt atomic.Int64
	// silentTo is until when nothing is sent to the owner, which did not answer.
	silentTo atomic.Int64
}

// Eject keeps requests from an owner that does not answer until a time.
func (g *Gauge) Eject(until time.Duration) {
	g.silentTo.Store(int64(until))
}

// ObservedWithin tells whether the owner answered less than d ago.
func (g *Gauge) ObservedWithin(d, now time.Duration) bool {
	at := g.ObservedAt.Load()
	return at > 0 && now < time.Duration(at)+d
}

// Observe takes the load that an answer told.
func (g *Gauge) Observe(load int32, now time.Duration) {
	g.Load.Store(load)
	g.ObservedAt.Store(int64(now))
}

// Query is what a decision is about.
type Query struct {
	Policy model.Policy
	// Home is the caller's region.
	Home model.RegionID
	Now  time.Duration
	// Sequence counts decisions, for round robin.
	Sequence uint64
}

// Tried marks sites that were tried before, by index.
type Tried [4]uint64

// Add marks a site.
func (t *Tried) Add(i int) {
	if i < len(t)*64 {
		t[i/64] |= 1 << (i % 64)
	}
}

// Has tells whether a site is marked.
func (t *Tried) Has(i int) bool {
	return i < len(t)*64 && t[i/64]&(1<<(i%64)) != 0
}

// inUse is the load of a site: the reported one or this VM's own, whichever is
// more, and rising to full as the report gets old.
func (s *Site) inUse(now time.Duration) float64 {
	load, at := s.Load, s.ReportedAt
	if seen := time.Duration(s.Gauge.ObservedAt.Load()); seen > at {
		load, at = s.Gauge.Load.Load(), seen
	}
	l := float64(max(load, s.Gauge.InFlight.Load()))
	age := now - at
	if s.Local || age <= staleAfter {
		return l
	}
	f := min(1, float64(age-staleAfter)/float64(staleFull-staleAfter))
	return l + f*max(0, float64(s.Slots)-l)
}

// usable tells whether the site has slots and its owner answers.
func (s *Site) usable(now time.Duration) bool {
	return s.Slots > 0 && int64(now) >= s.Gauge.silentTo.Load()
}

// wait is the expected time at the site: the service time, and the wait where all slots are in use.
func (s *Site) wait(now time.Duration) float64 {
	if s.Slots <= 0 {
		return math.Inf(1)
	}
	over := s.inUse(now) + 1 - float64(s.Slots)
	return float64(s.Latency) * (1 + max(0, over)/float64(s.Slots))
}

// full tells whether no slot is expected to be free.
func (s *Site) full(now time.Duration) bool {
	return s.inUse(now) >= float64(s.Slots)
}

// Sites are the sites of a service, nearest first, with an index by region.
type Sites struct {
	List     []Site
	byRegion map[model.RegionID][]int32
}

// NewSites indexes sites that are ordered by delay.
func NewSites(list []Site) *Sites {
	s := &Sites{List: list, byRegion: map[model.RegionID][]int32{}}
	for i := range list {
		r := list[i].Region
		s.byRegion[r] = append(s.byRegion[r], int32(i))
	}
	return s
}

// Choose returns the index of the site to try next, or -1.
func Choose(q Query, s *Sites, tried *Tried) int {
	switch q.Policy.Algorithm {
	case model.RoundRobin:
		return roundRobin(q, s.List, tried)
	case model.LeastLoaded:
		return leastOfTwo(q, s, tried)
	case model.Headroom:
		return cheapest(q, s.List, tried, headroomCost)
	}
	return cheapest(q, s.List, tried, nearestCost)
}

func roundRobin(q Query, sites []Site, tried *Tried) int {
	n := len(sites)
	for k := range n {
		i := int((q.Sequence + uint64(k)) % uint64(n))
		if !tried.Has(i) && sites[i].usable(q.Now) {
			return i
		}
	}
	return -1
}

// leastOfTwo compares two random sites of the home region, and the nearest of
// all regions once those are full.
func leastOfTwo(q Query, s *Sites, tried *Tried) int {
	home := s.byRegion[q.Home]
	i := lesser(q, s.List, randomSite(q, s.List, home, tried), randomSite(q, s.List, home, tried))
	if i >= 0 && !s.List[i].full(q.Now) {
		return i
	}
	j := cheapest(q, s.List, tried, loadCost)
	if i < 0 || j >= 0 && !s.List[j].full(q.Now) {
		return j
	}
	return i
}

// lesser returns which of two sites costs less; -1 is none.
func lesser(q Query, sites []Site, a, b int) int {
	if a < 0 {
		return b
	}
	if b < 0 || loadCost(q, &sites[a]) <= loadCost(q, &sites[b]) {
		return a
	}
	return b
}

// maxDraws bounds the draws for a site that can be used.
const maxDraws = 8

// randomSite returns a random usable site among the indexes, or -1.
func randomSite(q Query, sites []Site, among []int32, tried *Tried) int {
	if len(among) == 0 {
		return -1
	}
	for range maxDraws {
		i := int(among[rand.IntN(len(among))])
		if sites[i].usable(q.Now) && !tried.Has(i) {
			return i
		}
	}
	return -1
}

// cheapest returns the site of least cost among the first candidates; sites are
// ordered by delay, so these are the nearest with room.
func cheapest(q Query, sites []Site, tried *Tried, cost func(Query, *Site) float64) int {
	best, least, seen := -1, math.Inf(1), 0
	for i := range sites {
		s := &sites[i]
		if !s.usable(q.Now) || tried.Has(i) {
			continue
		}
		if c := cost(q, s); c < least {
			best, least = i, c
		}
		if !s.full(q.Now) {
			seen++
		}
		if seen >= maxCandidates {
			break
		}
	}
	return best
}

func loadCost(q Query, s *Site) float64 {
	u := s.inUse(q.Now) / float64(s.Slots)
	return s.wait(q.Now)*(1+u) + float64(s.RTT)
}

func nearestCost(q Query, s *Site) float64 {
	c := float64(s.RTT)
	if s.full(q.Now) {
		c += s.wait(q.Now)
	}
	if s.Region != q.Home {
		c += float64(time.Millisecond)
	}
	return c
}

// headroomCost prices the link by how full it is and the site by its spare slots.
func headroomCost(q Query, s *Site) float64 {
	c := loadCost(q, s)
	if s.LinkUtilization == nil {
		return c
	}
	price := float64(defaultLinkPrice)
	if q.Policy.LinkPrice > 0 {
		price = float64(q.Policy.LinkPrice.Duration())
	}
	u := s.LinkUtilization()
	return c + price*(0.1+u*u)
}
