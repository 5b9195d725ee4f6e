// Package bench runs load experiments on a deployment of a firm's present size,
// and compares it with an ideal single queue in front of all slots.
//
// # Usage
//
//	r, err := bench.Run(ctx, bench.Options{Firm: bench.Kalogeropoulos, Load: 0.8, Length: 10 * time.Second, Dir: dir})
//
// All parts run in one process, over a relay with the firm's delays. The load is
// a fraction of the capacity, which is slots divided by service time.
package bench

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/eelgrassroad/eelgrassroad/examples"
	"github.com/eelgrassroad/eelgrassroad/internal/demo"
	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/pkg/caller"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
)

// secondLoad is the load of a firm's second service, independent of the load of the first.
const secondLoad = 0.5

// Share is the fraction of a service's load that belongs to a class.
type Share struct {
	Service  model.ServiceID
	Class    model.ClassID
	Fraction float64
	Deadline time.Duration
}

// Firm describes a firm's present deployment.
type Firm struct {
	Name    string
	File    []byte
	Entries int
	Slots   int
	Targets map[model.ServiceID]int
	Shares  []Share
}

// Kalogeropoulos has 10 entries, 16 registry targets and 12 archive targets with 3 slots each.
var Kalogeropoulos = Firm{
	Name: "kalogeropoulos", File: examples.Kalogeropoulos, Entries: 10, Slots: 3,
	Targets: map[model.ServiceID]int{"registry": 16, "archive": 12},
	Shares: []Share{
		{"registry", "lookup", 0.9, 2 * time.Second}, {"registry", "issue", 0.1, 10 * time.Second},
		{"archive", "query", secondLoad, 10 * time.Second},
	},
}

// AmabuyeMeza has 10 entries, 20 booking targets and 12 registry targets with 4 slots each.
var AmabuyeMeza = Firm{
	Name: "amabuye-meza", File: examples.AmabuyeMeza, Entries: 10, Slots: 4,
	Targets: map[model.ServiceID]int{"booking": 20, "registry": 12},
	Shares: []Share{
		{"booking", "calendar", 0.9, 3 * time.Second}, {"booking", "reserve", 0.1, 10 * time.Second},
		{"registry", "confirm", secondLoad, 5 * time.Second},
	},
}

// Options configures a round, which is one run of the experiment.
type Options struct {
	Firm   Firm
	Load   float64
	Length time.Duration
	Seed   uint64
	Dir    string
	Net    int
	// ServiceTime is the mean of the targets' exponential service times.
	ServiceTime time.Duration
	AnswerBytes int
	Resends     int
	// Algorithm overrides the algorithm of all policies.
	Algorithm model.Algorithm
	// Hedge overrides the hedging delay of all policies, after which a request is
	// also sent to a second site.
	Hedge time.Duration
	// Fault is injected into the first target after a third of the round.
	Fault fakes.Fault
	// DrainRegion is drained after a third of the round.
	DrainRegion model.RegionID
	// Hot is the number of callers in the first region relative to any other; 0 means 1.
	Hot int
	// LoseRegion is partitioned from all other regions and from callers in the
	// middle third of the round.
	LoseRegion model.RegionID
	// SwapTo is the algorithm of all policies in the second half of the round.
	SwapTo model.Algorithm
	// ColdRuns is the number of requests for which a target is cold after its
	// start, and after its region returns from a loss.
	ColdRuns int
	Log      log.Logger
}

// Result holds the measurements of a round.
type Result struct {
	Firm    string  `json:"firm"`
	Load    float64 `json:"load"`
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Capacity is the capacity of each service in requests per second.
	Capacity map[model.ServiceID]float64 `json:"capacityPerSecond"`
	Classes  []Class                     `json:"classes"`
	// Goodput is the rate of answers within their deadline by service, as a
	// fraction of the capacity.
	Goodput map[model.ServiceID]float64 `json:"goodput"`
	// RegionHeadroom is the minimum fraction of each region's slots that was free,
	// as a mean over one second.
	RegionHeadroom map[model.RegionID]float64 `json:"regionHeadroom"`
	// LinkHeadroom is the minimum free fraction of each link's capacity in any second.
	LinkHeadroom map[string]float64 `json:"linkHeadroom"`
	MaxInFlight  int64              `json:"maxInFlightPerTarget"`
	// Refusals holds the maximum over the entries of the time from the decision
	// to refuse a request to the answer.
	Refusals map[model.Delivery]entry.RefusalLatency `json:"refusals"`
	// MaxShifted is the maximum number of requests of a service in any second
	// that ran outside their home region.
	MaxShifted map[model.ServiceID]int `json:"mostShiftedPerSecond"`
	// ShiftCap is the shift cap of each service.
	ShiftCap map[model.ServiceID]int64 `json:"shiftCapPerSecond"`
}

// Class holds the measurements of a class and the latencies of the ideal queue.
type Class struct {
	fakes.ClassResult
	// Ideal latencies are those of the single queue, plus the round trip between
	// caller and entry.
	IdealP50 float64 `json:"idealP50Millis"`
	IdealP99 float64 `json:"idealP99Millis"`
}

// Run starts a deployment, sends the load and returns the measurements.
func Run(ctx context.Context, o Options) (*Result, error) {
	j := &journal{}
	d, err := start(ctx, o, j)
	if err != nil {
		return nil, err
	}
	r, err := measure(ctx, d, o)
	if e := d.Close(); err == nil {
		err = e
	}
	if err != nil {
		return nil, err
	}
	return r, r.setShifts(d.Catalogue(), j)
}

func start(ctx context.Context, o Options, journal io.Writer) (*demo.Deployment, error) {
	objects, err := model.Parse(o.Firm.File)
	if err != nil {
		return nil, err
	}
	if err := o.setPolicies(objects); err != nil {
		return nil, err
	}
	return demo.New(ctx, demo.Options{
		Objects: objects, Dir: o.Dir, Net: o.Net, Entries: o.Firm.Entries, Targets: o.Firm.Targets, Slots: o.Firm.Slots,
		ServiceTime: o.ServiceTime, AnswerBytes: o.AnswerBytes, ColdRuns: o.ColdRuns, Journal: journal, Log: o.Log,
	})
}

// setPolicies applies the overrides of the options to all policies.
func (o Options) setPolicies(objects []model.Object) error {
	_, err := editPolicies(objects, func(p *model.Policy) {
		p.HedgeMillis = model.Millis(o.Hedge.Milliseconds())
		if o.Algorithm != "" {
			p.Algorithm = o.Algorithm
		}
	})
	return err
}

// editPolicies applies f to all policies in place, and returns their objects.
func editPolicies(objects []model.Object, f func(*model.Policy)) ([]model.Object, error) {
	var out []model.Object
	for i, x := range objects {
		if x.Kind != model.ObjectPolicy {
			continue
		}
		var p model.Policy
		if err := json.Unmarshal(x.Spec, &p); err != nil {
			return nil, err
		}
		f(&p)
		b, err := json.Marshal(p)
		if err != nil {
			return nil, err
		}
		objects[i].Spec = b
		out = append(out, objects[i])
	}
	return out, nil
}

func (o Options) capacity(s model.ServiceID) float64 {
	return float64(o.Firm.Targets[s]*o.Firm.Slots) / o.ServiceTime.Seconds()
}

func (o Options) streams() []fakes.Stream {
	out := make([]fakes.Stream, 0, len(o.Firm.Shares))
	for _, s := range o.Firm.Shares {
		load := o.Load
		if s.Service != o.Firm.Shares[0].Service {
			load = 1
		}
		out = append(out, fakes.Stream{
			Service: s.Service, Class: s.Class, PerSecond: s.Fraction * load * o.capacity(s.Service),
			Deadline: s.Deadline, Resends: o.Resends,
		})
	}
	return out
}

func measure(ctx context.Context, d *demo.Deployment, o Options) (*Result, error) {
	headroom := demo.NewHeadroom(d)
	g := group.New(ctx)
	g.Every(demo.SampleInterval, func(context.Context) { headroom.Sample() })
	g.Go(func(ctx context.Context) error { return disturb(ctx, d, o) })
	clients := o.callers(d)
	streams := o.streams()
	start := time.Now()
	results := fakes.Load(ctx, fakes.LoadOptions{Seed: o.Seed, Length: o.Length, Streams: streams, Clients: clients, Prefix: "round"})
	closeAll(clients)
	if err := g.Close(); err != nil {
		return nil, err
	}
	r := &Result{
		Firm: o.Firm.Name, Load: o.Load, Seed: o.Seed, Seconds: time.Since(start).Seconds(),
		Capacity: map[model.ServiceID]float64{}, Goodput: map[model.ServiceID]float64{},
		RegionHeadroom: headroom.Min(), LinkHeadroom: linkHeadroom(d),
	}
	for i, c := range results {
		s := streams[i]
		r.Capacity[s.Service] = o.capacity(s.Service)
		inTime := float64(c.Outcomes[wire.Answered]-c.Late) / o.Length.Seconds()
		r.Goodput[s.Service] += inTime / o.capacity(s.Service)
		k := Class{ClassResult: c}
		k.IdealP50, k.IdealP99 = o.ideal(s.Service, i)
		r.Classes = append(r.Classes, k)
	}
	r.Refusals = refusalsOf(d)
	for _, t := range d.Targets {
		r.MaxInFlight = max(r.MaxInFlight, t.Stats().MaxInFlight)
	}
	return r, nil
}

// callers returns the callers to which requests are assigned round robin.
func (o Options) callers(d *demo.Deployment) []*caller.Client {
	all := d.Callers()
	first := all[0]
	for range o.Hot - 1 {
		all = append(all, first)
	}
	return all
}

func closeAll(clients []*caller.Client) {
	for _, c := range clients {
		c.Close()
	}
}

// refusalsOf returns the maximum latencies over all entries, with the sum of the counts.
func refusalsOf(d *demo.Deployment) map[model.Delivery]entry.RefusalLatency {
	out := map[model.Delivery]entry.RefusalLatency{}
	for _, x := range d.Entries {
		for k, t := range x.Metrics().Refusals {
			o := out[k]
			out[k] = entry.RefusalLatency{
				Count: o.Count + t.Count, P50Millis: max(o.P50Millis, t.P50Millis), P99Millis: max(o.P99Millis, t.P99Millis),
			}
		}
	}
	return out
}

func linkHeadroom(d *demo.Deployment) map[string]float64 {
	out := map[string]float64{}
	for p, n := range d.Net.MaxBytesPerSecond() {
		l, ok := d.Catalogue().Link(model.RegionID(p.From), model.RegionID(p.To))
		if ok {
			out[p.From+" to "+p.To] = 1 - float64(n)/float64(l.BytesPerSecond)
		}
	}
	return out
}
