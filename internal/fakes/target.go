// Package fakes provides fake targets and a load generator for tests and the demo.
//
// # Usage
//
//	t, err := fakes.NewTarget(fakes.TargetOptions{ID: "t1", Listen: addr, Entries: entries, Slots: 3})
//	t.Drain()
//	t.Close()
//
// A fake target counts its requests and writes one JSON line for each request
// that it runs, so that a test can check which requests ran, when and how often.
package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindSetting Kind = "badSetting"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// Fault is a fault that a fake target injects.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultShed rejects requests before they start.
	FaultShed Fault = "shed"
	// FaultTruncate sends half of the body that Content-Length states, then closes the connection.
	FaultTruncate Fault = "cut"
	// FaultWrongID answers with the id of another request.
	FaultWrongID Fault = "mixUp"
	// FaultSlow multiplies the service time by ten.
	FaultSlow Fault = "slow"
	// FaultDrop runs the request and closes the connection without an answer.
	FaultDrop Fault = "drop"
	// FaultNoAnnounce stops the announcements; the target keeps serving.
	FaultNoAnnounce Fault = "mute"
	// FaultFalseLoad announces that no request is in flight.
	FaultFalseLoad Fault = "lie"
)

// TargetOptions configures a fake target.
type TargetOptions struct {
	ID      model.TargetID
	Service model.ServiceID
	Domain  model.FailureDomainID
	Listen  string
	// Entries are the addresses of the first announcements.
	Entries []string
	Slots   int
	// ServiceTime is the mean service time of a request. Service times are
	// exponentially distributed if Spread is set, else constant.
	ServiceTime time.Duration
	Spread      bool
	// StartTime is the time that the target stays in the starting state.
	StartTime   time.Duration
	AnswerBytes int
	// ColdRuns is the number of requests after the start that take longer, the
	// first of them coldFactor times as long.
	ColdRuns int
	// Journal receives a JSON line for each request that runs.
	Journal io.Writer
	// Advertise is the announced address; the default is the listen address.
	Advertise string
	// Dial overrides the dialer for announcements.
	Dial setup.Dialer
}

// Run is a line of a target's journal: one request that the target runs.
type Run struct {
	At      time.Time       `json:"at"`
	Target  model.TargetID  `json:"target"`
	Domain  string          `json:"failureDomain"`
	Request model.RequestID `json:"request"`
	Home    model.RegionID  `json:"home"`
	Path    string          `json:"path"`
	// SinceDrainMillis is the time since the target began to drain, or -1 if it is not draining.
	SinceDrainMillis int64 `json:"sinceDrainMillis"`
	InFlight         int   `json:"inFlight"`
}

// Target is a fake target.
type Target struct {
	o      TargetOptions
	g      *group.Group
	lis    net.Listener
	http   *http.Server
	body   []byte
	slots  chan struct{}
	client *http.Client

	mu       sync.Mutex
	fault    Fault
	state    wire.TargetState
	drainAt  time.Time
	sequence uint64
	tokens   map[string]string
	entries  []string
	drained  *model.Millis

	incarnation  uint64
	inFlight     atomic.Int64
	maxInFlight  atomic.Int64
	runs         atomic.Int64
	coldRunsLeft atomic.Int64
	journal      sync.Mutex
}

// NewTarget starts a fake target that listens and announces itself.
func NewTarget(o TargetOptions) (*Target, error) {
	lis, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errs.New("fakes.NewTarget", KindSetting, err)
	}
	if o.Advertise == "" {
		o.Advertise = lis.Addr().String()
	}
	t := &Target{
		o: o, lis: lis, body: bytes.Repeat([]byte("x"), o.AnswerBytes), slots: make(chan struct{}, o.Slots),
		client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DialContext: o.Dial}},
		state:  wire.Starting, tokens: map[string]string{}, entries: o.Entries, incarnation: uint64(time.Now().UnixNano()),
	}
	t.ResetColdRuns()
	t.http = setup.HTTPServer(t)
	t.g = group.New(context.Background())
	t.g.Go(func(context.Context) error { return ignoreServerClosed(t.http.Serve(lis)) })
	t.g.Go(t.announceLoop)
	time.AfterFunc(o.StartTime, func() { t.setState(wire.Ready) })
	return t, nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

const (
	announceTimeout    = 400 * time.Millisecond
	announceInterval   = 250 * time.Millisecond
	maxAnnounceEntries = 3
)

// Addr returns the address that the target announces.
func (t *Target) Addr() string { return t.o.Advertise }

// Domain returns the failure domain of the target.
func (t *Target) Domain() model.FailureDomainID { return t.o.Domain }

// SetFault sets the injected fault; FaultNone ends it.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

func (t *Target) setState(s wire.TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == wire.Draining {
		return
	}
	t.state = s
	if s == wire.Draining {
		t.drainAt = time.Now()
	}
}

// Drain announces that the target is draining, waits until it is drained and
// has no request in flight, and returns the drain time that the entries report.
// It returns 0 if the context ends first.
func (t *Target) Drain(ctx context.Context) time.Duration {
	t.setState(wire.Draining)
	for ctx.Err() == nil {
		t.announceAll(ctx)
		t.mu.Lock()
		d := t.drained
		t.mu.Unlock()
		if d != nil && t.inFlight.Load() == 0 {
			return d.Duration()
		}
		time.Sleep(announceInterval / 5)
	}
	return 0
}

// Close stops the target immediately, without draining.
func (t *Target) Close() error {
	err := t.http.Close()
	return errors.Join(err, t.g.Close())
}

// Stats holds the counters of a target.
type Stats struct {
	Runs        int64            `json:"runs"`
	InFlight    int64            `json:"inFlight"`
	MaxInFlight int64            `json:"maxInFlight"`
	State       wire.TargetState `json:"state"`
	Drained     *model.Millis    `json:"drainedMillis,omitempty"`
}

// Stats returns the counters of the target.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Runs: t.runs.Load(), InFlight: t.inFlight.Load(), MaxInFlight: t.maxInFlight.Load(), State: t.state, Drained: t.drained}
}

// ServeHTTP runs requests; paths under /fake/ return the counters, set a fault
// and start a drain.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fake/stats":
		// A write error means that the test has closed the connection.
		_ = json.NewEncoder(w).Encode(t.Stats())
	case "/fake/fault":
		t.SetFault(Fault(r.URL.Query().Get("kind")))
	case "/fake/drain":
		t.setState(wire.Draining)
	default:
		t.run(w, r)
	}
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	f, since := t.fault, int64(-1)
	if !t.drainAt.IsZero() {
		since = time.Since(t.drainAt).Milliseconds()
	}
	t.mu.Unlock()
	if f == FaultShed {
		w.Header().Set(wire.HeaderShed, "1")
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.maxInFlight.Store(max(t.maxInFlight.Load(), n))
	t.runs.Add(1)
	id := r.Header.Get(wire.HeaderRequestID)
	t.write(Run{
		At: time.Now(), Target: t.o.ID, Domain: string(t.o.Domain), Request: model.RequestID(id),
		Home: model.RegionID(r.Header.Get(wire.HeaderRegion)), Path: r.URL.Path, SinceDrainMillis: since, InFlight: int(n),
	})
	t.slots <- struct{}{}
	t.serveFor(r.Context(), f, t.nextColdFactor())
	<-t.slots
	t.answer(w, id, f)
}

func (t *Target) write(r Run) {
	if t.o.Journal == nil {
		return
	}
	b, err := json.Marshal(r)
	if err != nil {
		return
	}
	t.journal.Lock()
	defer t.journal.Unlock()
	// A write error is ignored: the reader of the journal checks its content.
	_, _ = t.o.Journal.Write(append(b, '\n'))
}

// coldFactor is the factor on the service time of a cold target's first request.
const coldFactor = 4

// nextColdFactor returns the factor on the service time of the next request.
// It falls linearly from coldFactor to 1 over ColdRuns requests.
func (t *Target) nextColdFactor() float64 {
	left := t.coldRunsLeft.Add(-1)
	if left < 0 {
		return 1
	}
	return 1 + (coldFactor-1)*float64(left+1)/float64(t.o.ColdRuns)
}

// ResetColdRuns makes the target cold again, as after its start.
func (t *Target) ResetColdRuns() {
	t.coldRunsLeft.Store(int64(t.o.ColdRuns))
}

func (t *Target) serveFor(ctx context.Context, f Fault, factor float64) {
	d := time.Duration(float64(t.o.ServiceTime) * factor)
	if t.o.Spread {
		d = time.Duration(float64(d) * rand.ExpFloat64())
	}
	if f == FaultSlow {
		d *= 10
	}
	w := time.NewTimer(d)
	defer w.Stop()
	select {
	case <-w.C:
	case <-ctx.Done():
	}
}

func (t *Target) answer(w http.ResponseWriter, id string, f Fault) {
	if f == FaultWrongID {
		id += "-other"
	}
	b := fmt.Appendf(nil, "{\"request\":%q,\"target\":%q}", id, t.o.ID)
	b = append(b, t.body...)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", fmt.Sprint(len(b)))
	h.Set(wire.HeaderRequestID, id)
	switch f {
	case FaultDrop:
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		b = b[:len(b)/2]
	}
	// A write error means that the entry has closed the connection.
	_, _ = w.Write(b)
	if f == FaultTruncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
