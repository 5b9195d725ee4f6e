package opctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/admin"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

type bansCmd struct{ a *app }

// Ban is a request that ended the targets which ran it.
type Ban struct {
	Digest string `json:"digest"`
	model.Quarantine
}

// Execute lists the requests that are suspected or banned.
func (c *bansCmd) Execute([]string) error {
	return c.a.call(func(ctx context.Context, cl *admin.Client) error {
		cat, err := cl.Catalogue(ctx)
		if err != nil {
			return err
		}
		list, err := bansOf(cat.Objects)
		if err != nil {
			return err
		}
		return c.a.print(list, func(w io.Writer) {
			fmt.Fprintln(w, "DIGEST\tSTATE\tROUTE\tSERVICE\tSINCE\tENDED\tREPORTED BY")
			for _, b := range list {
				targets, vms := b.evidence()
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", b.Digest, b.State, b.Route, b.Service,
					time.UnixMilli(int64(b.SinceMillis)).UTC().Format(time.RFC3339), targets, vms)
			}
		})
	})
}

func bansOf(objects []model.Object) ([]Ban, error) {
	list := []Ban{}
	for _, o := range objects {
		if o.Kind != model.ObjectQuarantine {
			continue
		}
		b := Ban{Digest: o.Name}
		if err := json.Unmarshal(o.Spec, &b.Quarantine); err != nil {
			return nil, fmt.Errorf("%s: %w", o.Key(), err)
		}
		list = append(list, b)
	}
	return list, nil
}

// evidence returns the targets that ended and the VMs that reported it.
func (b Ban) evidence() (targets, vms string) {
	var t, v []string
	seen := map[model.VMID]bool{}
	for _, e := range b.Ends {
		t = append(t, string(e.Target))
		for _, id := range e.VMs {
			if !seen[id] {
				seen[id] = true
				v = append(v, string(id))
			}
		}
	}
	return strings.Join(t, ","), strings.Join(v, ",")
}

// maxLiftTries is how often a lift is tried if other changes are committed at the same time.
const maxLiftTries = 5

type liftCmd struct {
	a    *app
	Args struct {
		Digest string `positional-arg-name:"DIGEST" description:"digest of the request, as bans lists it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute lifts the ban of a request. What is known against it is forgotten.
func (c *liftCmd) Execute([]string) error {
	if _, err := model.ParseRequestDigest(c.Args.Digest); err != nil {
		return errs.New("eelctl lift", KindUsage, err)
	}
	key := string(model.ObjectQuarantine) + "/" + c.Args.Digest
	var err error
	for range maxLiftTries {
		err = c.a.change("", nil, func(cat wire.Catalogue) (wire.Change, error) {
			for _, o := range cat.Objects {
				if o.Key() == key {
					return wire.Change{Remove: []string{key}}, nil
				}
			}
			return wire.Change{}, errs.Newf("eelctl lift", KindUsage, "no request with digest %s is suspected or banned", c.Args.Digest)
		})
		if !errs.Is(err, admin.KindConflict) {
			return err
		}
	}
	return err
}
