package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	maxRefusalMicros = 60_000_000
	refusalDigits    = 3
	highQuantile     = 99
)

// RefusalLatency is how long callers whose request was not answered waited for the final
// response after the entry had stopped trying sites. It covers every result but an answer:
// refusals, conflicts, closed claims and unknown outcomes.
type RefusalLatency struct {
	Count     int64   `json:"count"`
	P50Millis float64 `json:"p50Millis"`
	P99Millis float64 `json:"p99Millis"`
}

// refusalLatencies holds the latency of the results without an answer by delivery. A request
// that runs at most once is refused after its claim is closed, any other request at once.
type refusalLatencies struct {
	mu sync.Mutex
	m  map[model.Delivery]*hdrhistogram.Histogram
}

func (r *refusalLatencies) record(d model.Delivery, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = map[model.Delivery]*hdrhistogram.Histogram{}
	}
	if r.m[d] == nil {
		r.m[d] = hdrhistogram.New(1, maxRefusalMicros, refusalDigits)
	}
	// The value is within the bounds, so recording cannot fail.
	_ = r.m[d].RecordValue(min(maxRefusalMicros, max(1, took.Microseconds())))
}

func (r *refusalLatencies) latencies() map[model.Delivery]RefusalLatency {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[model.Delivery]RefusalLatency{}
	for d, h := range r.m {
		out[d] = RefusalLatency{
			Count:     h.TotalCount(),
			P50Millis: toMillis(h.ValueAtQuantile(50)),
			P99Millis: toMillis(h.ValueAtQuantile(highQuantile)),
		}
	}
	return out
}

func toMillis(n int64) float64 {
	return float64(n) / float64(time.Millisecond/time.Microsecond)
}
