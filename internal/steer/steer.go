// Package steer selects the site (a failure domain and an owner of targets in it)
// for a request, by the request's policy. It is pure: it maps tables and loads to a
// choice, without locks or allocation.
//
// Policies only order the sites. The limits of sites, links and shift caps are
// enforced after the choice, whatever the policy.
//
// # Usage
//
//	t := steer.NewTable(catalogue, self, reports)
//	s := t.Sites("registry")
//	i := steer.Choose(steer.Query{Policy: p, Home: "attiki"}, s, &tried)
//	site := &s.List[i]
//
// The least-loaded policy compares two random sites: Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing" (2001).
package steer

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// staleAfter is the age from which a report is discounted.
	staleAfter = time.Second
	// assumeFullAfter is the age of a report from which its site counts as full.
	assumeFullAfter = 4 * time.Second
	// maxCandidates bounds the sites with free slots that one decision compares.
	maxCandidates = 16
	// defaultLinkPrice is the price of a link if the policy sets none. headroomCost adds
	// price*(0.1+u*u) to the cost of a site, where u is the utilization of its link: a full link
	// adds 1.1 times the price.
	defaultLinkPrice = 100 * time.Millisecond
)

// Site is the targets of one service in one failure domain that are owned by one VM.
type Site struct {
	VM     model.VMID
	Addr   string
	Domain model.FailureDomainID
	Region model.RegionID
	// OwnerRegion is the region of the owner; it differs from Region where that has no VM.
	OwnerRegion model.RegionID
	Slots       int32
	Load        int32
	Latency     time.Duration
	// RTT is the round-trip time between this VM and the site.
	RTT time.Duration
	// Local marks targets that this VM owns itself.
	Local bool
	// ReportedAt is when Load was reported.
	ReportedAt time.Duration
	// Gauge is the owner's load as observed by this VM.
	Gauge *Gauge
	// LinkUtilization returns the used fraction of the link to the region, from 0 to 1.
	LinkUtilization func() float64
}

// Gauge is the load of an owner for one service as observed by a VM. It is safe for concurrent use.
type Gauge struct {
	// InFlight counts the VM's own requests in progress at the owner.
	InFlight atomic.Int32
	// Load is the load in the owner's last response, and ObservedAt when that was received.
	Load       atomic.Int32
	ObservedAt atomic.Int64
	// ejectedUntil is the time until which no requests are sent to the owner.
	ejectedUntil atomic.Int64
}

// Eject stops requests to an unresponsive owner until the given time.
func (g *Gauge) Eject(until time.Duration) {
	g.ejectedUntil.Store(int64(until))
}

// ObservedWithin reports whether the owner responded less than d ago.
func (g *Gauge) ObservedWithin(d, now time.Duration) bool {
	at := g.ObservedAt.Load()
	return at > 0 && now < time.Duration(at)+d
}

// Observe records the load in a response of the owner.
func (g *Gauge) Observe(load int32, now time.Duration) {
	g.Load.Store(load)
	g.ObservedAt.Store(int64(now))
}

// Query is the input of a decision.
type Query struct {
	Policy model.Policy
	// Home is the caller's region.
	Home model.RegionID
	Now  time.Duration
	// Sequence numbers the decisions, for round robin.
	Sequence uint64
}

// Tried is the set of sites that were tried before, by index.
type Tried [4]uint64

// Add adds a site.
func (t *Tried) Add(i int) {
	if i < len(t)*64 {
		t[i/64] |= 1 << (i % 64)
	}
}

// Has reports whether a site is in the set.
func (t *Tried) Has(i int) bool {
	return i < len(t)*64 && t[i/64]&(1<<(i%64)) != 0
}

// inUse returns the load of a site: the reported load or this VM's own requests,
// whichever is higher. It rises to full as the report gets old.
func (s *Site) inUse(now time.Duration) float64 {
	load, at := s.Load, s.ReportedAt
	if observed := time.Duration(s.Gauge.ObservedAt.Load()); observed > at {
		load, at = s.Gauge.Load.Load(), observed
	}
	l := float64(max(load, s.Gauge.InFlight.Load()))
	age := now - at
	if s.Local || age <= staleAfter {
		return l
	}
	f := min(1, float64(age-staleAfter)/float64(assumeFullAfter-staleAfter))
	return l + f*max(0, float64(s.Slots)-l)
}

// isUsable reports whether the site has slots and its owner is not ejected.
func (s *Site) isUsable(now time.Duration) bool {
	return s.Slots > 0 && int64(now) >= s.Gauge.ejectedUntil.Load()
}

// expectedTime returns the expected time at the site in nanoseconds: the service time, and
// the wait where all slots are in use.
func (s *Site) expectedTime(now time.Duration) float64 {
	if s.Slots <= 0 {
		return math.Inf(1)
	}
	over := s.inUse(now) + 1 - float64(s.Slots)
	return float64(s.Latency) * (1 + max(0, over)/float64(s.Slots))
}

// isFull reports whether no slot is expected to be free.
func (s *Site) isFull(now time.Duration) bool {
	return s.inUse(now) >= float64(s.Slots)
}

// Sites is the list of sites of a service, nearest first, with an index by region.
type Sites struct {
	List     []Site
	byRegion map[model.RegionID][]int32
}

// NewSites indexes sites that are ordered by RTT.
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
		return leastLoaded(q, s, tried)
	case model.Headroom:
		return cheapest(q, s.List, tried, headroomCost)
	}
	return cheapest(q, s.List, tried, nearestCost)
}

func roundRobin(q Query, sites []Site, tried *Tried) int {
	n := len(sites)
	for k := range n {
		i := int((q.Sequence + uint64(k)) % uint64(n))
		if !tried.Has(i) && sites[i].isUsable(q.Now) {
			return i
		}
	}
	return -1
}

// leastLoaded returns the cheaper of two random sites of the home region or, if neither
// has a free slot, the cheapest of all regions if that has one.
func leastLoaded(q Query, s *Sites, tried *Tried) int {
	home := s.byRegion[q.Home]
	i := cheaper(q, s.List, randomSite(q, s.List, home, tried), randomSite(q, s.List, home, tried))
	if i >= 0 && !s.List[i].isFull(q.Now) {
		return i
	}
	j := cheapest(q, s.List, tried, loadCost)
	if i < 0 || j >= 0 && !s.List[j].isFull(q.Now) {
		return j
	}
	return i
}

// cheaper returns the cheaper of two sites; -1 means no site.
func cheaper(q Query, sites []Site, a, b int) int {
	if a < 0 {
		return b
	}
	if b < 0 || loadCost(q, &sites[a]) <= loadCost(q, &sites[b]) {
		return a
	}
	return b
}

// maxDraws bounds the random draws for a usable site.
const maxDraws = 8

// randomSite returns a random usable site out of the given indexes, or -1.
func randomSite(q Query, sites []Site, among []int32, tried *Tried) int {
	if len(among) == 0 {
		return -1
	}
	for range maxDraws {
		i := int(among[rand.IntN(len(among))])
		if sites[i].isUsable(q.Now) && !tried.Has(i) {
			return i
		}
	}
	return -1
}

// cheapest returns the site of lowest cost, or -1. It stops after maxCandidates sites with
// a free slot; sites are ordered by RTT, so these are the nearest ones.
func cheapest(q Query, sites []Site, tried *Tried, cost func(Query, *Site) float64) int {
	best, lowest, free := -1, math.Inf(1), 0
	for i := range sites {
		s := &sites[i]
		if !s.isUsable(q.Now) || tried.Has(i) {
			continue
		}
		if c := cost(q, s); c < lowest {
			best, lowest = i, c
		}
		if !s.isFull(q.Now) {
			free++
		}
		if free >= maxCandidates {
			break
		}
	}
	return best
}

func loadCost(q Query, s *Site) float64 {
	u := s.inUse(q.Now) / float64(s.Slots)
	return s.expectedTime(q.Now)*(1+u) + float64(s.RTT)
}

func nearestCost(q Query, s *Site) float64 {
	c := float64(s.RTT)
	if s.isFull(q.Now) {
		c += s.expectedTime(q.Now)
	}
	if s.Region != q.Home {
		c += float64(time.Millisecond)
	}
	return c
}

// headroomCost adds price*(0.1+u*u) to the cost by load, where price is that of the link and u its
// utilization.
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
