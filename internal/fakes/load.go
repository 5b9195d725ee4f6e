package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/eelgrassroad/eelgrassroad/pkg/caller"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Stream is a load of one request class at a fixed mean rate.
type Stream struct {
	Service model.ServiceID `json:"service"`
	Class   model.ClassID   `json:"class"`
	// PerSecond is the mean rate of Poisson arrivals.
	PerSecond float64       `json:"perSecond"`
	Deadline  time.Duration `json:"deadline"`
	BodyBytes int           `json:"bodyBytes"`
	// Resends is the maximum number of retries after a notRun outcome, each after
	// the Retry-After of the response.
	Resends int `json:"resends"`
	// Copies is the number of copies of a request sent at once, by different callers.
	Copies int `json:"copies"`
}

// LoadOptions configures a load.
type LoadOptions struct {
	Seed    uint64
	Length  time.Duration
	Streams []Stream
	// Clients are the callers; requests are assigned to them round robin.
	Clients []*caller.Client
	// Prefix is the prefix of the request ids.
	Prefix string
	// Journal receives a JSON line for each request with its final outcome.
	Journal io.Writer
}

// ClassResult holds the measurements of the requests of a class.
type ClassResult struct {
	Class    model.ClassID          `json:"class"`
	Sent     int64                  `json:"sent"`
	Outcomes map[wire.Outcome]int64 `json:"outcomes"`
	Late     int64                  `json:"late"`
	// SentPerSecond and InTimePerSecond count by the second of the scheduled arrival.
	SentPerSecond   []int64 `json:"sentPerSecond"`
	InTimePerSecond []int64 `json:"inTimePerSecond"`
	// Latencies in milliseconds, from the scheduled arrival to the answer.
	P50  float64 `json:"p50Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	// RefusedP99 is the latency of requests that were not answered.
	RefusedP99 float64 `json:"refusedP99Millis"`
	// Reasons counts the unanswered requests by reason.
	Reasons map[string]int64 `json:"reasons,omitempty"`
}

const (
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

type recorder struct {
	mu       sync.Mutex
	r        ClassResult
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
}

// Load is an open-loop load generator: it sends requests at their scheduled
// times, whether or not earlier ones were answered, and measures latency from
// the scheduled time.
func Load(ctx context.Context, o LoadOptions) []ClassResult {
	var wg sync.WaitGroup
	recorders := make([]*recorder, len(o.Streams))
	for i, s := range o.Streams {
		recorders[i] = &recorder{
			r:        ClassResult{Class: s.Class, Outcomes: map[wire.Outcome]int64{}, Reasons: map[string]int64{}},
			answered: hdrhistogram.New(1, maxLatencyMicros, significantDigits), refused: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			stream(ctx, o, s, uint64(i), recorders[i])
		}()
	}
	wg.Wait()
	out := make([]ClassResult, 0, len(recorders))
	for _, t := range recorders {
		out = append(out, t.result())
	}
	return out
}

func stream(ctx context.Context, o LoadOptions, s Stream, index uint64, t *recorder) {
	rnd := rand.New(rand.NewPCG(o.Seed, index))
	start := time.Now()
	var wg sync.WaitGroup
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / s.PerSecond * float64(time.Second))
		if at > o.Length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		q := caller.Request{
			Service: s.Service, Class: s.Class, Path: "/load", Deadline: s.Deadline,
			ID: requestID(o.Prefix, s.Class, n), Body: make([]byte, s.BodyBytes),
		}
		scheduled := start.Add(at)
		for k := range max(1, s.Copies) {
			c := o.Clients[(n+k)%len(o.Clients)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := send(ctx, c, q, s.Resends)
				t.add(a, start, scheduled, s.Deadline)
				t.write(o.Journal, newLoadRecord(q, a))
			}()
		}
	}
	wg.Wait()
}

func requestID(prefix string, c model.ClassID, n int) model.RequestID {
	return model.RequestID(prefix + "-" + string(c) + "-" + strconv.Itoa(n))
}

// send sends a request, and retries it after a notRun outcome.
func send(ctx context.Context, c *caller.Client, q caller.Request, resends int) caller.Answer {
	for {
		// Do also reports every failure in the outcome.
		a, _ := c.Do(ctx, q)
		if a.Outcome != wire.NotRun || resends == 0 || ctx.Err() != nil {
			return a
		}
		resends--
		q.Attempt = max(1, q.Attempt) + 1
		time.Sleep(a.RetryAfter)
	}
}

func (t *recorder) add(a caller.Answer, start, scheduled time.Time, deadline time.Duration) {
	latency := time.Since(scheduled)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Sent++
	second := int(scheduled.Sub(start) / time.Second)
	count(&t.r.SentPerSecond, second, true)
	count(&t.r.InTimePerSecond, second, a.Outcome == wire.Answered && (deadline <= 0 || latency <= deadline))
	t.r.Outcomes[a.Outcome]++
	us := min(maxLatencyMicros, max(1, latency.Microseconds()))
	if a.Outcome == wire.Answered {
		// The value is within the histogram's bounds, so recording cannot fail.
		_ = t.answered.RecordValue(us)
		if deadline > 0 && latency > deadline {
			t.r.Late++
		}
		return
	}
	_ = t.refused.RecordValue(us)
	t.r.Reasons[truncateReason(a.Reason)]++
}

// count extends the list to the second, and increments its count if matches is set.
func count(list *[]int64, second int, matches bool) {
	for len(*list) <= second {
		*list = append(*list, 0)
	}
	if matches {
		(*list)[second]++
	}
}

// LoadRecord is a line of a load journal: the final outcome of one request.
type LoadRecord struct {
	Request model.RequestID `json:"request"`
	Class   model.ClassID   `json:"class"`
	Outcome wire.Outcome    `json:"outcome"`
	Reason  string          `json:"reason,omitempty"`
	// Wrong marks an answer that is incomplete or belongs to another request.
	Wrong bool `json:"wrong,omitempty"`
}

func newLoadRecord(q caller.Request, a caller.Answer) LoadRecord {
	e := LoadRecord{Request: q.ID, Class: q.Class, Outcome: a.Outcome, Reason: a.Reason}
	if a.Outcome == wire.Answered {
		e.Wrong = !bytes.HasPrefix(a.Body, fmt.Appendf(nil, "{\"request\":%q,", q.ID)) || !bytes.Contains(a.Body, []byte("}"))
	}
	return e
}

func (t *recorder) write(w io.Writer, e LoadRecord) {
	if w == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// A write error is ignored: the reader of the journal checks its content.
	_ = json.NewEncoder(w).Encode(e)
}

func truncateReason(s string) string {
	return s[:min(len(s), 60)]
}

func (t *recorder) result() ClassResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.r
	r.P50 = millis(t.answered.ValueAtQuantile(50))
	r.P99 = millis(t.answered.ValueAtQuantile(99))
	r.P999 = millis(t.answered.ValueAtQuantile(99.9))
	r.RefusedP99 = millis(t.refused.ValueAtQuantile(99))
	return r
}

func millis(us int64) float64 { return float64(us) / 1000 }
