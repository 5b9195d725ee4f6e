package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/demo"
	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// step is a scheduled event of a round.
type step struct {
	at time.Duration
	do func(context.Context, *demo.Deployment) error
}

// steps returns the events of the round in the order of their times.
func (o Options) steps() []step {
	third := o.Length / 3
	var out []step
	if o.Fault != fakes.FaultNone {
		out = append(out, step{third, o.injectFault})
	}
	if o.DrainRegion != "" {
		out = append(out, step{third, o.drainRegion})
	}
	if o.LoseRegion != "" {
		out = append(out, step{third, o.loseRegion}, step{2 * third, o.restoreRegion})
	}
	if o.SwapTo != "" {
		out = append(out, step{o.Length / 2, o.swapAlgorithm})
	}
	return out
}

// disturb runs the events of the round at their times.
func disturb(ctx context.Context, d *demo.Deployment, o Options) error {
	start := time.Now()
	for _, s := range o.steps() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start.Add(s.at))):
		}
		if err := s.do(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

func (o Options) injectFault(_ context.Context, d *demo.Deployment) error {
	d.Targets[0].SetFault(o.Fault)
	return nil
}

func (o Options) drainRegion(ctx context.Context, d *demo.Deployment) error {
	return submitChange(ctx, d, func([]model.Object) ([]model.Object, error) {
		return []model.Object{{
			Kind: model.ObjectDrain, Name: "round", Owner: "admin", Spec: fmt.Appendf(nil, "{\"region\":%q}", o.DrainRegion),
		}}, nil
	})
}

func (o Options) swapAlgorithm(ctx context.Context, d *demo.Deployment) error {
	return submitChange(ctx, d, func(all []model.Object) ([]model.Object, error) {
		return editPolicies(all, func(p *model.Policy) { p.Algorithm = o.SwapTo })
	})
}

func (o Options) loseRegion(_ context.Context, d *demo.Deployment) error {
	d.Net.Isolate(d.HostsOf(o.LoseRegion))
	return nil
}

func (o Options) restoreRegion(_ context.Context, d *demo.Deployment) error {
	for _, t := range d.Targets {
		if d.Catalogue().RegionOf(t.Domain()) == o.LoseRegion {
			t.ResetColdRuns()
		}
	}
	d.Net.Rejoin(d.HostsOf(o.LoseRegion))
	return nil
}

func submitChange(ctx context.Context, d *demo.Deployment, edit func([]model.Object) ([]model.Object, error)) error {
	cat, err := d.Admin.Catalogue(ctx)
	if err != nil {
		return err
	}
	objects, err := edit(cat.Objects)
	if err != nil {
		return err
	}
	_, err = d.Admin.Change(ctx, wire.Change{ChangeID: "round", BaseVersion: cat.Version, Put: objects})
	return err
}
