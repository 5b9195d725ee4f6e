package model

import (
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

// With returns the catalogue at a later version in which objects are put and others,
// given by their keys, removed. Its cost depends on the size of the change, not of the
// catalogue.
func (c *Catalogue) With(v Version, put []Object, removed []string) (*Catalogue, error) {
	const op = "model.With"
	n := *c
	n.Version = v
	t, s := c.Targets.builder(), delta{from: c.Version}
	var workspaces []Workspace
	var removedWorkspaces []WorkspaceID
	var configs map[string]Object
	changeConfig := func(key string, o *Object) {
		if configs == nil {
			configs = maps.Clone(c.configs)
		}
		delete(configs, key)
		if o != nil {
			configs[key] = *o
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
			workspaces = append(workspaces, x)
		default:
			changeConfig(o.Key(), &o)
		}
	}
	for _, k := range removed {
		if id, ok := nameOfKey(ObjectTarget, k); ok {
			t.remove(TargetID(id))
			s.targets = append(s.targets, TargetID(id))
			continue
		}
		if id, ok := nameOfKey(ObjectWorkspace, k); ok {
			removedWorkspaces = append(removedWorkspaces, WorkspaceID(id))
			continue
		}
		if _, ok := c.configs[k]; ok {
			changeConfig(k, nil)
		}
	}
	n.Targets = t.targets()
	if len(workspaces)+len(removedWorkspaces) > 0 {
		var err error
		if n.Workspaces, err = c.Workspaces.with(workspaces, removedWorkspaces); err != nil {
			return nil, errs.New(op, KindInvalid, err)
		}
	}
	if configs != nil {
		n.configs = configs
		if err := n.buildConfig(c); err != nil {
			return nil, errs.New(op, KindInvalid, err)
		}
		s.incomplete = true
	}
	n.deltas = n.appendDelta(s)
	return &n, nil
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
	x := Target{ID: TargetID(o.Name)}
	if err := decode(o, &x); err != nil {
		return x, fmt.Errorf("target: %w", err)
	}
	return x, nil
}
