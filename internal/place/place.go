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
//	first := place.First(k, targets, place.DefaultSpread, usable, rank)
//	i, ok := place.Choose(first, hold, candidate, tried)
//
// The package is pure: targets and loads in, a choice out.
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

// TargetHash is the hash of a target's name.
type TargetHash uint64

// HashObject returns the key of a name of one or more parts.
func HashObject(parts ...string) Key { return Key(hash(parts...)) }

// HashTarget returns the seed of a target.
func HashTarget(target string) TargetHash { return TargetHash(hash(target)) }

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

// WeightedTarget is what places a target in the order of an object.
type WeightedTarget struct {
	TargetHash TargetHash
	// Weight is how often the target comes first for an object, against the others.
	Weight float64
}

// Candidate is a target that could serve a request now.
type Candidate struct {
	// Slots is how many requests the target works on at once.
	Slots int
	// Load is the estimate of the requests that run or wait there.
	Load float64
	// MeanServiceTime is how long the target works on a usual request.
	MeanServiceTime time.Duration
	// ServiceTime is how long it would work on this one.
	ServiceTime time.Duration
}

// Wait estimates how long a further request would wait for a slot.
func (c Candidate) Wait() time.Duration {
	ahead := c.Load + 1 - float64(c.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(max(1, c.Slots)) * float64(c.MeanServiceTime))
}

// HasCapacity tells whether the target could take the request beside its own ones: one
// that takes several times as long as usual takes the place of as many.
func (c Candidate) HasCapacity() bool {
	if c.MeanServiceTime <= 0 {
		return c.Load < float64(c.Slots)
	}
	return c.Load+min(float64(c.Slots), float64(c.ServiceTime)/float64(c.MeanServiceTime)) <= float64(c.Slots)
}

// Cost estimates how long a further request would take.
func (c Candidate) Cost() time.Duration { return c.Wait() + c.ServiceTime }

// DefaultTargetsPerObject is how many targets may serve one object. With more, requests of a
// crowd end in queues of targets that do not know their object (TestCrowd).
const DefaultTargetsPerObject = 2

// Choose returns the index of the target for an object among its first ones, in
// its order: the first, unless a later one is cheaper by a part of hold, so that
// small differences in what VMs know do not scatter objects. Targets that skip
// names are left out.
func Choose[T any](first []T, hold float64, candidate func(T) Candidate, skip func(T) bool) (int, bool) {
	index, least := -1, time.Duration(0)
	for i, t := range first {
		if skip(t) {
			continue
		}
		cost := candidate(t).Cost()
		if index < 0 || float64(cost) < float64(least)*(1-hold) {
			index, least = i, cost
		}
	}
	return index, index >= 0
}

// TopN returns an object's first targets of a list, in its order. Targets that
// may not be used are left out; only few are asked.
func TopN[T any](k Key, list []T, most int, use func(T) bool, rank func(T) WeightedTarget) []T {
	type scored struct {
		t     T
		score float64
	}
	best := make([]scored, 0, most+1)
	for _, t := range list {
		s := scored{t, rank(t).score(k)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at >= most || !use(t) {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), most)]
	}
	out := make([]T, len(best))
	for i, s := range best {
		out[i] = s.t
	}
	return out
}

// score is that of weighted rendezvous hashing (Schindelhauer and Schomaker,
// "Weighted Distributed Hash Tables", 2005): -w/ln(u) for a uniform u.
func (r WeightedTarget) score(k Key) float64 {
	const steps = 1 << 53
	u := (float64(mix(uint64(k)^uint64(r.TargetHash))>>11) + 0.5) / steps
	return -r.Weight / math.Log(u)
}

// mostPreferred bounds how much more often a near target comes first than a far
// one: at 8 some nine in ten objects stay where the room allows it. At 32 targets
// that joined in another region got nothing on some days.
const mostPreferred = 8

// LocalityWeight returns the weight of the targets of a caller's own region against all
// others, so that objects stay near their callers as far as there is room: part
// is the region's part of all slots, and regions is how many share the callers.
func LocalityWeight(part float64, regions int) float64 {
	if part <= 0 || part >= 1 || regions < 2 {
		return 1
	}
	stay := min(1, part*float64(regions))
	if stay >= 1 {
		return mostPreferred
	}
	return min(mostPreferred, max(1, stay/(1-stay)*(1-part)/part))
}

// CheaperOfTwo returns the index of the cheaper of two targets that the pick names, which
// spreads requests for no object in particular.
func CheaperOfTwo[T any](pick Key, list []T, candidate func(T) Candidate) (int, bool) {
	if len(list) == 0 {
		return 0, false
	}
	n := uint64(len(list))
	a, b := int(uint64(pick)%n), int(mix(uint64(pick))%n)
	if candidate(list[b]).Cost() < candidate(list[a]).Cost() {
		return b, true
	}
	return a, true
}
