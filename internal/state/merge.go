package state

import (
	"bytes"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

// merge applies the writes of a change that have an effect, whatever the version of the
// catalogue. Merging again has no effect, so its result is not stored.
func (m *Machine) merge(c *eelpb.Change) *eelpb.ChangeResult {
	r := &eelpb.ChangeResult{ChangeId: c.ChangeId, Accepted: true, AtMs: m.nowMs}
	writes := m.effectiveWrites(c)
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

// Effective returns the writes of a change that would have an effect on the present state.
func (m *Machine) Effective(c *eelpb.Change) []*eelpb.Object {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.effectiveWrites(c)
}

// effectiveWrites returns the writes of a change that have an effect, including the removal
// of unlisted objects of the kinds in Whole.
func (m *Machine) effectiveWrites(c *eelpb.Change) []*eelpb.Object {
	if len(c.Whole) > 0 && (len(c.Objects) == 0 || !m.hasEffect(c.Objects[0])) {
		return nil
	}
	var out []*eelpb.Object
	listed := map[string]bool{}
	for _, o := range c.Objects {
		if slices.Contains(c.Whole, o.Kind) {
			k := o.Kind + "/" + o.Name
			current, ok := m.objects[k]
			if listed[k] = true; ok && bytes.Equal(current.Spec, o.Spec) {
				continue
			}
		} else if !m.hasEffect(o) {
			continue
		}
		out = append(out, o)
	}
	if len(c.Whole) == 0 {
		return out
	}
	return append(out, m.unlistedRemovals(c.Whole, listed)...)
}

// unlistedRemovals returns removals of the objects of the given kinds that are not
// listed, in the order of their keys, which is the same on all replicas.
func (m *Machine) unlistedRemovals(kinds []string, listed map[string]bool) []*eelpb.Object {
	var keys []string
	for k, o := range m.objects {
		if slices.Contains(kinds, o.Kind) && !listed[k] {
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

// hasEffect reports whether a write changes the stored object.
func (m *Machine) hasEffect(o *eelpb.Object) bool {
	current, ok := m.objects[o.Kind+"/"+o.Name]
	if !ok {
		return !o.Removed
	}
	if o.Revision != 0 && o.Revision <= current.Revision {
		return false
	}
	return o.Removed || o.Revision != current.Revision || !bytes.Equal(o.Spec, current.Spec)
}
