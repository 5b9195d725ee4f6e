package opctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/admin"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

type getCmd struct {
	a    *app
	Kind string `long:"kind" description:"print only objects of this kind"`
}

// Execute prints the catalogue.
func (c *getCmd) Execute([]string) error {
	return c.a.call(func(ctx context.Context, cl *admin.Client) error {
		cat, err := cl.Catalogue(ctx)
		if err != nil {
			return err
		}
		if c.Kind != "" {
			cat.Objects = slices.DeleteFunc(cat.Objects, func(o model.Object) bool { return string(o.Kind) != c.Kind })
		}
		return c.a.print(cat, func(w io.Writer) {
			fmt.Fprintf(w, "version %d\n", cat.Version)
			fmt.Fprintln(w, "OBJECT\tOWNER\tVERSION\tSPEC")
			for _, o := range cat.Objects {
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", o.Key(), o.Owner, o.Version, o.Spec)
			}
		})
	})
}

// fileCmd is a command that reads a catalogue file.
type fileCmd struct {
	a    *app
	File string `short:"f" long:"file" required:"true" description:"catalogue file in YAML or JSON; - for standard input"`
}

func (c *fileCmd) read() ([]model.Object, error) {
	b, err := io.ReadAll(c.a.in)
	if c.File != "-" {
		b, err = os.ReadFile(c.File)
	}
	if err != nil {
		return nil, errs.New("eelctl", KindUsage, err)
	}
	o, err := model.Parse(b)
	if err != nil {
		return nil, err
	}
	if len(o) == 0 {
		return nil, errs.Newf("eelctl", KindUsage, "file %q has no objects", c.File)
	}
	return o, nil
}

type validateCmd struct{ fileCmd }

// Execute validates a file as a complete catalogue, without a server.
func (c *validateCmd) Execute([]string) error {
	o, err := c.read()
	if err != nil {
		return err
	}
	if _, err := model.NewCatalogue(0, o); err != nil {
		return err
	}
	return c.a.print(map[string]int{"objects": len(o)}, func(w io.Writer) { fmt.Fprintf(w, "%d objects are valid\n", len(o)) })
}

type applyCmd struct {
	fileCmd
	ChangeID    string         `long:"change-id" description:"id of the change; give the same to send it again"`
	BaseVersion *model.Version `long:"base-version" description:"version the change is based on; default: the present one"`
	Prune       bool           `long:"prune" description:"remove the owner's objects that the file lacks"`
}

// Execute adds or replaces the objects of a file in the catalogue.
func (c *applyCmd) Execute([]string) error {
	o, err := c.read()
	if err != nil {
		return err
	}
	return c.a.change(c.ChangeID, c.BaseVersion, func(cat wire.Catalogue) (wire.Change, error) {
		q := wire.Change{Put: o}
		if c.Prune {
			q.Remove = missing(cat.Objects, o)
		}
		return q, nil
	})
}

// missing returns the keys of the current objects that the file lacks, limited to the owners
// that the file names.
func missing(current, file []model.Object) []string {
	var out []string
	for _, h := range current {
		sameKey := func(o model.Object) bool { return o.Key() == h.Key() }
		sameOwner := func(o model.Object) bool { return o.Owner == h.Owner }
		if slices.ContainsFunc(file, sameOwner) && !slices.ContainsFunc(file, sameKey) {
			out = append(out, h.Key())
		}
	}
	return out
}

// change builds a change from the current catalogue with f, commits it and prints the result.
// An empty id is replaced by a random one, and base overrides the version that was read.
func (a *app) change(id string, base *model.Version, f func(wire.Catalogue) (wire.Change, error)) error {
	return a.call(func(ctx context.Context, cl *admin.Client) error {
		cat, err := cl.Catalogue(ctx)
		if err != nil {
			return err
		}
		q, err := f(cat)
		if err != nil {
			return err
		}
		q.ChangeID, q.BaseVersion = id, cat.Version
		if id == "" {
			q.ChangeID = fmt.Sprintf("c%016x", rand.Uint64())
		}
		if base != nil {
			q.BaseVersion = *base
		}
		r, err := cl.Change(ctx, q)
		if errs.Is(err, admin.KindUnknown) {
			// The retry is safe: the first result of a change id, accepted or rejected, is repeated.
			r, err = cl.Change(ctx, q)
		}
		if err != nil {
			return fmt.Errorf("change %s: %w", q.ChangeID, err)
		}
		return a.print(r, func(w io.Writer) { fmt.Fprintf(w, "change %s accepted as version %d\n", r.ChangeID, r.Version) })
	})
}

type diffCmd struct{ fileCmd }

// Difference describes how apply would change an object.
type Difference struct {
	Key    string          `json:"key"`
	Change string          `json:"change"`
	Old    json.RawMessage `json:"old,omitempty"`
	New    json.RawMessage `json:"new,omitempty"`
}

// Execute shows what apply would change.
func (c *diffCmd) Execute([]string) error {
	o, err := c.read()
	if err != nil {
		return err
	}
	return c.a.call(func(ctx context.Context, cl *admin.Client) error {
		cat, err := cl.Catalogue(ctx)
		if err != nil {
			return err
		}
		d := diff(cat.Objects, o)
		return c.a.print(d, func(w io.Writer) {
			for _, x := range d {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", x.Change, x.Key, x.Old, x.New)
			}
			fmt.Fprintf(w, "%d differences from version %d\n", len(d), cat.Version)
		})
	})
}

func diff(current, file []model.Object) []Difference {
	d := []Difference{}
	for _, o := range file {
		i := slices.IndexFunc(current, func(h model.Object) bool { return h.Key() == o.Key() })
		if i < 0 {
			d = append(d, Difference{Key: o.Key(), Change: "add", New: o.Spec})
			continue
		}
		if current[i].Owner != o.Owner || !sameJSON(current[i].Spec, o.Spec) {
			d = append(d, Difference{Key: o.Key(), Change: "change", Old: current[i].Spec, New: o.Spec})
		}
	}
	return d
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return string(a) == string(b)
	}
	return reflect.DeepEqual(x, y)
}

// drainScope selects what a drain takes out of service; exactly one field must be set.
type drainScope struct {
	Region        string `long:"region" description:"region"`
	FailureDomain string `long:"failure-domain" description:"failure domain"`
	Target        string `long:"target" description:"target"`
}

func (s drainScope) object(owner string) (model.Object, error) {
	d := model.Drain{Region: model.RegionID(s.Region), FailureDomain: model.FailureDomainID(s.FailureDomain), Target: model.TargetID(s.Target)}
	name := ""
	for k, v := range map[string]string{"region": s.Region, "failureDomain": s.FailureDomain, "target": s.Target} {
		if v == "" {
			continue
		}
		if name != "" {
			return model.Object{}, errs.Newf("eelctl", KindUsage, "give one of --region, --failure-domain and --target")
		}
		name = k + "." + v
	}
	if name == "" {
		return model.Object{}, errs.Newf("eelctl", KindUsage, "--region, --failure-domain or --target is required")
	}
	b, err := json.Marshal(d)
	return model.Object{Kind: model.ObjectDrain, Name: name, Owner: model.OwnerID(owner), Spec: b}, err
}

type drainCmd struct {
	a *app
	drainScope
	Owner string `long:"owner" required:"true" description:"owner of the drain"`
}

// Execute drains a region, failure domain or target.
func (c *drainCmd) Execute([]string) error {
	o, err := c.object(c.Owner)
	if err != nil {
		return err
	}
	return c.a.change("", nil, func(wire.Catalogue) (wire.Change, error) { return wire.Change{Put: []model.Object{o}}, nil })
}

type undrainCmd struct {
	a *app
	drainScope
}

// Execute removes the drain of a region, failure domain or target.
func (c *undrainCmd) Execute([]string) error {
	o, err := c.object("")
	if err != nil {
		return err
	}
	return c.a.change("", nil, func(wire.Catalogue) (wire.Change, error) { return wire.Change{Remove: []string{o.Key()}}, nil })
}

type swapCmd struct {
	a         *app
	Policy    string `long:"policy" required:"true" description:"policy to change"`
	Algorithm string `long:"algorithm" choice:"nearest" choice:"roundRobin" choice:"leastLoaded" choice:"headroom" description:"its new algorithm"`
	Weight    *int   `long:"weight" description:"its new weight; 0 retires it"`
}

// Execute changes the algorithm or the weight of a policy.
func (c *swapCmd) Execute([]string) error {
	if c.Algorithm == "" && c.Weight == nil {
		return errs.Newf("eelctl", KindUsage, "--algorithm or --weight is required")
	}
	return c.a.change("", nil, func(cat wire.Catalogue) (wire.Change, error) {
		key := string(model.ObjectPolicy) + "/" + c.Policy
		i := slices.IndexFunc(cat.Objects, func(o model.Object) bool { return o.Key() == key })
		if i < 0 {
			return wire.Change{}, errs.Newf("eelctl", KindUsage, "policy %q does not exist", c.Policy)
		}
		o := cat.Objects[i]
		var p model.Policy
		if err := json.Unmarshal(o.Spec, &p); err != nil {
			return wire.Change{}, err
		}
		if c.Algorithm != "" {
			p.Algorithm = model.Algorithm(c.Algorithm)
		}
		if c.Weight != nil {
			p.Weight = *c.Weight
		}
		b, err := json.Marshal(p)
		o.Spec, o.Version = b, 0
		return wire.Change{Put: []model.Object{o}}, err
	})
}

type replicaCmd struct {
	a      *app
	action string
	ID     uint64 `long:"id" required:"true" description:"number of the replica"`
	Addr   string `long:"replica-addr" description:"address of a replica to add, IP:PORT"`
}

// Execute adds, removes or replaces a replica.
func (c *replicaCmd) Execute([]string) error {
	return c.a.call(func(ctx context.Context, cl *admin.Client) error {
		q := wire.ReplicaChange{Action: c.action, ID: c.ID, Addr: c.Addr}
		if err := cl.Replica(ctx, q); err != nil {
			return err
		}
		return c.a.print(q, func(w io.Writer) { fmt.Fprintf(w, "replica %d: %s done\n", c.ID, c.action) })
	})
}
