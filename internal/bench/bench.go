// Package bench measures a deployment at a firm's size of today under a load,
// against a single queue that knows everything.
//
// # Usage
//
//	r, err := bench.Run(ctx, bench.Options{Firm: bench.Kalogeropoulos, Load: 0.8, Length: 10 * time.Second, Dir: dir})
//
// All processes run in one, over a relay with the firm's delays. The load is a
// part of the capacity, which is slots over service time.
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

// secondLoad is the load of a firm's second service, whatever the load of the first.
const secondLoad = 0.5

// Share is a class's part of its service's load.
type Share struct {
	Service  model.ServiceID
	Class    model.ClassID
	Part     float64
	Deadline time.Duration
}

// Firm is a firm's deployment of today.
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

// Options are the settings of a round.
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
	// Algorithm overrides that of all policies.
	Algorithm model.Algorithm
	// Hedge overrides after how long all policies send a request to a second site.
	Hedge time.Duration
	// Fault is what the first target does from a third of the round on.
	Fault fakes.Fault
	// DrainRegion is drained from a third of the round on.
	DrainRegion model.RegionID
	// Hot is how many times as many callers the first region has as any other; 0 means 1.
	Hot int
	// LoseRegion is cut off from all others, callers too, in the middle third.
	LoseRegion model.RegionID
	// SwapTo is the algorithm of all policies from a half on.
	SwapTo model.Algorithm
	// ColdRuns is how many requests a target is cold for after its start, and
	// after its region was lost.
	ColdRuns int
	Log      log.Logger
}

// Result is what a round measured.
type Result struct {
	Firm    string  `json:"firm"`
	Load    float64 `json:"load"`
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Service capacity in requests a second.
	Capacity map[model.ServiceID]float64 `json:"capacityPerSecond"`
	Classes  []Class                     `json:"classes"`
	// Goodput is the answers in time by service, as a part of the capacity.
	Goodput map[model.ServiceID]float64 `json:"goodput"`
	// RegionHeadroom is the least spare part of each region's slots in any second.
	RegionHeadroom map[model.RegionID]float64 `json:"regionHeadroom"`
	// LinkHeadroom is the least spare part of each link in any second.
	LinkHeadroom map[string]float64 `json:"linkHeadroom"`
	MaxInFlight  int64              `json:"maxInFlightPerTarget"`
	// Refusals are the worst of the entries' times from the decision to refuse to the answer.
	Refusals map[model.Delivery]entry.RefusalLatency `json:"refusals"`
	// MaxShifted is the most requests of a service in any second that ran outside their home region.
	MaxShifted map[model.ServiceID]int `json:"mostShiftedPerSecond"`
	// ShiftCap is the cap of each service.
	ShiftCap map[model.ServiceID]int64 `json:"shiftCapPerSecond"`
}

// Class is what happened to a class, beside what the ideal queue would have done.
type Class struct {
	fakes.ClassResult
	// Ideal latencies are those of the single queue, with the callers' way there and back.
	IdealP50 float64 `json:"idealP50Millis"`
	IdealP99 float64 `json:"idealP99Millis"`
}

// Run starts a deployment, sends the load and measures.
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
	return r, r.addShifts(d.Catalogue(), j)
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

// setPolicies sets what the options override.
func (o Options) setPolicies(objects []model.Object) error {
	_, err := editPolicies(objects, func(p *model.Policy) {
		p.HedgeMillis = model.Millis(o.Hedge.Milliseconds())
		if o.Algorithm != "" {
			p.Algorithm = o.Algorithm
		}
	})
	return err
}

// editPolicies changes all policies in place, and returns them.
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
			Service: s.Service, Class: s.Class, PerSecond: s.Part * load * o.capacity(s.Service),
			Deadline: s.Deadline, Resends: o.Resends,
		})
	}
	return out
}

func measure(ctx context.Context, d *demo.Deployment, o Options) (*Result, error) {
	room := demo.NewHeadroom(d)
	g := group.New(ctx)
	g.Every(demo.SampleInterval, func(context.Context) { room.Sample() })
	g.Go(func(ctx context.Context) error { return disturb(ctx, d, o) })
	clients := o.callers(d)
	streams := o.streams()
	from := time.Now()
	list := fakes.Load(ctx, fakes.LoadOptions{Seed: o.Seed, Length: o.Length, Streams: streams, Clients: clients, Prefix: "round"})
	closeAll(clients)
	if err := g.Close(); err != nil {
		return nil, err
	}
	r := &Result{
		Firm: o.Firm.Name, Load: o.Load, Seed: o.Seed, Seconds: time.Since(from).Seconds(),
		Capacity: map[model.ServiceID]float64{}, Goodput: map[model.ServiceID]float64{},
		RegionHeadroom: room.Min(), LinkHeadroom: linkHeadroom(d),
	}
	for i, c := range list {
		s := streams[i]
		r.Capacity[s.Service] = o.capacity(s.Service)
		in := float64(c.Outcomes[wire.Answered]-c.Late) / o.Length.Seconds()
		r.Goodput[s.Service] += in / o.capacity(s.Service)
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

// callers returns the callers that requests come from in turn.
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

// refusalsOf returns the worst times of all entries, with the sum of the counts.
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
	for p, n := range d.Net.MostPerSecond() {
		l, ok := d.Catalogue().Link(model.RegionID(p.From), model.RegionID(p.To))
		if ok {
			out[p.From+" to "+p.To] = 1 - float64(n)/float64(l.BytesPerSecond)
		}
	}
	return out
}
