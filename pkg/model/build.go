package model

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"sigs.k8s.io/yaml"
)

const (
	tokenHashBytes = 32
	maxNameBytes   = 63
	maxMillis      = 24 * 60 * 60 * 1000
)

var nameRE = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)

// File is the format of catalogue files, in YAML or JSON.
type File struct {
	Objects []Object `json:"objects"`
}

// Parse reads a catalogue file. Unknown fields are errors.
func Parse(b []byte) ([]Object, error) {
	var f File
	if err := yaml.UnmarshalStrict(b, &f); err != nil {
		return nil, errs.New("model.Parse", KindSyntax, err)
	}
	return f.Objects, nil
}

// Catalogue is the set of all objects at one version. It is immutable; With returns
// a later catalogue that shares the unchanged parts.
type Catalogue struct {
	Version  Version
	Owners   map[OwnerID]Owner
	Regions  map[RegionID]Region
	Domains  map[FailureDomainID]FailureDomain
	Links    map[[2]RegionID]Link
	Services map[ServiceID]Service
	Classes  map[ServiceID]map[ClassID]Class
	Caps     []ShiftCap
	Policies []Policy
	Drains   []Drain
	// Routing is nil until an operator submits one.
	Routing    *Routing
	Workspaces Workspaces
	Targets    Targets

	// configs holds the objects other than targets, workspaces and documents, by key.
	configs map[string]Object
	routes  routeIndex
	deltas  []delta
}

// NewCatalogue builds a catalogue and validates its objects and the references between them.
func NewCatalogue(v Version, objects []Object) (*Catalogue, error) {
	const op = "model.NewCatalogue"
	c := &Catalogue{Version: v, configs: map[string]Object{}}
	seen := map[string]bool{}
	t := newTargetsBuilder()
	var w []Workspace
	for _, o := range objects {
		err := o.check()
		if err == nil && seen[o.Key()] {
			err = fmt.Errorf("object occurs twice")
		}
		if err == nil {
			err = c.addObject(o, t, &w)
		}
		if err != nil {
			return nil, errs.Newf(op, KindInvalid, "%s: %v", o.Key(), err)
		}
		seen[o.Key()] = true
	}
	c.Targets = t.targets()
	var err error
	if c.Workspaces, err = c.Workspaces.with(w, nil); err != nil {
		return nil, errs.New(op, KindInvalid, err)
	}
	if err := c.buildConfig(nil); err != nil {
		return nil, errs.New(op, KindInvalid, err)
	}
	return c, nil
}

// addObject adds an object to the collection for its kind.
func (c *Catalogue) addObject(o Object, t targetsBuilder, w *[]Workspace) error {
	switch o.Kind {
	case ObjectDocument:
		return nil
	case ObjectTarget:
		x, err := decodeTarget(o)
		t.put(x)
		return err
	case ObjectWorkspace:
		x, err := decodeWorkspace(o)
		*w = append(*w, x)
		return err
	}
	c.configs[o.Key()] = o
	return nil
}

// buildConfig decodes and validates the objects other than targets, workspaces and documents.
// A routing that the earlier catalogue decoded from the same spec is reused.
func (c *Catalogue) buildConfig(earlier *Catalogue) error {
	c.Owners, c.Regions, c.Domains = map[OwnerID]Owner{}, map[RegionID]Region{}, map[FailureDomainID]FailureDomain{}
	c.Links, c.Services, c.Classes = map[[2]RegionID]Link{}, map[ServiceID]Service{}, map[ServiceID]map[ClassID]Class{}
	c.Caps, c.Policies, c.Drains, c.Routing, c.routes = nil, nil, nil, nil, nil
	for _, k := range slices.Sorted(maps.Keys(c.configs)) {
		o := c.configs[k]
		if o.Kind == ObjectRouting && earlier != nil && earlier.Routing != nil && bytes.Equal(earlier.configs[k].Spec, o.Spec) {
			c.Routing, c.routes = earlier.Routing, earlier.routes
			continue
		}
		if err := c.addSpec(o); err != nil {
			return fmt.Errorf("%s: %w", k, err)
		}
	}
	return c.check()
}

func decode[T any](o Object, t *T) error {
	d := json.NewDecoder(bytes.NewReader(o.Spec))
	d.DisallowUnknownFields()
	if err := d.Decode(t); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	return nil
}

// check validates the fields that objects of all kinds have.
func (o Object) check() error {
	if len(o.Name) > maxNameBytes || !nameRE.MatchString(o.Name) {
		return fmt.Errorf("name %q is not letters, digits, '.', '_' and '-', at most %d", o.Name, maxNameBytes)
	}
	if o.Owner == "" {
		return fmt.Errorf("owner is missing")
	}
	return nil
}

func (c *Catalogue) addSpec(o Object) error {
	switch o.Kind {
	case ObjectOwner:
		return c.addOwner(o)
	case ObjectRegion:
		x := Region{Name: RegionID(o.Name)}
		err := decode(o, &x)
		c.Regions[x.Name] = x
		return err
	case ObjectFailureDomain:
		x := FailureDomain{Name: FailureDomainID(o.Name)}
		err := decode(o, &x)
		c.Domains[x.Name] = x
		return err
	case ObjectLink:
		return c.addLink(o)
	case ObjectService:
		x := Service{Name: ServiceID(o.Name)}
		err := decode(o, &x)
		c.Services[x.Name] = x
		return err
	case ObjectClass:
		return c.addClass(o)
	case ObjectShiftCap:
		x := ShiftCap{Name: o.Name}
		err := decode(o, &x)
		c.Caps = append(c.Caps, x)
		return err
	case ObjectPolicy:
		x := Policy{Name: PolicyID(o.Name)}
		err := decode(o, &x)
		c.Policies = append(c.Policies, x)
		return err
	case ObjectDrain:
		x := Drain{Name: o.Name}
		err := decode(o, &x)
		c.Drains = append(c.Drains, x)
		return err
	case ObjectRouting:
		return c.addRouting(o)
	}
	return fmt.Errorf("kind %q does not exist", o.Kind)
}

func (c *Catalogue) addRouting(o Object) error {
	if o.Name != RoutingName {
		return fmt.Errorf("a routing must be named %q", RoutingName)
	}
	x := &Routing{}
	if err := decode(o, x); err != nil {
		return err
	}
	c.Routing, c.routes = x, x.index()
	return x.check()
}

func (c *Catalogue) addOwner(o Object) error {
	x := Owner{Name: OwnerID(o.Name)}
	if err := decode(o, &x); err != nil {
		return err
	}
	if b, err := hex.DecodeString(x.TokenSHA256); err != nil || len(b) != tokenHashBytes {
		return fmt.Errorf("tokenSha256 is not %d bytes in hexadecimal", tokenHashBytes)
	}
	c.Owners[x.Name] = x
	return nil
}

func (c *Catalogue) addLink(o Object) error {
	x := Link{Name: o.Name}
	if err := decode(o, &x); err != nil {
		return err
	}
	k := linkKey(x.Regions[0], x.Regions[1])
	if _, ok := c.Links[k]; ok {
		return fmt.Errorf("regions %q and %q have a link already", k[0], k[1])
	}
	c.Links[k] = x
	return nil
}

func (c *Catalogue) addClass(o Object) error {
	var x Class
	if err := decode(o, &x); err != nil {
		return err
	}
	if c.Classes[x.Service] == nil {
		c.Classes[x.Service] = map[ClassID]Class{}
	}
	if _, ok := c.Classes[x.Service][x.Name]; ok {
		return fmt.Errorf("class %q of service %q occurs twice", x.Name, x.Service)
	}
	c.Classes[x.Service][x.Name] = x
	return nil
}

func linkKey(a, b RegionID) [2]RegionID {
	if a > b {
		a, b = b, a
	}
	return [2]RegionID{a, b}
}

// Class returns a class of a service, and whether it exists.
func (c *Catalogue) Class(s ServiceID, n ClassID) (Class, bool) {
	x, ok := c.Classes[s][n]
	return x, ok
}

// Link returns the link between two regions, and whether it exists.
func (c *Catalogue) Link(a, b RegionID) (Link, bool) {
	l, ok := c.Links[linkKey(a, b)]
	return l, ok
}

// RegionOf returns the region of a failure domain, or "" if the domain does not exist.
func (c *Catalogue) RegionOf(d FailureDomainID) RegionID {
	return c.Domains[d].Region
}

// Drained reports whether a failure domain, its region or a target is drained.
func (c *Catalogue) Drained(d FailureDomainID, t TargetID) bool {
	r := c.RegionOf(d)
	for _, x := range c.Drains {
		if x.Region != "" && x.Region == r {
			return true
		}
		if x.FailureDomain != "" && x.FailureDomain == d {
			return true
		}
		if x.Target != "" && x.Target == t {
			return true
		}
	}
	return false
}

// CapsFor returns the shift caps that apply to requests of a service that are shifted
// from one region to another.
func (c *Catalogue) CapsFor(s ServiceID, from, to RegionID) []ShiftCap {
	var caps []ShiftCap
	for _, x := range c.Caps {
		if x.Service != s || x.From != "" && x.From != from || x.To != "" && x.To != to {
			continue
		}
		caps = append(caps, x)
	}
	return caps
}
