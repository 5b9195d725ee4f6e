package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// callerWay is a caller's way to an entry and back.
const callerWay = 6 * time.Millisecond

// free is when each slot of the ideal queue becomes free.
type free []time.Duration

func (f free) Len() int           { return len(f) }
func (f free) Less(i, j int) bool { return f[i] < f[j] }
func (f free) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push adds a slot.
func (f *free) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop removes the slot that is free first.
func (f *free) Pop() any {
	o := *f
	x := o[len(o)-1]
	*f = o[:len(o)-1]
	return x
}

type arrival struct {
	at     time.Duration
	stream int
}

// arrivals returns the arrivals of a service's classes, as the load makes them.
func (o Options) arrivals(s model.ServiceID) []arrival {
	var out []arrival
	for i, x := range o.streams() {
		if x.Service != s {
			continue
		}
		rnd := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		for at := time.Duration(0); ; {
			at += time.Duration(rnd.ExpFloat64() / x.PerSecond * float64(time.Second))
			if at > o.Length {
				break
			}
			out = append(out, arrival{at, i})
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// ideal returns the latencies of a class in a single queue before all slots of
// its service, in milliseconds.
func (o Options) ideal(s model.ServiceID, stream int) (p50, p99 float64) {
	slots := make(free, o.Firm.Targets[s]*o.Firm.Slots)
	rnd := rand.New(rand.NewPCG(o.Seed, 1<<32))
	var took []float64
	for _, a := range o.arrivals(s) {
		begin := max(a.at, slots[0])
		end := begin + time.Duration(rnd.ExpFloat64()*float64(o.ServiceTime))
		slots[0] = end
		heap.Fix(&slots, 0)
		if a.stream == stream {
			took = append(took, float64((end-a.at+callerWay).Microseconds())/1000)
		}
	}
	if len(took) == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*99/100]
}
