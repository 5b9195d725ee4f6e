package state

import (
	"bytes"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

// merge applies the writes of a change that alter something, whatever the
// version is. It may be sent again, so its result is not kept.
func (m *Machine) merge(c *eelpb.Change) *eelpb.ChangeResult {
	r := &eelpb.ChangeResult{ChangeId: c.ChangeId, Accepted: true, AtMs: m.nowMs}
	writes := m.writes(c)
	if len(writes) > 0 {
		m.version++
		m.lastChange, m.lastAuthor = c.ChangeId, c.Author
		for _, o := range writes {
			m.put(o)
		}
		close(m.changed)
		m.changed = make(chan struct{})
	}
	r.Version = m.version
	return r
}

// writes returns the writes of a change that have an effect.
func (m *Machine) writes(c *eelpb.Change) []*eelpb.Object {
	if len(c.Whole) > 0 && (len(c.Objects) == 0 || !m.alters(c.Objects[0])) {
		return nil
	}
	var out []*eelpb.Object
	named := map[string]bool{}
	for _, o := range c.Objects {
		if slices.Contains(c.Whole, o.Kind) {
			k := o.Kind + "/" + o.Name
			held, ok := m.objects[k]
			if named[k] = true; ok && bytes.Equal(held.Spec, o.Spec) {
				continue
			}
		} else if !m.alters(o) {
			continue
		}
		out = append(out, o)
	}
	if len(c.Whole) == 0 {
		return out
	}
	return append(out, m.unnamed(c.Whole, named)...)
}

// unnamed returns removals of the objects of some kinds that are not named, in the
// order of their keys, which is the same at all replicas.
func (m *Machine) unnamed(kinds []string, named map[string]bool) []*eelpb.Object {
	var keys []string
	for k, o := range m.objects {
		if slices.Contains(kinds, o.Kind) && !named[k] {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var out []*eelpb.Object
	for _, k := range keys {
		out = append(out, &eelpb.Object{Kind: m.objects[k].Kind, Name: m.objects[k].Name, Removed: true})
	}
	return out
}

// alters tells whether a write has an effect on what is held.
func (m *Machine) alters(o *eelpb.Object) bool {
	held, ok := m.objects[o.Kind+"/"+o.Name]
	if !ok {
		return !o.Removed
	}
	if o.Revision != 0 && o.Revision <= held.Revision {
		return false
	}
	return o.Removed || o.Revision != held.Revision || !bytes.Equal(o.Spec, held.Spec)
}
