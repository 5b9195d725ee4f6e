package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testTarget is a target with what a VM knows about it.
type testTarget struct {
	WeightedTarget
	Candidate
}

func candidates(n int) []testTarget {
	var c []testTarget
	for i := range n {
		c = append(c, testTarget{
			WeightedTarget{TargetHash: HashTarget(fmt.Sprintf("i-%d", i)), Weight: 1},
			Candidate{Slots: 3, MeanServiceTime: 200 * time.Millisecond, ServiceTime: 200 * time.Millisecond},
		})
	}
	return c
}

// topIndexes returns the indexes of the first n targets of an object.
func topIndexes(k Key, c []testTarget, n int) []int {
	index := make([]int, len(c))
	for i := range c {
		index[i] = i
	}
	return TopN(k, index, n, func(int) bool { return true }, func(i int) WeightedTarget { return c[i].WeightedTarget })
}

// choose returns the index of an object's target and the target's rank in the object's order.
func choose(k Key, c []testTarget, targetsPerObject int, margin float64, skip func(int) bool) (index, rank int, ok bool) {
	top := topIndexes(k, c, targetsPerObject)
	rank, ok = Choose(top, margin, func(i int) Candidate { return c[i].Candidate }, skip)
	if !ok {
		return 0, 0, false
	}
	return top[rank], rank, true
}

func skipNone(int) bool { return false }

// The next target in the order takes the place of an unusable one.
func TestTopNLeavesOutUnusable(t *testing.T) {
	c := candidates(16)
	for k := range 200 {
		key := HashObject("r", fmt.Sprint(k))
		all := topIndexes(key, c, 3)
		weigh := func(i int) WeightedTarget { return c[i].WeightedTarget }
		index := []int{}
		for i := range c {
			index = append(index, i)
		}
		without := TopN(key, index, 2, func(i int) bool { return i != all[0] }, weigh)
		assert.DeepEqual(t, without, all[1:])
	}
}

// All VMs compute the same order, whatever the order of their lists of targets.
func TestOrderDoesNotDependOnList(t *testing.T) {
	c := candidates(16)
	reversed := make([]testTarget, len(c))
	for i := range c {
		reversed[len(c)-1-i] = c[i]
	}
	for k := range 100 {
		key := HashObject("r", fmt.Sprint(k))
		a, b := topIndexes(key, c, 3), topIndexes(key, reversed, 3)
		for i := range a {
			assert.Equal(t, c[a[i]].TargetHash, reversed[b[i]].TargetHash)
		}
	}
}

// Load pattern: a target is removed. Only its own objects move.
func TestRemovedTargetMovesOnlyItsObjects(t *testing.T) {
	c := candidates(16)
	for k := range 500 {
		key := HashObject("r", fmt.Sprint(k))
		before := topIndexes(key, c, 1)[0]
		after := topIndexes(key, c[1:], 1)[0] + 1
		if before != 0 {
			assert.Equal(t, before, after)
		}
	}
}

// Objects are spread evenly, and targets come first in proportion to their weight.
func TestWeights(t *testing.T) {
	tests := []struct {
		name   string
		weight float64
		low    float64
		high   float64
	}{
		{"even", 1, 0.20, 0.30},
		{"four targets with weight 4", 4, 0.52, 0.62},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := candidates(16)
			for i := range 4 {
				c[i].Weight = tt.weight
			}
			const objects = 4000
			weighted := 0
			for k := range objects {
				if topIndexes(HashObject("r", fmt.Sprint(k)), c, 1)[0] < 4 {
					weighted++
				}
			}
			fraction := float64(weighted) / objects
			assert.Assert(t, fraction > tt.low && fraction < tt.high, "fraction %.2f at the weighted targets", fraction)
		})
	}
}

// Load pattern: a region has few of the slots and an equal fraction of the callers. Its
// objects stay there as far as it has the capacity, and the load of all slots is even.
func TestLocalityWeightBalancesRegions(t *testing.T) {
	slots := []float64{2, 6, 8}
	var load [3]float64
	for home := range slots {
		w := LocalityWeight(slots[home]/16, 3)
		sum := 0.0
		for r, n := range slots {
			if r == home {
				n *= w
			}
			sum += n
		}
		for r, n := range slots {
			if r == home {
				n *= w
			}
			load[r] += n / sum / 3
		}
	}
	for r, n := range slots {
		over := load[r] / (n / 16)
		assert.Assert(t, over < 1.35, "load of region %d is %.2f times its fraction of the slots", r, over)
	}
	assert.Equal(t, LocalityWeight(0.5, 1), 1.0)
	assert.Equal(t, LocalityWeight(0, 3), 1.0)
	assert.Equal(t, LocalityWeight(0.9, 3), float64(maxLocalityWeight))
}

// A busy first target is passed over only where the request is cheaper elsewhere, the
// extra time at a cold target included.
func TestChooseWithBusyFirstTarget(t *testing.T) {
	const warmTime, coldTime = 200 * time.Millisecond, 700 * time.Millisecond
	tests := []struct {
		name  string
		load  float64
		warm  bool
		first bool
	}{
		{"idle", 0, true, true},
		{"some wait, others warm", 6, true, false},
		{"some wait, others cold", 6, false, true},
		{"many wait, others cold", 15, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := candidates(5)
			key := HashObject("r", "17")
			first := topIndexes(key, c, 1)[0]
			for i := range c {
				c[i].ServiceTime = coldTime
				if tt.warm {
					c[i].ServiceTime = warmTime
				}
			}
			c[first].Load, c[first].ServiceTime = tt.load, warmTime
			i, rank, ok := choose(key, c, 3, 0.2, skipNone)
			assert.Assert(t, ok)
			assert.Equal(t, i == first, tt.first)
			assert.Equal(t, rank == 0, tt.first)
		})
	}
}

func TestNoTargetLeft(t *testing.T) {
	c := candidates(2)
	_, _, ok := choose(1, c, 3, 0, func(int) bool { return true })
	assert.Assert(t, !ok)
	_, ok = CheaperOfTwo(1, nil, func(c testTarget) Candidate { return c.Candidate })
	assert.Assert(t, !ok)
}

func TestWarmSet(t *testing.T) {
	var w WarmSet
	for k := range Key(maxWarmObjects + 1) {
		w.Add(k)
	}
	assert.Assert(t, !w.IsWarm(0), "the oldest object was not evicted")
	assert.Assert(t, w.IsWarm(1))
	w.Clear()
	assert.Assert(t, !w.IsWarm(1))
}

// Load pattern: all targets are nearly full. A request for an object for which a target
// is cold would displace several of that target's own requests.
func TestHasCapacity(t *testing.T) {
	const warm, cold = 100 * time.Millisecond, 330 * time.Millisecond
	tests := []struct {
		name string
		c    Candidate
		want bool
	}{
		{"idle and cold", Candidate{Slots: 4, MeanServiceTime: warm, ServiceTime: cold}, true},
		{"one runs, cold", Candidate{Slots: 4, Load: 1, MeanServiceTime: warm, ServiceTime: cold}, false},
		{"three run, warm", Candidate{Slots: 4, Load: 3, MeanServiceTime: warm, ServiceTime: warm}, true},
		{"full, warm", Candidate{Slots: 4, Load: 4, MeanServiceTime: warm, ServiceTime: warm}, false},
		{"few slots, idle, cold", Candidate{Slots: 2, MeanServiceTime: warm, ServiceTime: cold}, true},
		{"few slots, one runs, cold", Candidate{Slots: 2, Load: 1, MeanServiceTime: warm, ServiceTime: cold}, false},
		{"mean service time unknown", Candidate{Slots: 2, Load: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.c.HasCapacity(), tt.want)
		})
	}
}
