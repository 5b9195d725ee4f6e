package opctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/burn"
	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/pkg/admin"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// deployment is the output of the status command.
type deployment struct {
	Version model.Version        `json:"version"`
	Replica node.Status          `json:"replica"`
	VMs     []vmStatus           `json:"vms"`
	Targets []lease.TargetStatus `json:"targets"`
	Claims  int                  `json:"claims"`
	Regions []regionStatus       `json:"regions"`
	// Workspaces lists the workspaces with recent usage.
	Workspaces []wire.WorkspaceUse `json:"workspaces,omitempty"`
	// Invalid lists the objects that are left out of the catalogue.
	Invalid []wire.InvalidObject `json:"invalid,omitempty"`
}

// regionStatus summarizes the targets of a region.
type regionStatus struct {
	Region  model.RegionID `json:"region"`
	Targets int            `json:"targets"`
	Ready   int            `json:"ready"`
	Slots   int            `json:"slots"`
	Drained bool           `json:"drained"`
}

type vmStatus struct {
	wire.VM
	// Status is nil if the VM does not answer.
	Status *entry.Status `json:"status,omitempty"`
}

type statusCmd struct{ a *app }

// Execute shows the status of the deployment.
func (c *statusCmd) Execute([]string) error {
	return c.a.call(func(ctx context.Context, cl *admin.Client) error {
		d, err := fetchDeployment(ctx, cl)
		if err != nil {
			return err
		}
		return c.a.print(d, d.text)
	})
}

func fetchDeployment(ctx context.Context, cl *admin.Client) (*deployment, error) {
	s, err := cl.Status(ctx)
	if err != nil {
		return nil, err
	}
	d := &deployment{Version: s.Version, Claims: s.Claims, Workspaces: s.Workspaces, Invalid: s.Invalid}
	if err := json.Unmarshal(s.Replica, &d.Replica); err != nil {
		return nil, err
	}
	if len(s.Targets) > 0 {
		if err := json.Unmarshal(s.Targets, &d.Targets); err != nil {
			return nil, err
		}
	}
	c, err := fetchCatalogue(ctx, cl)
	if err != nil {
		return nil, err
	}
	d.Targets = append(d.Targets, announcedTargets(c)...)
	d.Regions = sumRegions(c, d.Targets)
	for _, v := range s.VMs {
		x := vmStatus{VM: v}
		if b, err := cl.VM(ctx, v.Addr); err == nil {
			x.Status = &entry.Status{}
			if err := json.Unmarshal(b, x.Status); err != nil {
				return nil, err
			}
		}
		d.VMs = append(d.VMs, x)
	}
	return d, nil
}

// fetchCatalogue reads the catalogue.
func fetchCatalogue(ctx context.Context, cl *admin.Client) (*model.Catalogue, error) {
	cat, err := cl.Catalogue(ctx)
	if err != nil {
		return nil, err
	}
	return model.Build(cat.Version, cat.Objects), nil
}

// announcedTargets returns the targets that announced themselves to the replicas. Targets that
// announce to entries are known from the leases instead.
func announcedTargets(c *model.Catalogue) []lease.TargetStatus {
	var out []lease.TargetStatus
	for id, t := range c.Targets.All() {
		if t.State == model.TargetGone {
			continue
		}
		drained := c.Drained(t.FailureDomain, id)
		out = append(out, lease.TargetStatus{
			ID: id, Service: t.Service, FailureDomain: t.FailureDomain, Addr: t.Addr, Slots: uint32(t.Slots),
			Ready: t.State == model.TargetReady && !drained, Draining: t.State == model.TargetDraining || drained,
		})
	}
	slices.SortFunc(out, func(a, b lease.TargetStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// sumRegions counts the targets, the ready targets and the slots of each region.
func sumRegions(c *model.Catalogue, targets []lease.TargetStatus) []regionStatus {
	var out []regionStatus
	for _, name := range slices.Sorted(maps.Keys(c.Regions)) {
		r := regionStatus{Region: name}
		for _, x := range c.Drains {
			r.Drained = r.Drained || x.Region == name
		}
		for _, t := range targets {
			if c.RegionOf(t.FailureDomain) != name {
				continue
			}
			r.Targets++
			if t.Ready {
				r.Ready++
				r.Slots += int(t.Slots)
			}
		}
		out = append(out, r)
	}
	return out
}

func (d *deployment) text(w io.Writer) {
	fmt.Fprintf(w, "catalogue version %d, %d claims\n\n", d.Version, d.Claims)
	if r := d.Replica; r.Voters > 0 {
		fmt.Fprintf(w, "%d of %d voters answer; %d of them may be lost before no change can be committed\n\n", r.Responsive, r.Voters, r.MaxLosses)
	}
	fmt.Fprintln(w, "REPLICA\tADDRESS\tREGION\tVOTER\tMATCH\tSILENT MS")
	for _, m := range d.Replica.Members {
		role := ""
		if m.ID == d.Replica.Leader {
			role = " (leader)"
		}
		fmt.Fprintf(w, "%d%s\t%s\t%s\t%t\t%d\t%d\n", m.ID, role, m.Addr, m.Region, m.Voter, m.Match, m.SilentMillis)
	}
	fmt.Fprintln(w, "\nREGION\tTARGETS\tREADY\tSLOTS\tDRAINED")
	for _, r := range d.Regions {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%t\n", r.Region, r.Targets, r.Ready, r.Slots, r.Drained)
	}
	fmt.Fprintln(w, "\nVM\tADDRESS\tFAILURE DOMAIN\tVERSION IN FORCE\tLEASE MS\tPROVED MS AGO\tIN FLIGHT\tLEAVING")
	for _, v := range d.VMs {
		if v.Status == nil {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%t\n", v.ID, v.Addr, v.FailureDomain, "?", "?", "?", "?", v.Leaving)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%t\n", v.ID, v.Addr, v.FailureDomain, v.Status.Version, v.Status.LeaseMillis, v.Status.ConfirmationAgeMillis, v.Status.InFlight, v.Leaving)
	}
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tFAILURE DOMAIN\tSLOTS\tOWNER\tREADY\tDRAINING")
	for _, t := range d.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%t\t%t\n", t.ID, t.Service, t.FailureDomain, t.Slots, t.Owner, t.Ready, t.Draining)
	}
	if len(d.Workspaces) > 0 {
		fmt.Fprintln(w, "\nWORKSPACE\tUSED IN A WINDOW\tMAY RUN\tCREDITED\tVMS")
		for _, x := range d.Workspaces {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", x.Workspace, x.Used, x.Most, x.Credited, x.VMs)
		}
	}
	if len(d.Invalid) > 0 {
		fmt.Fprintln(w, "\nINVALID OBJECT\tSINCE VERSION\tLEFT OUT BECAUSE")
		for _, x := range d.Invalid {
			fmt.Fprintf(w, "%s\t%d\t%s\n", x.Object, x.Version, x.Error)
		}
	}
	d.sharesText(w)
}

func (d *deployment) sharesText(w io.Writer) {
	fmt.Fprintln(w, "\nVM\tLINK OR CAP\tSHARE PER SECOND\tUSE")
	for _, v := range d.VMs {
		if v.Status == nil {
			continue
		}
		for _, s := range v.Status.Shares {
			fmt.Fprintf(w, "%s\t%s\t%d\t%.0f%%\n", v.ID, s.Resource, s.Share, 100*s.Utilization)
		}
	}
}

// fetchBurn merges the service-level counters of all VMs into report lines.
func fetchBurn(ctx context.Context, cl *admin.Client) ([]burn.Line, error) {
	s, err := cl.Status(ctx)
	if err != nil {
		return nil, err
	}
	c, err := fetchCatalogue(ctx, cl)
	if err != nil {
		return nil, err
	}
	var all [][]burn.Series
	for _, v := range s.VMs {
		b, err := cl.Burn(ctx, v.Addr)
		if err != nil {
			return nil, fmt.Errorf("VM %s: %w", v.ID, err)
		}
		all = append(all, b)
	}
	return burn.Report(burn.Merge(all...), c.Classes), nil
}

type burnCmd struct{ a *app }

// Execute reports the burn rate of the service-level error budgets.
func (c *burnCmd) Execute([]string) error {
	return c.a.call(func(ctx context.Context, cl *admin.Client) error {
		l, err := fetchBurn(ctx, cl)
		if err != nil {
			return err
		}
		return c.a.print(l, func(w io.Writer) { WriteBurn(w, l) })
	})
}

// WriteBurn writes the burn report as a table.
func WriteBurn(w io.Writer, list []burn.Line) {
	fmt.Fprintln(w, "SERVICE\tCLASS\tPOLICY\tREQUESTS\tGOOD\tOBJECTIVE\tBUDGET LEFT\tBURN 5M\t1H\t30M\t6H\tALERT")
	for _, l := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f%%\t%.3f%%\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.2f\t%s\n",
			l.Service, l.Class, l.Policy, l.Counts.All, 100*float64(l.Counts.Good)/float64(max(1, l.Counts.All)),
			100*l.Objective, 100*l.BudgetLeft, l.FiveMinutes, l.OneHour, l.ThirtyMinutes, l.SixHours, l.Alert)
	}
}

type compareCmd struct{ a *app }

// Execute compares the steering policies on live traffic.
func (c *compareCmd) Execute([]string) error {
	return c.a.call(func(ctx context.Context, cl *admin.Client) error {
		l, err := fetchBurn(ctx, cl)
		if err != nil {
			return err
		}
		return c.a.print(l, func(w io.Writer) { WriteComparison(w, l) })
	})
}

// WriteComparison writes a table of each policy's latency, headroom, refusals and burn rate.
func WriteComparison(w io.Writer, list []burn.Line) {
	fmt.Fprintln(w, "SERVICE\tCLASS\tPOLICY\tREQUESTS\tANSWERED\tNOT RUN\tUNKNOWN\tSHIFTED\tP50 MS\tP99 MS\tP99.9 MS\tMEAN MS\tREFUSED (95% INTERVAL)\tHEADROOM\tBURN 5M")
	for _, l := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f±%.1f\t%.2f%% (%.2f-%.2f)\t%.0f%%\t%.2f\n",
			l.Service, l.Class, l.Policy, l.Counts.All, l.Counts.Answered, l.Counts.NotRun, l.Counts.Unknown, l.Counts.Shifted,
			l.P50, l.P99, l.P999, l.Mean, l.MeanError, 100*l.Refused, 100*l.RefusedInterval[0], 100*l.RefusedInterval[1], 100*l.Headroom, l.FiveMinutes)
	}
}
