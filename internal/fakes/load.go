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

// Stream is one class of requests at a rate.
type Stream struct {
	Service model.ServiceID `json:"service"`
	Class   model.ClassID   `json:"class"`
	// PerSecond is the mean rate of arrivals, which are Poisson.
	PerSecond float64       `json:"perSecond"`
	Deadline  time.Duration `json:"deadline"`
	BodyBytes int           `json:"bodyBytes"`
	// Resends is how often a request is sent again after notRun, when it was told to come back.
	Resends int `json:"resends"`
	// Copies is how many copies of a request are sent at once, by different callers.
	Copies int `json:"copies"`
}

// LoadOptions are the settings of a load.
type LoadOptions struct {
	Seed    uint64
	Length  time.Duration
	Streams []Stream
	// Clients are the callers; arrivals go to them in turn.
	Clients []*caller.Client
	// Prefix starts the request ids.
	Prefix string
	// Journal gets a line for each request with its final outcome.
	Journal io.Writer
}

// ClassResult is what happened to the requests of a class.
type ClassResult struct {
	Class    model.ClassID          `json:"class"`
	Sent     int64                  `json:"sent"`
	Outcomes map[wire.Outcome]int64 `json:"outcomes"`
	Late     int64                  `json:"late"`
	// SentPerSecond and InTimePerSecond count by the second of the planned arrival.
	SentPerSecond   []int64 `json:"sentPerSecond"`
	InTimePerSecond []int64 `json:"inTimePerSecond"`
	// Latencies in milliseconds, from the planned arrival to the answer.
	P50  float64 `json:"p50Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	// RefusedP99 is the time until a refusal.
	RefusedP99 float64 `json:"refusedP99Millis"`
	// Reasons counts why requests were not answered.
	Reasons map[string]int64 `json:"reasons,omitempty"`
}

const (
	maxMicros = 120_000_000
	digits    = 3
)

type tally struct {
	mu       sync.Mutex
	r        ClassResult
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
}

// Load sends requests at their planned times, whether or not earlier ones were
// answered, and counts latency from the planned time.
func Load(ctx context.Context, o LoadOptions) []ClassResult {
	var wg sync.WaitGroup
	tallies := make([]*tally, len(o.Streams))
	for i, s := range o.Streams {
		tallies[i] = &tally{
			r:        ClassResult{Class: s.Class, Outcomes: map[wire.Outcome]int64{}, Reasons: map[string]int64{}},
			answered: hdrhistogram.New(1, maxMicros, digits), refused: hdrhistogram.New(1, maxMicros, digits),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			stream(ctx, o, s, uint64(i), tallies[i])
		}()
	}
	wg.Wait()
	out := make([]ClassResult, 0, len(tallies))
	for _, t := range tallies {
		out = append(out, t.result())
	}
	return out
}

func stream(ctx context.Context, o LoadOptions, s Stream, number uint64, t *tally) {
	rnd := rand.New(rand.NewPCG(o.Seed, number))
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
		planned := start.Add(at)
		for k := range max(1, s.Copies) {
			c := o.Clients[(n+k)%len(o.Clients)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := send(ctx, c, q, s.Resends)
				t.add(a, start, planned, s.Deadline)
				t.write(o.Journal, ending(q, a))
			}()
		}
	}
	wg.Wait()
}

func requestID(prefix string, c model.ClassID, n int) model.RequestID {
	return model.RequestID(prefix + "-" + string(c) + "-" + strconv.Itoa(n))
}

// send sends a request, and again when it was told that it did not run.
func send(ctx context.Context, c *caller.Client, q caller.Request, resends int) caller.Answer {
	for {
		// Do reports every failure as an outcome.
		a, _ := c.Do(ctx, q)
		if a.Outcome != wire.NotRun || resends == 0 || ctx.Err() != nil {
			return a
		}
		resends--
		q.Attempt = max(1, q.Attempt) + 1
		time.Sleep(a.RetryAfter)
	}
}

func (t *tally) add(a caller.Answer, start, planned time.Time, deadline time.Duration) {
	took := time.Since(planned)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Sent++
	second := int(planned.Sub(start) / time.Second)
	count(&t.r.SentPerSecond, second, true)
	count(&t.r.InTimePerSecond, second, a.Outcome == wire.Answered && (deadline <= 0 || took <= deadline))
	t.r.Outcomes[a.Outcome]++
	us := min(maxMicros, max(1, took.Microseconds()))
	if a.Outcome == wire.Answered {
		// The value is within the bounds, so recording cannot fail.
		_ = t.answered.RecordValue(us)
		if deadline > 0 && took > deadline {
			t.r.Late++
		}
		return
	}
	_ = t.refused.RecordValue(us)
	t.r.Reasons[shorten(a.Reason)]++
}

// count adds one to the count of a second.
func count(list *[]int64, second int, one bool) {
	for len(*list) <= second {
		*list = append(*list, 0)
	}
	if one {
		(*list)[second]++
	}
}

// LoadRecord is a line of a load's journal.
type LoadRecord struct {
	Request model.RequestID `json:"request"`
	Class   model.ClassID   `json:"class"`
	Outcome wire.Outcome    `json:"outcome"`
	Reason  string          `json:"reason,omitempty"`
	// Wrong marks an answer that is not the whole answer to the request.
	Wrong bool `json:"wrong,omitempty"`
}

func ending(q caller.Request, a caller.Answer) LoadRecord {
	e := LoadRecord{Request: q.ID, Class: q.Class, Outcome: a.Outcome, Reason: a.Reason}
	if a.Outcome == wire.Answered {
		e.Wrong = !bytes.HasPrefix(a.Body, fmt.Appendf(nil, "{\"request\":%q,", q.ID)) || !bytes.Contains(a.Body, []byte("}"))
	}
	return e
}

func (t *tally) write(w io.Writer, e LoadRecord) {
	if w == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The journal is checked by its reader.
	_ = json.NewEncoder(w).Encode(e)
}

func shorten(s string) string {
	return s[:min(len(s), 60)]
}

func (t *tally) result() ClassResult {
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
