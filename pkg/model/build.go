package model

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

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
	// Quarantine holds the requests that ended targets.
	Quarantine map[RequestDigest]Quarantine

	// Invalid lists the stored objects that are not valid. They are left out of the other
	// fields; all other objects are in force.
	Invalid []InvalidObject

	// configs holds the objects other than targets, workspaces, documents and quarantined requests,
	// by key.
	configs map[string]Object
	routes  routeIndex
	deltas  []delta
}

// InvalidObject is an object that a catalogue leaves out.
type InvalidObject struct {
	Object
	Err error
}

// NewCatalogue builds a catalogue and validates its objects and the references between them.
// It is for objects that are not committed yet; Build is for committed ones.
func NewCatalogue(v Version, objects []Object) (*Catalogue, error) {
	const op = "model.NewCatalogue"
	seen := map[string]bool{}
	for _, o := range objects {
		if seen[o.Key()] {
			return nil, errs.Newf(op, KindInvalid, "%s: object occurs twice", o.Key())
		}
		seen[o.Key()] = true
	}
	c := Build(v, objects)
	for _, x := range c.Invalid {
		return nil, errs.Newf(op, KindInvalid, "%s: %v", x.Key(), x.Err)
	}
	return c, nil
}

// Build builds a catalogue of committed objects. An object that is not valid is left out and
// listed in Invalid: a build cannot choose what others committed, and one object must not keep
// all others from taking effect.
func Build(v Version, objects []Object) *Catalogue {
	empty := &Catalogue{configs: map[string]Object{}}
	c := empty.Apply(v, objects, nil)
	if c.Owners == nil {
		c.buildConfig(empty)
	}
	c.deltas = nil
	return c
}

// HasInvalid reports whether an object of a kind was left out.
func (c *Catalogue) HasInvalid(k ObjectKind) bool {
	return slices.ContainsFunc(c.Invalid, func(x InvalidObject) bool { return x.Kind == k })
}

// reject lists an object as invalid.
func (c *Catalogue) reject(o Object, err error) {
	c.Invalid = append(c.Invalid, InvalidObject{Object: o, Err: err})
}

// routingKey is the key of the routing.
const routingKey = string(ObjectRouting) + "/" + RoutingName

// configKinds are the kinds that buildConfig decodes. A kind refers only to those before it.
var configKinds = []ObjectKind{
	ObjectOwner, ObjectRegion, ObjectFailureDomain, ObjectService, ObjectLink, ObjectClass, ObjectShiftCap, ObjectPolicy,
	ObjectDrain, ObjectRouting,
}

// buildConfig decodes and validates the objects other than targets, workspaces and documents.
// A routing that the earlier catalogue decoded from the same spec is reused.
func (c *Catalogue) buildConfig(earlier *Catalogue) {
	c.Owners, c.Regions, c.Domains = map[OwnerID]Owner{}, map[RegionID]Region{}, map[FailureDomainID]FailureDomain{}
	c.Links, c.Services, c.Classes = map[[2]RegionID]Link{}, map[ServiceID]Service{}, map[ServiceID]map[ClassID]Class{}
	c.Caps, c.Policies, c.Drains, c.Routing, c.routes = nil, nil, nil, nil, nil
	c.Invalid = slices.DeleteFunc(c.Invalid, func(x InvalidObject) bool {
		_, ok := earlier.configs[x.Key()]
		return ok
	})
	objects := slices.SortedFunc(maps.Values(c.configs), func(a, b Object) int {
		i, j := slices.Index(configKinds, a.Kind), slices.Index(configKinds, b.Kind)
		return cmp.Or(cmp.Compare(i, j), strings.Compare(a.Key(), b.Key()))
	})
	for _, o := range objects {
		if o.Key() == routingKey && earlier.Routing != nil && bytes.Equal(earlier.configs[o.Key()].Spec, o.Spec) {
			c.Routing, c.routes = earlier.Routing, earlier.routes
			continue
		}
		if err := c.addSpec(o); err != nil {
			c.reject(o, err)
		}
	}
}

func decode[T any](o Object, t *T) error {
	d := json.NewDecoder(bytes.NewReader(o.Spec))
	d.DisallowUnknownFields()
	if err := d.Decode(t); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	return nil
}

// CheckName returns an error if a text is not valid as the name of an object.
func CheckName(name string) error {
	if err := checkName(name); err != nil {
		return errs.New("model.CheckName", KindInvalid, err)
	}
	return nil
}

func checkName(name string) error {
	if len(name) > maxNameBytes || !nameRE.MatchString(name) {
		return fmt.Errorf("name %q is not letters, digits, '.', '_' and '-', at most %d", name, maxNameBytes)
	}
	return nil
}

// check validates the fields that objects of all kinds have.
func (o Object) check() error {
	if err := checkName(o.Name); err != nil {
		return err
	}
	if o.Owner == "" {
		return fmt.Errorf("owner is missing")
	}
	return nil
}

// addSpec decodes and validates an object, and adds it to the collection of its kind.
func (c *Catalogue) addSpec(o Object) error {
	switch o.Kind {
	case ObjectOwner:
		return c.addOwner(o)
	case ObjectRegion:
		x := Region{Name: RegionID(o.Name)}
		return add(o, &x, func() error { return nil }, func() { c.Regions[x.Name] = x })
	case ObjectFailureDomain:
		x := FailureDomain{Name: FailureDomainID(o.Name)}
		return add(o, &x, func() error { return c.checkRegion(x.Region) }, func() { c.Domains[x.Name] = x })
	case ObjectLink:
		return c.addLink(o)
	case ObjectService:
		x := Service{Name: ServiceID(o.Name)}
		return add(o, &x, x.check, func() { c.Services[x.Name] = x })
	case ObjectClass:
		return c.addClass(o)
	case ObjectShiftCap:
		x := ShiftCap{Name: o.Name}
		return add(o, &x, func() error { return c.checkCap(x) }, func() { c.Caps = append(c.Caps, x) })
	case ObjectPolicy:
		x := Policy{Name: PolicyID(o.Name)}
		return add(o, &x, func() error { return c.checkPolicy(x) }, func() { c.Policies = append(c.Policies, x) })
	case ObjectDrain:
		x := Drain{Name: o.Name}
		return add(o, &x, func() error { return c.checkDrain(x) }, func() { c.Drains = append(c.Drains, x) })
	case ObjectRouting:
		return c.addRouting(o)
	}
	return fmt.Errorf("kind %q does not exist", o.Kind)
}

// add decodes the spec of an object into x, and inserts it if it is valid.
func add[T any](o Object, x *T, check func() error, insert func()) error {
	if err := decode(o, x); err != nil {
		return err
	}
	if err := check(); err != nil {
		return err
	}
	insert()
	return nil
}

func (c *Catalogue) addRouting(o Object) error {
	if o.Name != RoutingName {
		return fmt.Errorf("a routing must be named %q", RoutingName)
	}
	x := &Routing{}
	return add(o, x, x.check, func() { c.Routing, c.routes = x, x.index() })
}

func (c *Catalogue) addOwner(o Object) error {
	x := Owner{Name: OwnerID(o.Name)}
	check := func() error {
		if b, err := hex.DecodeString(x.TokenSHA256); err != nil || len(b) != tokenHashBytes {
			return fmt.Errorf("tokenSha256 is not %d bytes in hexadecimal", tokenHashBytes)
		}
		return nil
	}
	return add(o, &x, check, func() { c.Owners[x.Name] = x })
}

func (c *Catalogue) addLink(o Object) error {
	x := Link{Name: o.Name}
	check := func() error {
		k := linkKey(x.Regions[0], x.Regions[1])
		if _, ok := c.Links[k]; ok {
			return fmt.Errorf("regions %q and %q have a link already", k[0], k[1])
		}
		return c.checkLink(x)
	}
	return add(o, &x, check, func() { c.Links[linkKey(x.Regions[0], x.Regions[1])] = x })
}

func (c *Catalogue) addClass(o Object) error {
	var x Class
	check := func() error {
		if _, ok := c.Classes[x.Service][x.Name]; ok {
			return fmt.Errorf("class %q of service %q occurs twice", x.Name, x.Service)
		}
		if err := c.checkService(x.Service); err != nil {
			return err
		}
		return x.check()
	}
	return add(o, &x, check, func() {
		if c.Classes[x.Service] == nil {
			c.Classes[x.Service] = map[ClassID]Class{}
		}
		c.Classes[x.Service][x.Name] = x
	})
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
