// Package place decides which target should serve an object, so that the
// requests for one object meet a target that has handled it before.
//
// Every VM that knows the same targets comes to the same order without talking
// to the others: rendezvous hashing (Thaler and Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", 1998). Where the first target of an object is
// busy, its further ones are weighed by what the request would cost there, as a
// target that does not know the object works several times as long on it. A
// target that comes or goes moves only its own objects.
//
// # Usage
//
//	k := place.KeyOf("route", "17")
//	i, rank, ok := place.Choose(k, candidates, place.Options{Spread: place.DefaultSpread, Hold: 0.2}, skip)
//
// The package is pure: candidates and loads in, a choice out.
package place

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Key is the hash of an object's name.
type Key uint64

// Seed is the hash of a target's name.
type Seed uint64

// KeyOf returns the key of a name of one or more parts.
func KeyOf(parts ...string) Key { return Key(hash(parts...)) }

// SeedOf returns the seed of a target.
func SeedOf(target string) Seed { return Seed(hash(target)) }

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3; FNV alone leaves the high bits of similar names alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Candidate is a target that could serve a request now.
type Candidate struct {
	Seed Seed
	// Weight is how often the target comes first for an object, against the others;
	// 0 means 1.
	Weight float64
	// Slots is how many requests the target works on at once.
	Slots int
	// Load is the estimate of the requests that run or wait there.
	Load float64
	// Each is how long the target works on a usual request.
	Each time.Duration
	// Work is how long it would work on this one.
	Work time.Duration
}

// Wait estimates how long a further request would wait for a slot.
func (c Candidate) Wait() time.Duration {
	ahead := c.Load + 1 - float64(c.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(max(1, c.Slots)) * float64(c.Each))
}

// HasRoom tells whether the target could take the request beside its own ones: one
// that takes several times as long as usual takes the place of as many.
func (c Candidate) HasRoom() bool {
	if c.Each <= 0 {
		return c.Load < float64(c.Slots)
	}
	return c.Load+min(float64(c.Slots), float64(c.Work)/float64(c.Each)) <= float64(c.Slots)
}

// Cost estimates how long a further request would take.
func (c Candidate) Cost() time.Duration { return c.Wait() + c.Work }

// DefaultSpread is how many targets may serve one object. With more, requests of a
// crowd end in queues of targets that do not know their object (TestCrowd).
const DefaultSpread = 2

// Options bound how far an object's requests spread.
type Options struct {
	// Spread is how many targets an object may use.
	Spread int
	// Hold is by which part a later target must be cheaper than an earlier one
	// to be used, so that small differences in what VMs know do not scatter objects.
	Hold float64
}

// Choose returns the index of the target for an object and its place in the
// object's own order: the first, unless a later one is cheaper by enough.
// Targets that skip names are left out.
func Choose(k Key, c []Candidate, o Options, skip func(int) bool) (index, rank int, ok bool) {
	index = -1
	for r, i := range Order(k, c, o.Spread) {
		if skip(i) {
			continue
		}
		if index < 0 || float64(c[i].Cost()) < float64(c[index].Cost())*(1-o.Hold) {
			index, rank = i, r
		}
	}
	return index, rank, index >= 0
}

// Order returns the indexes of an object's first targets, in its order.
func Order(k Key, c []Candidate, most int) []int {
	type scored struct {
		index int
		score float64
	}
	best := make([]scored, 0, most+1)
	for i, x := range c {
		s := scored{i, x.score(k)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at >= most {
			continue
		}
		best = slices.Insert(best, at, s)
		if len(best) > most {
			best = best[:most]
		}
	}
	out := make([]int, len(best))
	for i, s := range best {
		out[i] = s.index
	}
	return out
}

// score is that of weighted rendezvous hashing (Schindelhauer and Schomaker,
// "Weighted Distributed Hash Tables", 2005): -w/ln(u) for a uniform u.
func (c Candidate) score(k Key) float64 {
	const steps = 1 << 53
	u := (float64(mix(uint64(k)^uint64(c.Seed))>>11) + 0.5) / steps
	w := c.Weight
	if w == 0 {
		w = 1
	}
	return -w / math.Log(u)
}

// mostPreferred bounds how much more often a near target comes first than a far
// one: at 8 some nine in ten objects stay where the room allows it. At 32 targets
// that joined in another region got nothing on some days.
const mostPreferred = 8

// Near returns the weight of the targets of a caller's own region against all
// others, so that objects stay near their callers as far as there is room: part
// is the region's part of all slots, and regions is how many share the callers.
func Near(part float64, regions int) float64 {
	if part <= 0 || part >= 1 || regions < 2 {
		return 1
	}
	stay := min(1, part*float64(regions))
	if stay >= 1 {
		return mostPreferred
	}
	return min(mostPreferred, max(1, stay/(1-stay)*(1-part)/part))
}

// Least returns the cheaper of two candidates that the pick names, which
// spreads requests for no object in particular.
func Least(pick Key, c []Candidate) (int, bool) {
	if len(c) == 0 {
		return 0, false
	}
	n := uint64(len(c))
	a, b := int(uint64(pick)%n), int(mix(uint64(pick))%n)
	if c[b].Cost() < c[a].Cost() {
		return b, true
	}
	return a, true
}
