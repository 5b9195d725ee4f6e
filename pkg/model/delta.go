package model

import (
	"fmt"
	"maps"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

const (
	// maxSteps bounds the steps from earlier catalogues that a catalogue can tell of.
	maxSteps = 32
	// maxStepTargets bounds the targets of one step; where more changed at once a
	// reader goes through all of them as fast.
	maxStepTargets = 256
)

// step is what changed from one catalogue to the next.
type step struct {
	from Version
	// targets are those that were put or removed.
	targets []TargetID
	// whole says that more changed than the step tells.
	whole bool
}

// With returns the catalogue at a later version, after objects were put and others,
// named by their keys, removed. Its cost is that of what changed.
func (c *Catalogue) With(v Version, put []Object, removed []string) (*Catalogue, error) {
	const op = "model.With"
	n := *c
	n.Version = v
	t, s := c.Targets.builder(), step{from: c.Version}
	var spaces []Workspace
	var spacesGone []WorkspaceID
	var placed map[string]Object
	changePlaced := func(key string, o *Object) {
		if placed == nil {
			placed = maps.Clone(c.placed)
		}
		delete(placed, key)
		if o != nil {
			placed[key] = *o
		}
	}
	for _, o := range put {
		if err := o.check(); err != nil {
			return nil, errs.Newf(op, KindInvalid, "%s: %v", o.Key(), err)
		}
		switch o.Kind {
		case ObjectDocument:
		case ObjectTarget:
			x, err := decodeTarget(o)
			if err != nil {
				return nil, errs.Newf(op, KindInvalid, "%s: %v", o.Key(), err)
			}
			t.put(x)
			s.targets = append(s.targets, x.ID)
		case ObjectWorkspace:
			x, err := decodeWorkspace(o)
			if err != nil {
				return nil, errs.Newf(op, KindInvalid, "%s: %v", o.Key(), err)
			}
			spaces = append(spaces, x)
		default:
			changePlaced(o.Key(), &o)
		}
	}
	for _, k := range removed {
		if id, ok := nameOfKey(ObjectTarget, k); ok {
			t.remove(TargetID(id))
			s.targets = append(s.targets, TargetID(id))
			continue
		}
		if id, ok := nameOfKey(ObjectWorkspace, k); ok {
			spacesGone = append(spacesGone, WorkspaceID(id))
			continue
		}
		if _, ok := c.placed[k]; ok {
			changePlaced(k, nil)
		}
	}
	n.Targets = t.targets()
	if len(spaces)+len(spacesGone) > 0 {
		var err error
		if n.Workspaces, err = c.Workspaces.with(spaces, spacesGone); err != nil {
			return nil, errs.New(op, KindInvalid, err)
		}
	}
	if placed != nil {
		n.placed = placed
		if err := n.place(c); err != nil {
			return nil, errs.New(op, KindInvalid, err)
		}
		s.whole = true
	}
	n.steps = n.stepsWith(s)
	return &n, nil
}

// stepsWith returns the last steps that lead to the catalogue, with one more.
func (c *Catalogue) stepsWith(s step) []step {
	if len(s.targets) > maxStepTargets {
		s.targets, s.whole = nil, true
	}
	last := c.steps[max(0, len(c.steps)+1-maxSteps):]
	return append(slices.Clone(last), s)
}

// ChangedTargets returns the targets that were put or removed after a version, or
// false where anything else changed too or the version is too old to tell.
func (c *Catalogue) ChangedTargets(after Version) ([]TargetID, bool) {
	if after == c.Version {
		return nil, true
	}
	var out []TargetID
	for _, s := range slices.Backward(c.steps) {
		if s.whole || s.from < after {
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
	x := Target{ID: TargetID(o.Name)}
	if err := decode(o, &x); err != nil {
		return x, fmt.Errorf("target: %w", err)
	}
	return x, nil
}
