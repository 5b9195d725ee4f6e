// Package burn counts the outcomes of requests by class and policy, and reports
// the burn rate of each class's error budget.
//
// A request is good when its whole answer arrived within the latency objective
// of its class. The burn rate is the fraction of bad requests divided by the
// fraction that the objective allows; a rate of 1 uses up the budget exactly.
// An alert requires a high burn rate in two windows, as in "The Site
// Reliability Workbook" (Google, 2018), chapter 5.
//
// # Usage
//
//	b := burn.New(clock)
//	b.Record(burn.Key{Service: "registry", Class: "lookup", Policy: "near"}, burn.Sample{...})
//	s := b.Snapshot()
//	report := burn.Report(snapshots, classes)
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

const (
	bucketLength      = 10 * time.Second
	bucketCount       = 6 * 60 * 6
	maxLatencyMicros  = 120_000_000
	significantDigits = 2
	z95               = 1.96
	window5m          = 5 * time.Minute
	window1h          = time.Hour
	window30m         = 30 * time.Minute
	window6h          = 6 * time.Hour
)

// Key identifies the requests that are counted together.
type Key struct {
	Service model.ServiceID `json:"service"`
	Class   model.ClassID   `json:"class"`
	Policy  model.PolicyID  `json:"policy"`
}

// Sample is the result of one request.
type Sample struct {
	Outcome wire.Outcome
	Latency time.Duration
	Good    bool
	// Shifted is set when the request was sent outside its home region.
	Shifted bool
	// Headroom is the free fraction of the site's slots when the site was chosen, from 0 to 1.
	Headroom float64
}

type bucket struct {
	tick      int64
	good, all int64
}

type series struct {
	counts  Counts
	latency *hdrhistogram.Histogram
	buckets [bucketCount]bucket
}

// Counts are the numbers of requests since the start by how they ended.
type Counts struct {
	All      int64   `json:"all"`
	Good     int64   `json:"good"`
	Answered int64   `json:"answered"`
	NotRun   int64   `json:"notRun"`
	Unknown  int64   `json:"unknown"`
	Shifted  int64   `json:"shifted"`
	Headroom float64 `json:"headroomSum"`
}

// Window is the number of good requests and of all requests in a time window.
type Window struct {
	Good int64 `json:"good"`
	All  int64 `json:"all"`
}

// Series is what one VM has counted for a key.
type Series struct {
	Key
	Counts   Counts                 `json:"counts"`
	Latency  *hdrhistogram.Snapshot `json:"latency"`
	FiveMin  Window                 `json:"fiveMinutes"`
	HalfHour Window                 `json:"thirtyMinutes"`
	Hour     Window                 `json:"oneHour"`
	SixHours Window                 `json:"sixHours"`
}

// Recorder counts requests. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	clock  func() time.Duration
	series map[Key]*series
}

// New returns an empty book.
func New(clock func() time.Duration) *Recorder {
	return &Recorder{clock: clock, series: map[Key]*series{}}
}

// Record counts a request.
func (b *Recorder) Record(k Key, s Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.series[k]
	if !ok {
		x = &series{latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		b.series[k] = x
	}
	x.add(s, int64(b.clock()/bucketLength))
}

func (x *series) add(s Sample, tick int64) {
	c := &x.counts
	c.All++
	switch s.Outcome {
	case wire.Answered:
		c.Answered++
		// The value is within the bounds, so recording cannot fail.
		_ = x.latency.RecordValue(min(maxLatencyMicros, max(1, s.Latency.Microseconds())))
	case wire.NotRun:
		c.NotRun++
	case wire.Unknown:
		c.Unknown++
	}
	if s.Shifted {
		c.Shifted++
	}
	c.Headroom += s.Headroom
	w := &x.buckets[tick%bucketCount]
	if w.tick != tick {
		*w = bucket{tick: tick}
	}
	w.all++
	if s.Good {
		c.Good++
		w.good++
	}
}

func (x *series) window(d time.Duration, now int64) Window {
	var w Window
	oldest := now - int64(d/bucketLength)
	for i := range x.buckets {
		if k := &x.buckets[i]; k.all > 0 && k.tick > oldest && k.tick <= now {
			w.Good += k.good
			w.All += k.all
		}
	}
	return w
}

// Snapshot returns the series of all keys.
func (b *Recorder) Snapshot() []Series {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := int64(b.clock() / bucketLength)
	out := make([]Series, 0, len(b.series))
	for k, x := range b.series {
		out = append(out, Series{
			Key: k, Counts: x.counts, Latency: x.latency.Export(),
			FiveMin: x.window(window5m, now), HalfHour: x.window(window30m, now),
			Hour: x.window(window1h, now), SixHours: x.window(window6h, now),
		})
	}
	return out
}

// Merge adds up the series of several VMs by key.
func Merge(all ...[]Series) []Series {
	m := map[Key]*Series{}
	h := map[Key]*hdrhistogram.Histogram{}
	for _, list := range all {
		for _, s := range list {
			if _, ok := m[s.Key]; !ok {
				m[s.Key] = &Series{Key: s.Key}
				h[s.Key] = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
			}
			m[s.Key].merge(s)
			h[s.Key].Merge(hdrhistogram.Import(s.Latency))
		}
	}
	out := make([]Series, 0, len(m))
	for k, s := range m {
		s.Latency = h[k].Export()
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Policy, b.Policy))
}

func (s *Series) merge(o Series) {
	s.Counts.All += o.Counts.All
	s.Counts.Good += o.Counts.Good
	s.Counts.Answered += o.Counts.Answered
	s.Counts.NotRun += o.Counts.NotRun
	s.Counts.Unknown += o.Counts.Unknown
	s.Counts.Shifted += o.Counts.Shifted
	s.Counts.Headroom += o.Counts.Headroom
	s.FiveMin.merge(o.FiveMin)
	s.HalfHour.merge(o.HalfHour)
	s.Hour.merge(o.Hour)
	s.SixHours.merge(o.SixHours)
}

func (w *Window) merge(o Window) {
	w.Good += o.Good
	w.All += o.All
}
