package proxy

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/eelgrassroad/eelgrassroad/internal/gossip"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

const (
	// maxTrackedLatency is the maximum latency that histograms record.
	maxTrackedLatency = time.Minute
	histogramDigits   = 2
)

// metrics collects the counters and latencies of a proxy.
type metrics struct {
	inFlight atomic.Int64

	mu             sync.Mutex
	responses      map[string]int64
	sends          map[string]int64
	localResponses map[string]int64
	latency        map[model.RouteID]*hdrhistogram.Histogram
	targetLatency  *hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{
		responses: map[string]int64{}, sends: map[string]int64{}, localResponses: map[string]int64{},
		latency: map[model.RouteID]*hdrhistogram.Histogram{}, targetLatency: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTrackedLatency.Microseconds(), histogramDigits)
}

func (m *metrics) recordSend(r result, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sends[r.outcome.String()]++
	// A latency beyond the range is counted only by its outcome.
	_ = m.targetLatency.RecordValue(took.Microseconds())
}

func (m *metrics) recordResponse(q *request, a response, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responses[strconv.Itoa(a.status)]++
	if a.isLocal {
		m.localResponses[strconv.Itoa(a.status)]++
	}
	if q.route.Name == "" {
		return
	}
	h, ok := m.latency[q.route.Name]
	if !ok {
		h = newHistogram()
		m.latency[q.route.Name] = h
	}
	// A latency beyond the range is counted only by its status.
	_ = h.RecordValue(took.Microseconds())
}

// Latency summarizes a histogram in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Millis"`
	P90   float64 `json:"p90Millis"`
	P99   float64 `json:"p99Millis"`
	Max   float64 `json:"maxMillis"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond/time.Microsecond) }
	return Latency{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Metrics is a snapshot of the proxy's counters and latencies since its start.
type Metrics struct {
	InFlight int64 `json:"inFlight"`
	// Responses counts responses by status, Own those that the proxy itself produced.
	Responses map[string]int64 `json:"answers"`
	Own       map[string]int64 `json:"ownAnswers"`
	// Sends counts the requests to targets by outcome.
	Sends  map[string]int64          `json:"sends"`
	Routes map[model.RouteID]Latency `json:"routes"`
	// ServiceTimes are the learned service times by which requests are refused that would be late.
	ServiceTimes   map[model.RouteID]ServiceTime `json:"serviceTimes"`
	TargetLatency  Latency                       `json:"targetLatency"`
	Targets        int                           `json:"targets"`
	UsableTargets  int                           `json:"usableTargets"`
	CatalogueFresh bool                          `json:"catalogueFresh"`
	// Held lists the targets that accept no requests, or only some, from this VM, the first maxHeld by name.
	Held []HeldTarget `json:"held"`
	// Quarantine counts what was done about requests that end targets.
	Quarantine QuarantineCounts `json:"quarantine"`
	// CutOff means that this VM has no links to targets, since CutOffMillis; Cuts is how often that
	// came about, and Hop counts the requests that were relayed by other VMs, or for them.
	CutOff       bool      `json:"cutOff"`
	CutOffMillis int64     `json:"cutOffMillis,omitempty"`
	Cuts         int       `json:"cuts"`
	Hop          HopCounts `json:"hop"`
	// Gossip counts the datagrams between the VMs of the failure domain.
	Gossip gossip.Counts `json:"sights"`
}

// maxHeld is the maximum number of targets in Metrics.Held.
const maxHeld = 64

// HeldTarget is a target that accepts no requests, or only some, from this VM: it has announced a
// pause, a limit, or that it leaves.
type HeldTarget struct {
	ID model.TargetID `json:"id"`
	// Why is "leaves", "pauses" or "limits".
	Why string `json:"why"`
	// SinceMillis is how long ago the target announced it.
	SinceMillis int64 `json:"sinceMillis"`
	// ForMillis is the remaining time of a pause, or until this VM may send a request within its part
	// of a limit.
	ForMillis int64 `json:"forMillis,omitempty"`
	// LimitPerSecond is the limit for all VMs together.
	LimitPerSecond float64 `json:"limitPerSecond,omitempty"`
}

// held returns the targets that accept no requests, or only some, from this VM.
func (r *registry) held() []HeldTarget {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.now()
	var out []HeldTarget
	for _, x := range r.byID {
		if h, ok := x.held(now); ok {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b HeldTarget) int { return cmp.Compare(a.ID, b.ID) })
	return out[:min(len(out), maxHeld)]
}

func (t *target) held(now time.Duration) (HeldTarget, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.leavingAt != 0:
		return HeldTarget{ID: t.id, Why: eventLeaves, SinceMillis: (now - t.leavingAt).Milliseconds()}, true
	case now < t.pausedUntil:
		return HeldTarget{
			ID: t.id, Why: eventPauses, SinceMillis: (now - t.pausedAt).Milliseconds(), ForMillis: (t.pausedUntil - now).Milliseconds(),
		}, true
	}
	if t.limit.perSecond > 0 {
		return HeldTarget{
			ID: t.id, Why: eventLimits, SinceMillis: (now - t.limit.at).Milliseconds(),
			ForMillis: t.limit.wait(now).Milliseconds(), LimitPerSecond: t.limit.perSecond,
		}, true
	}
	return HeldTarget{}, false
}

// Metrics returns a snapshot of the proxy's metrics.
func (p *Proxy) Metrics() Metrics {
	known, usable := p.registry.counts()
	held := p.registry.held()
	m := p.metrics
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Metrics{
		InFlight: m.inFlight.Load(), Responses: clone(m.responses), Own: clone(m.localResponses), Sends: clone(m.sends),
		Routes: map[model.RouteID]Latency{}, TargetLatency: latencyOf(m.targetLatency),
		ServiceTimes: p.estimators.snapshot(), Targets: known, UsableTargets: usable, CatalogueFresh: p.o.Cluster.Fresh(), Held: held,
	}
	if s := p.links.State(); s.CutOff {
		out.CutOff, out.CutOffMillis = true, (p.now() - s.Since).Milliseconds()
	}
	out.Cuts, out.Hop = p.links.State().Cuts, p.hops.snapshot()
	p.quarantine.count(func(n *QuarantineCounts) { out.Quarantine = *n })
	if p.gossiper != nil {
		out.Gossip = p.gossiper.Counts()
	}
	for r, h := range m.latency {
		out.Routes[r] = latencyOf(h)
	}
	return out
}

func clone(m map[string]int64) map[string]int64 {
	out := make(map[string]int64, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// logRetry logs a send after which another target is tried.
func (p *Proxy) logRetry(q *request, r result) {
	level.Info(p.o.Log).Log("msg", "sent again", "request", q.id, "target", q.target, "outcome", r.outcome,
		"reason", r.reason, "status", r.status, "sent", q.state.sent, "leftMillis", q.state.remaining.Milliseconds())
}

// logTargetEvent logs what a target announced of itself.
func (p *Proxy) logTargetEvent(j *job, t *target, r result, event string) {
	level.Info(p.o.Log).Log("msg", "target "+event, "target", t.id, "by", "its answer", "request", j.id, "status", r.status,
		"pauseMillis", r.pause.Milliseconds(), "limitPerSecond", r.limit)
}

// loggedDigest returns the digest of a request if it was computed.
func (q *request) loggedDigest() string {
	if !q.hasDigest {
		return ""
	}
	return q.digest.String()
}

// logResponse logs the outcome of a request and what decided it.
func (p *Proxy) logResponse(q *request, a response, took time.Duration) {
	fresh := p.o.Cluster.Fresh()
	level.Info(p.o.Log).Log("msg", "answered", "request", q.id, "route", q.route.Name, "service", q.service,
		"workspace", q.access.workspace.Name, "object", q.object, "digest", q.loggedDigest(), "target", q.target,
		"status", a.status, "own", a.isLocal, "outcome", q.outcome, "reason", q.reason, "via", q.via, "relayedFor", q.relayedFor,
		"sent", q.state.sent, "tries", q.state.tries, "tookMillis", took.Milliseconds(), "waitedMillis", q.queueTime.Milliseconds(),
		"allowedMillis", max(0, q.deadline-q.start).Milliseconds(), "version", uint64(q.version), "fresh", fresh)
}
