package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// callerRTT is the round-trip time between a caller and an entry.
const callerRTT = 6 * time.Millisecond

// freeTimes is a min-heap of the times at which the slots of the ideal queue become free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push adds a slot, as heap.Interface requires.
func (f *freeTimes) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop removes the last element, as heap.Interface requires.
func (f *freeTimes) Pop() any {
	o := *f
	x := o[len(o)-1]
	*f = o[:len(o)-1]
	return x
}

type arrival struct {
	at     time.Duration
	stream int
}

// arrivals returns the arrivals of a service's classes, drawn as by fakes.Load.
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

// ideal simulates a single queue in front of all slots of a service, and returns
// the latencies of a class in milliseconds.
func (o Options) ideal(s model.ServiceID, stream int) (p50, p99 float64) {
	slots := make(freeTimes, o.Firm.Targets[s]*o.Firm.Slots)
	rnd := rand.New(rand.NewPCG(o.Seed, 1<<32))
	var latencies []float64
	for _, a := range o.arrivals(s) {
		start := max(a.at, slots[0])
		end := start + time.Duration(rnd.ExpFloat64()*float64(o.ServiceTime))
		slots[0] = end
		heap.Fix(&slots, 0)
		if a.stream == stream {
			latencies = append(latencies, float64((end-a.at+callerRTT).Microseconds())/1000)
		}
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}
