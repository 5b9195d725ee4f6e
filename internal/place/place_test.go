package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// placed is a target with what a VM knows of it.
type placed struct {
	WeightedTarget
	Candidate
}

func candidates(n int) []placed {
	var c []placed
	for i := range n {
		c = append(c, placed{
			WeightedTarget{TargetHash: HashTarget(fmt.Sprintf("i-%d", i)), Weight: 1},
			Candidate{Slots: 3, MeanServiceTime: 200 * time.Millisecond, ServiceTime: 200 * time.Millisecond},
		})
	}
	return c
}

// order returns the indexes of an object's first targets.
func order(k Key, c []placed, most int) []int {
	index := make([]int, len(c))
	for i := range c {
		index[i] = i
	}
	return TopN(k, index, most, func(int) bool { return true }, func(i int) WeightedTarget { return c[i].WeightedTarget })
}

// choose returns the index of an object's target, and its place in the order.
func choose(k Key, c []placed, spread int, hold float64, skip func(int) bool) (index, rank int, ok bool) {
	first := order(k, c, spread)
	rank, ok = Choose(first, hold, func(i int) Candidate { return c[i].Candidate }, skip)
	if !ok {
		return 0, 0, false
	}
	return first[rank], rank, true
}

func none(int) bool { return false }

// A target that may not be used leaves its place to the next one.
func TestUnusableIsLeftOut(t *testing.T) {
	c := candidates(16)
	for k := range 200 {
		key := HashObject("r", fmt.Sprint(k))
		all := order(key, c, 3)
		rank := func(i int) WeightedTarget { return c[i].WeightedTarget }
		index := []int{}
		for i := range c {
			index = append(index, i)
		}
		without := TopN(key, index, 2, func(i int) bool { return i != all[0] }, rank)
		assert.DeepEqual(t, without, all[1:])
	}
}

// All VMs come to the same order, whatever the order in which they know the targets.
func TestOrderIsTheSameEverywhere(t *testing.T) {
	c := candidates(16)
	back := make([]placed, len(c))
	for i := range c {
		back[len(c)-1-i] = c[i]
	}
	for k := range 100 {
		key := HashObject("r", fmt.Sprint(k))
		a, b := order(key, c, 3), order(key, back, 3)
		for i := range a {
			assert.Equal(t, c[a[i]].TargetHash, back[b[i]].TargetHash)
		}
	}
}

// Load pattern: a target is taken away. Only its own objects move.
func TestLostTargetMovesItsObjectsOnly(t *testing.T) {
	c := candidates(16)
	for k := range 500 {
		key := HashObject("r", fmt.Sprint(k))
		before := order(key, c, 1)[0]
		after := order(key, c[1:], 1)[0] + 1
		if before != 0 {
			assert.Equal(t, before, after)
		}
	}
}

// Objects are spread evenly, and near targets come first as often as their weight says.
func TestSpread(t *testing.T) {
	tests := []struct {
		name   string
		weight float64
		low    float64
		high   float64
	}{
		{"even", 1, 0.20, 0.30},
		{"near targets four times", 4, 0.52, 0.62},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := candidates(16)
			for i := range 4 {
				c[i].Weight = tt.weight
			}
			const objects = 4000
			near := 0
			for k := range objects {
				if order(HashObject("r", fmt.Sprint(k)), c, 1)[0] < 4 {
					near++
				}
			}
			part := float64(near) / objects
			assert.Assert(t, part > tt.low && part < tt.high, "%.2f are near", part)
		})
	}
}

// Load pattern: a region has few of the slots and its even part of the callers.
// Its objects stay as far as there is room, and the load of all slots is even.
func TestNearFillsRegionsEvenly(t *testing.T) {
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
		assert.Assert(t, over < 1.35, "region %d has %.2f times its part", r, over)
	}
	assert.Equal(t, LocalityWeight(0.5, 1), 1.0)
	assert.Equal(t, LocalityWeight(0, 3), 1.0)
	assert.Equal(t, LocalityWeight(0.9, 3), float64(mostPreferred))
}

// A busy first target is left only where the request is cheaper elsewhere, with
// the work on an unknown object counted.
func TestBusyFirstTarget(t *testing.T) {
	const warm, cold = 200 * time.Millisecond, 700 * time.Millisecond
	tests := []struct {
		name  string
		load  float64
		known bool
		first bool
	}{
		{"idle", 0, true, true},
		{"some wait, the others know the object", 6, true, false},
		{"some wait, the others do not know it", 6, false, true},
		{"many wait, the others do not know it", 15, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := candidates(5)
			key := HashObject("r", "17")
			first := order(key, c, 1)[0]
			for i := range c {
				c[i].ServiceTime = cold
				if tt.known {
					c[i].ServiceTime = warm
				}
			}
			c[first].Load, c[first].ServiceTime = tt.load, warm
			i, rank, ok := choose(key, c, 3, 0.2, none)
			assert.Assert(t, ok)
			assert.Equal(t, i == first, tt.first)
			assert.Equal(t, rank == 0, tt.first)
		})
	}
}

func TestSkipped(t *testing.T) {
	c := candidates(2)
	_, _, ok := choose(1, c, 3, 0, func(int) bool { return true })
	assert.Assert(t, !ok)
	_, ok = CheaperOfTwo(1, nil, func(c placed) Candidate { return c.Candidate })
	assert.Assert(t, !ok)
}

func TestWarm(t *testing.T) {
	var w WarmSet
	for k := range Key(warmObjects + 1) {
		w.Add(k)
	}
	assert.Assert(t, !w.IsWarm(0), "the oldest object is still there")
	assert.Assert(t, w.IsWarm(1))
	w.Clear()
	assert.Assert(t, !w.IsWarm(1))
}

// Load pattern: all targets are nearly full. An object that a further target does
// not know would displace several of that target's own requests.
func TestRoomForAnObjectOfAnotherTarget(t *testing.T) {
	const warm, cold = 100 * time.Millisecond, 330 * time.Millisecond
	tests := []struct {
		name string
		c    Candidate
		want bool
	}{
		{"idle, and does not know it", Candidate{Slots: 4, MeanServiceTime: warm, ServiceTime: cold}, true},
		{"one runs, and does not know it", Candidate{Slots: 4, Load: 1, MeanServiceTime: warm, ServiceTime: cold}, false},
		{"three run, and knows it", Candidate{Slots: 4, Load: 3, MeanServiceTime: warm, ServiceTime: warm}, true},
		{"full, and knows it", Candidate{Slots: 4, Load: 4, MeanServiceTime: warm, ServiceTime: warm}, false},
		{"few slots, idle", Candidate{Slots: 2, MeanServiceTime: warm, ServiceTime: cold}, true},
		{"few slots, one runs", Candidate{Slots: 2, Load: 1, MeanServiceTime: warm, ServiceTime: cold}, false},
		{"nothing learned yet", Candidate{Slots: 2, Load: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.c.HasCapacity(), tt.want)
		})
	}
}
