// Package fakes plays targets and callers, for tests and the demo.
//
// # Usage
//
//	t, err := fakes.NewTarget(fakes.TargetOptions{ID: "t1", Listen: addr, Entries: entries, Slots: 3})
//	t.Drain()
//	t.Close()
//
// A fake target counts what it is given and writes one JSON line for each
// request that it runs, so that a test can see what ran when, and how often.
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

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindSetting Kind = "badSetting"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// Fault is a way in which a fake target misbehaves.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultShed refuses requests before they start.
	FaultShed Fault = "shed"
	// FaultTruncate answers with less than the length it promised.
	FaultTruncate Fault = "cut"
	// FaultWrongID answers with another request's id.
	FaultWrongID Fault = "mixUp"
	// FaultSlow takes ten times as long.
	FaultSlow Fault = "slow"
	// FaultDrop runs the request and closes the connection without an answer.
	FaultDrop Fault = "drop"
	// FaultNoAnnounce stops announcing, and keeps serving.
	FaultNoAnnounce Fault = "mute"
	// FaultFalseLoad announces that nothing is in progress.
	FaultFalseLoad Fault = "lie"
)

// TargetOptions are the settings of a fake target.
type TargetOptions struct {
	ID      model.TargetID
	Service model.ServiceID
	Domain  model.FailureDomainID
	Listen  string
	// Entries are addresses to announce to at first.
	Entries []string
	Slots   int
	// ServiceTime is the mean time that a request takes; times are exponential if Spread is set.
	ServiceTime time.Duration
	Spread      bool
	// StartTime is how long the target is starting.
	StartTime   time.Duration
	AnswerBytes int
	// ColdRuns is how many requests take longer after the start, the first of
	// them coldFactor times as long.
	ColdRuns int
	// Journal gets a line for each request that runs.
	Journal io.Writer
	// Advertise is the address to announce; empty means the one that is listened on.
	Advertise string
	// Dial overrides how connections for announcements are made.
	Dial setup.Dialer
}

// Run is a line of the journal.
type Run struct {
	At      time.Time       `json:"at"`
	Target  model.TargetID  `json:"target"`
	Domain  string          `json:"failureDomain"`
	Request model.RequestID `json:"request"`
	Home    model.RegionID  `json:"home"`
	Path    string          `json:"path"`
	// SinceDrainMillis is how long the target had been draining, or -1.
	SinceDrainMillis int64 `json:"sinceDrainMillis"`
	InFlight         int   `json:"inFlight"`
}

// Target is one fake target.
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
	to       []string
	drained  *model.Millis

	incarnation uint64
	inFlight    atomic.Int64
	most        atomic.Int64
	runs        atomic.Int64
	cold        atomic.Int64
	journal     sync.Mutex
}

// NewTarget starts a fake target.
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
		state:  wire.Starting, tokens: map[string]string{}, to: o.Entries, incarnation: uint64(time.Now().UnixNano()),
	}
	t.ResetColdRuns()
	t.http = setup.HTTPServer(t)
	t.g = group.New(context.Background())
	t.g.Go(func(context.Context) error { return ignoreClosed(t.http.Serve(lis)) })
	t.g.Go(t.announceLoop)
	time.AfterFunc(o.StartTime, func() { t.become(wire.Ready) })
	return t, nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

const (
	announceTimeout = 400 * time.Millisecond
	announceEvery   = 250 * time.Millisecond
	maxAnnounceTo   = 3
)

// Addr returns the address that the target announces.
func (t *Target) Addr() string { return t.o.Advertise }

// Domain returns the failure domain of the target.
func (t *Target) Domain() model.FailureDomainID { return t.o.Domain }

// SetFault makes the target misbehave.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

func (t *Target) become(s wire.TargetState) {
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

// Drain announces that the target leaves, and returns how long the system took
// to take its work away. It returns 0 if the context ends first.
func (t *Target) Drain(ctx context.Context) time.Duration {
	t.become(wire.Draining)
	for ctx.Err() == nil {
		t.announceAll(ctx)
		t.mu.Lock()
		d := t.drained
		t.mu.Unlock()
		if d != nil && t.inFlight.Load() == 0 {
			return d.Duration()
		}
		time.Sleep(announceEvery / 5)
	}
	return 0
}

// Close stops the target at once.
func (t *Target) Close() error {
	err := t.http.Close()
	return errors.Join(err, t.g.Close())
}

// Stats is what a target has counted.
type Stats struct {
	Runs        int64            `json:"runs"`
	InFlight    int64            `json:"inFlight"`
	MaxInFlight int64            `json:"maxInFlight"`
	State       wire.TargetState `json:"state"`
	Drained     *model.Millis    `json:"drainedMillis,omitempty"`
}

// Stats returns what the target has counted.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Runs: t.runs.Load(), InFlight: t.inFlight.Load(), MaxInFlight: t.most.Load(), State: t.state, Drained: t.drained}
}

// ServeHTTP runs requests, and under /fake/ tells and sets how the target is.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fake/stats":
		// A test that is gone is not told.
		_ = json.NewEncoder(w).Encode(t.Stats())
	case "/fake/fault":
		t.SetFault(Fault(r.URL.Query().Get("kind")))
	case "/fake/drain":
		t.become(wire.Draining)
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
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.most.Store(max(t.most.Load(), n))
	t.runs.Add(1)
	id := r.Header.Get(wire.HeaderRequestID)
	t.write(Run{
		At: time.Now(), Target: t.o.ID, Domain: string(t.o.Domain), Request: model.RequestID(id),
		Home: model.RegionID(r.Header.Get(wire.HeaderRegion)), Path: r.URL.Path, SinceDrainMillis: since, InFlight: int(n),
	})
	t.slots <- struct{}{}
	t.work(r.Context(), f, t.coldness())
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
	// The journal is checked by its reader.
	_, _ = t.o.Journal.Write(append(b, '\n'))
}

// coldFactor is how many times as long the first request of a cold target takes.
const coldFactor = 4

// coldness returns by how much the next request takes longer, which falls to 1.
func (t *Target) coldness() float64 {
	left := t.cold.Add(-1)
	if left < 0 {
		return 1
	}
	return 1 + (coldFactor-1)*float64(left+1)/float64(t.o.ColdRuns)
}

// ResetColdRuns makes the target as cold as after a start.
func (t *Target) ResetColdRuns() {
	t.cold.Store(int64(t.o.ColdRuns))
}

func (t *Target) work(ctx context.Context, f Fault, coldness float64) {
	d := time.Duration(float64(t.o.ServiceTime) * coldness)
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
	// An entry that is gone is not told.
	_, _ = w.Write(b)
	if f == FaultTruncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
