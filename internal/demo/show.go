package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/burn"
	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/opctl"
	"github.com/eelgrassroad/eelgrassroad/internal/relay"
	"github.com/eelgrassroad/eelgrassroad/pkg/caller"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// ShowOptions configures a demonstration.
type ShowOptions struct {
	Length  time.Duration
	Streams []fakes.Stream
	// Policy is the name of the policy that is swapped to Algorithm at half of
	// Length; empty means no swap.
	Policy    string
	Algorithm model.Algorithm
	Seed      uint64
	Out       io.Writer
}

// Show sends a load, swaps a policy at half of its length, and prints the results.
func Show(ctx context.Context, d *Deployment, o ShowOptions) error {
	fmt.Fprintf(o.Out, "%d replicas, %d entries, %d targets; load of %s, seed %d\n",
		len(d.Nodes), len(d.Entries), len(d.Targets), o.Length, o.Seed)
	headroom := NewHeadroom(d)
	g := group.New(ctx)
	g.Every(SampleInterval, func(context.Context) { headroom.Sample() })
	g.Go(func(ctx context.Context) error { return swapPolicy(ctx, d, o) })
	clients := d.Callers()
	results := fakes.Load(ctx, fakes.LoadOptions{Seed: o.Seed, Length: o.Length, Streams: o.Streams, Clients: clients, Prefix: "demo"})
	for _, c := range clients {
		c.Close()
	}
	if err := g.Close(); err != nil {
		return err
	}
	w := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
	writeResults(w, results)
	headroom.write(w)
	writeLinks(w, d)
	all := make([][]burn.Series, 0, len(d.Entries))
	for _, x := range d.Entries {
		all = append(all, x.Burn())
	}
	lines := burn.Report(burn.Merge(all...), d.c.Classes)
	fmt.Fprintln(w, "\npolicies side by side")
	opctl.WriteComparison(w, lines)
	fmt.Fprintln(w, "\nservice-level burn")
	opctl.WriteBurn(w, lines)
	return w.Flush()
}

// Min returns the minimum free fraction of each region's slots.
func (h *Headroom) Min() map[model.RegionID]float64 { return h.minimum }

// Catalogue returns the catalogue that the deployment started with.
func (d *Deployment) Catalogue() *model.Catalogue { return d.c }

// Callers returns one caller per region, in the order of the region names.
func (d *Deployment) Callers() []*caller.Client {
	var out []*caller.Client
	for _, r := range slices.Sorted(maps.Keys(d.c.Regions)) {
		out = append(out, caller.New(caller.Options{Entries: d.Addrs, Region: r}))
	}
	return out
}

func swapPolicy(ctx context.Context, d *Deployment, o ShowOptions) error {
	if o.Policy == "" {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(o.Length / 2):
	}
	cat, err := d.Admin.Catalogue(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(cat.Objects, func(x model.Object) bool { return x.Key() == "policy/"+o.Policy })
	if i < 0 {
		return fmt.Errorf("policy %q does not exist", o.Policy)
	}
	x := cat.Objects[i]
	var p model.Policy
	if err := json.Unmarshal(x.Spec, &p); err != nil {
		return err
	}
	old := p.Algorithm
	p.Algorithm = o.Algorithm
	if x.Spec, err = json.Marshal(p); err != nil {
		return err
	}
	start := time.Now()
	r, err := d.Admin.Change(ctx, wire.Change{ChangeID: "demo-swap", BaseVersion: cat.Version, Put: []model.Object{x}})
	if err != nil {
		return err
	}
	accepted := time.Since(start)
	for !d.inForce(r.Version) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintf(o.Out, "policy %s swapped from %s to %s: accepted in %d ms, in force on every entry in %d ms\n",
		o.Policy, old, o.Algorithm, accepted.Milliseconds(), time.Since(start).Milliseconds())
	return nil
}

func (d *Deployment) inForce(v model.Version) bool {
	for _, x := range d.Entries {
		if x.Status().Version < v {
			return false
		}
	}
	return true
}

func writeResults(w io.Writer, results []fakes.ClassResult) {
	fmt.Fprintln(w, "\nCLASS\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tP50 MS\tP99 MS\tP99.9 MS\tREFUSED P99 MS")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", r.Class, r.Sent, r.Outcomes[wire.Answered],
			r.Outcomes[wire.NotRun], r.Outcomes[wire.Unknown], r.P50, r.P99, r.P999, r.RefusedP99)
	}
}

// SampleInterval is the interval between two samples of the free slots.
const SampleInterval = time.Second / samplesPerSecond

const samplesPerSecond = 20

// Headroom records the minimum fraction of free slots of each region, as a mean
// over one second.
type Headroom struct {
	d       *Deployment
	recent  map[model.RegionID][]float64
	minimum map[model.RegionID]float64
}

// NewHeadroom returns a Headroom without samples.
func NewHeadroom(d *Deployment) *Headroom {
	return &Headroom{d: d, recent: map[model.RegionID][]float64{}, minimum: map[model.RegionID]float64{}}
}

// Sample adds a sample of the present free slots.
func (h *Headroom) Sample() {
	used, all := map[model.RegionID]int{}, map[model.RegionID]int{}
	for _, t := range h.d.Targets {
		r := h.d.regionOf(t)
		all[r] += h.d.o.Slots
		used[r] += int(t.Stats().InFlight)
	}
	for r, n := range all {
		h.add(r, 1-float64(used[r])/float64(n))
	}
}

func (h *Headroom) add(r model.RegionID, free float64) {
	h.recent[r] = append(h.recent[r], free)
	if extra := len(h.recent[r]) - samplesPerSecond; extra > 0 {
		h.recent[r] = h.recent[r][extra:]
	}
	if len(h.recent[r]) < samplesPerSecond {
		return
	}
	sum := 0.0
	for _, x := range h.recent[r] {
		sum += x
	}
	mean := sum / samplesPerSecond
	if old, ok := h.minimum[r]; !ok || mean < old {
		h.minimum[r] = mean
	}
}

func (d *Deployment) regionOf(t *fakes.Target) model.RegionID {
	return d.c.RegionOf(t.Domain())
}

func (h *Headroom) write(w io.Writer) {
	fmt.Fprintln(w, "\nREGION\tLEAST SPARE SLOTS IN ANY SECOND")
	for _, r := range slices.Sorted(maps.Keys(h.minimum)) {
		fmt.Fprintf(w, "%s\t%.0f%%\n", r, 100*h.minimum[r])
	}
}

func writeLinks(w io.Writer, d *Deployment) {
	fmt.Fprintln(w, "\nLINK\tMOST BYTES IN A SECOND\tCAPACITY\tLEAST HEADROOM")
	maxBytes := d.Net.MaxBytesPerSecond()
	for _, l := range d.c.Links {
		for _, p := range [][2]model.RegionID{l.Regions, {l.Regions[1], l.Regions[0]}} {
			n := maxBytes[relay.Pair{From: string(p[0]), To: string(p[1])}]
			fmt.Fprintf(w, "%s to %s\t%d\t%d\t%.2f%%\n", p[0], p[1], n, l.BytesPerSecond, 100*(1-float64(n)/float64(l.BytesPerSecond)))
		}
	}
}
