package model

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

const (
	// maxDeltas is the maximum number of deltas from earlier versions that a catalogue keeps.
	maxDeltas = 32
	// maxDeltaTargets is the maximum number of targets that a delta lists. Beyond it,
	// reading all targets is as fast.
	maxDeltaTargets = 256
)

// delta lists what changed from one catalogue to the next.
type delta struct {
	from Version
	// targets are the targets that were put or removed.
	targets []TargetID
	// incomplete is set if more changed than targets lists.
	incomplete bool
}

// With returns the catalogue at a later version in which objects are put and others, given by
// their keys, removed. It fails if that makes an object invalid.
func (c *Catalogue) With(v Version, put []Object, removed []string) (*Catalogue, error) {
	n := c.Apply(v, put, removed)
	for _, x := range n.NewlyInvalid(c) {
		return nil, errs.Newf("model.With", KindInvalid, "%s: %v", x.Key(), x.Err)
	}
	return n, nil
}

// NewlyInvalid returns the objects that the catalogue leaves out, and that an earlier one, which
// may be nil, did not hold in the same form.
func (c *Catalogue) NewlyInvalid(earlier *Catalogue) []InvalidObject {
	var out []InvalidObject
	for _, x := range c.Invalid {
		known := earlier != nil && slices.ContainsFunc(earlier.Invalid, func(o InvalidObject) bool {
			return o.Key() == x.Key() && o.Version == x.Version && bytes.Equal(o.Spec, x.Spec)
		})
		if !known {
			out = append(out, x)
		}
	}
	return out
}

// Apply returns the catalogue at a later version in which committed objects are put and others,
// given by their keys, removed. As in Build, an object that is not valid is left out, and so is
// its former version. The cost of Apply depends on the size of the change, not of the catalogue.
func (c *Catalogue) Apply(v Version, put []Object, removed []string) *Catalogue {
	n := *c
	n.Version = v
	n.Invalid = slices.DeleteFunc(slices.Clone(c.Invalid), func(x InvalidObject) bool {
		return slices.Contains(removed, x.Key()) || slices.ContainsFunc(put, func(o Object) bool { return o.Key() == x.Key() })
	})
	valid := make([]Object, 0, len(put))
	for _, o := range put {
		if err := o.check(); err != nil {
			n.reject(o, err)
			removed = append(slices.Clip(removed), o.Key())
			continue
		}
		valid = append(valid, o)
	}
	targets := n.applyTargets(valid, removed)
	n.applyWorkspaces(valid, removed)
	n.applyQuarantine(valid, removed)
	d := delta{from: c.Version, targets: targets, incomplete: n.applyConfigs(c, valid, removed)}
	n.deltas = n.appendDelta(d)
	return &n
}

// applyTargets puts and removes targets, and returns their names.
func (c *Catalogue) applyTargets(put []Object, removed []string) []TargetID {
	var changed []TargetID
	t := c.Targets.builder()
	for _, o := range put {
		if o.Kind != ObjectTarget {
			continue
		}
		x, err := decodeTarget(o)
		if err != nil {
			c.reject(o, err)
			t.remove(x.ID)
		} else {
			t.put(x)
		}
		changed = append(changed, x.ID)
	}
	for _, k := range removed {
		if id, ok := nameOfKey(ObjectTarget, k); ok {
			t.remove(TargetID(id))
			changed = append(changed, TargetID(id))
		}
	}
	c.Targets = t.targets()
	return changed
}

// applyWorkspaces puts and removes workspaces. Those that were not valid before are put again,
// since the key that they shared with another one may be free now.
func (c *Catalogue) applyWorkspaces(put []Object, removed []string) {
	objects := selectKind(put, ObjectWorkspace)
	var gone []WorkspaceID
	for _, k := range removed {
		if id, ok := nameOfKey(ObjectWorkspace, k); ok {
			gone = append(gone, WorkspaceID(id))
		}
	}
	if len(objects)+len(gone) == 0 {
		return
	}
	c.Invalid = slices.DeleteFunc(c.Invalid, func(x InvalidObject) bool {
		again := x.Kind == ObjectWorkspace && x.check() == nil
		if again {
			objects = append(objects, x.Object)
		}
		return again
	})
	var list []Workspace
	for _, o := range objects {
		x, err := decodeWorkspace(o)
		if err != nil {
			c.reject(o, err)
			gone = append(gone, WorkspaceID(o.Name))
			continue
		}
		list = append(list, x)
	}
	var conflicts map[WorkspaceID]error
	c.Workspaces, conflicts = c.Workspaces.with(list, gone)
	for _, o := range objects {
		if err, ok := conflicts[WorkspaceID(o.Name)]; ok {
			c.reject(o, err)
		}
	}
}

// applyConfigs puts and removes the objects other than targets, workspaces and documents, and
// reports whether there were any. They are decoded anew if one of them changed.
func (c *Catalogue) applyConfigs(earlier *Catalogue, put []Object, removed []string) bool {
	var configs map[string]Object
	change := func() {
		if configs == nil {
			configs = maps.Clone(earlier.configs)
		}
	}
	for _, o := range put {
		switch o.Kind {
		case ObjectDocument, ObjectTarget, ObjectWorkspace, ObjectQuarantine:
		default:
			change()
			configs[o.Key()] = o
		}
	}
	for _, k := range removed {
		if _, ok := earlier.configs[k]; ok {
			change()
			delete(configs, k)
		}
	}
	if configs == nil {
		return false
	}
	c.configs = configs
	c.buildConfig(earlier)
	return true
}

func selectKind(objects []Object, k ObjectKind) []Object {
	var out []Object
	for _, o := range objects {
		if o.Kind == k {
			out = append(out, o)
		}
	}
	return out
}

// appendDelta returns the deltas of the catalogue with one more at the end. The oldest
// are dropped beyond maxDeltas.
func (c *Catalogue) appendDelta(s delta) []delta {
	if len(s.targets) > maxDeltaTargets {
		s.targets, s.incomplete = nil, true
	}
	last := c.deltas[max(0, len(c.deltas)+1-maxDeltas):]
	return append(slices.Clone(last), s)
}

// ChangedTargets returns the targets that were put or removed after a version. It
// returns false if anything else changed too, or if the catalogue no longer keeps the
// deltas since that version.
func (c *Catalogue) ChangedTargets(after Version) ([]TargetID, bool) {
	if after == c.Version {
		return nil, true
	}
	var out []TargetID
	for _, s := range slices.Backward(c.deltas) {
		if s.incomplete || s.from < after {
			return nil, false
		}
		out = append(out, s.targets...)
		if s.from == after {
			return out, true
		}
	}
	return nil, false
}

func decodeTarget(o Object) (Target, error) {
	x := Target{ID: TargetID(o.Name), Version: o.Version}
	if err := decode(o, &x); err != nil {
		return x, fmt.Errorf("target: %w", err)
	}
	return x, x.check()
}
