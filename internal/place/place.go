// Package place selects the target for an object, so that requests for one
// object reach a target that is already warm for it.
//
// Every VM that knows the same targets computes the same order without
// communication, by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", 1998). Where the first target of an object is
// busy, the object's other targets are compared by the expected cost of the
// request, as a target that is cold for the object works several times as long on
// it. A target that is added or removed moves only its own objects.
//
// # Usage
//
//	k := place.HashObject("route", "17")
//	top := place.TopN(k, targets, place.DefaultTargetsPerObject, usable, weigh)
//	i, ok := place.Choose(top, margin, candidate, tried)
//
// The package is pure: it maps targets and loads to a choice and keeps no other state.
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

// HashTarget returns the hash of a target's name.
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

// WeightedTarget is the input of rendezvous hashing for one target.
type WeightedTarget struct {
	TargetHash TargetHash
	// Weight is how often the target comes first for an object, relative to the others.
	Weight float64
}

// Candidate is a target that could serve a request now.
type Candidate struct {
	// Slots is how many requests the target works on at once.
	Slots int
	// Load is the estimated number of requests that run or wait there.
	Load float64
	// MeanServiceTime is how long the target works on a usual request.
	MeanServiceTime time.Duration
	// ServiceTime is how long the target would work on this request.
	ServiceTime time.Duration
}

// Wait estimates how long one more request would wait for a slot.
func (c Candidate) Wait() time.Duration {
	ahead := c.Load + 1 - float64(c.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(max(1, c.Slots)) * float64(c.MeanServiceTime))
}

// HasCapacity reports whether the target has spare capacity for the request. A
// request that takes several times as long as usual displaces as many usual ones.
func (c Candidate) HasCapacity() bool {
	if c.MeanServiceTime <= 0 {
		return c.Load < float64(c.Slots)
	}
	return c.Load+min(float64(c.Slots), float64(c.ServiceTime)/float64(c.MeanServiceTime)) <= float64(c.Slots)
}

// Cost estimates how long one more request would take, its wait included.
func (c Candidate) Cost() time.Duration { return c.Wait() + c.ServiceTime }

// DefaultTargetsPerObject is how many targets may serve one object. With more, requests
// under high load end in queues of targets that are cold for their object
// (TestTargetsPerObjectUnderHighLoad).
const DefaultTargetsPerObject = 2

// Choose returns the index of the target for an object among its top targets, in
// its order: the first, unless a later one is cheaper by the fraction margin, so that
// small differences in what VMs know do not scatter objects. Targets for which skip
// returns true are left out.
func Choose[T any](top []T, margin float64, candidate func(T) Candidate, skip func(T) bool) (int, bool) {
	index, lowest := -1, time.Duration(0)
	for i, t := range top {
		if skip(t) {
			continue
		}
		cost := candidate(t).Cost()
		if index < 0 || float64(cost) < float64(lowest)*(1-margin) {
			index, lowest = i, cost
		}
	}
	return index, index >= 0
}

// TopN returns the first n usable targets of a list in the order of an object. It
// calls usable only for targets that would be among them.
func TopN[T any](k Key, list []T, n int, usable func(T) bool, weigh func(T) WeightedTarget) []T {
	type scored struct {
		t     T
		score float64
	}
	best := make([]scored, 0, n+1)
	for _, t := range list {
		s := scored{t, weigh(t).score(k)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at >= n || !usable(t) {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	out := make([]T, len(best))
	for i, s := range best {
		out[i] = s.t
	}
	return out
}

// score returns the score of weighted rendezvous hashing (Schindelhauer and Schomaker,
// "Weighted Distributed Hash Tables", 2005): -w/ln(u) for a uniform u.
func (w WeightedTarget) score(k Key) float64 {
	const steps = 1 << 53
	u := (float64(mix(uint64(k)^uint64(w.TargetHash))>>11) + 0.5) / steps
	return -w.Weight / math.Log(u)
}

// maxLocalityWeight bounds how much more often a target in the caller's region comes first
// than another one. With 8, about nine in ten objects stay in their region where it has the
// capacity. With 32, targets that joined in another region got no requests on some
// simulated days of a deployment.
const maxLocalityWeight = 8

// LocalityWeight returns the weight of the targets in the caller's region relative to
// all others, so that objects stay near their callers as far as the region has the
// capacity. The region has the given fraction of all slots; regions is how many regions
// the callers are spread over.
func LocalityWeight(fraction float64, regions int) float64 {
	if fraction <= 0 || fraction >= 1 || regions < 2 {
		return 1
	}
	local := min(1, fraction*float64(regions))
	if local >= 1 {
		return maxLocalityWeight
	}
	return min(maxLocalityWeight, max(1, local/(1-local)*(1-fraction)/fraction))
}

// CheaperOfTwo returns the index of the cheaper of two targets selected by a key. It
// distributes requests that have no object (power of two choices).
func CheaperOfTwo[T any](k Key, list []T, candidate func(T) Candidate) (int, bool) {
	if len(list) == 0 {
		return 0, false
	}
	n := uint64(len(list))
	a, b := int(uint64(k)%n), int(mix(uint64(k))%n)
	if candidate(list[b]).Cost() < candidate(list[a]).Cost() {
		return b, true
	}
	return a, true
}
