package model

import (
	"iter"
	"strings"

	"github.com/benbjohnson/immutable"
)

// Targets is the immutable set of targets of a catalogue. A later catalogue shares the
// unchanged targets, so that the cost of a change does not depend on their number.
type Targets struct {
	m *immutable.Map[TargetID, Target]
}

// NewTargets returns a set of targets.
func NewTargets(list ...Target) Targets {
	b := newTargetsBuilder()
	for _, t := range list {
		b.put(t)
	}
	return b.targets()
}

// Get returns a target, and whether it exists.
func (t Targets) Get(id TargetID) (Target, bool) {
	if t.m == nil {
		return Target{}, false
	}
	return t.m.Get(id)
}

// Len returns the number of targets.
func (t Targets) Len() int {
	if t.m == nil {
		return 0
	}
	return t.m.Len()
}

// All iterates over the targets in no particular order.
func (t Targets) All() iter.Seq2[TargetID, Target] {
	return func(yield func(TargetID, Target) bool) {
		if t.m == nil {
			return
		}
		for i := t.m.Iterator(); !i.Done(); {
			if id, x, _ := i.Next(); !yield(id, x) {
				return
			}
		}
	}
}

func (t Targets) builder() targetsBuilder {
	m := t.m
	if m == nil {
		m = immutable.NewMap[TargetID, Target](targetHasher{})
	}
	return targetsBuilder{&m}
}

// targetsBuilder builds a set of targets from an earlier one, which does not change.
type targetsBuilder struct {
	m **immutable.Map[TargetID, Target]
}

func newTargetsBuilder() targetsBuilder { return Targets{}.builder() }

func (b targetsBuilder) put(t Target)       { *b.m = (*b.m).Set(t.ID, t) }
func (b targetsBuilder) remove(id TargetID) { *b.m = (*b.m).Delete(id) }
func (b targetsBuilder) targets() Targets   { return Targets{*b.m} }

// targetHasher hashes the names of targets.
type targetHasher struct{}

// Hash returns the hash of a name.
func (targetHasher) Hash(id TargetID) uint32 { return fnv1a(string(id)) }

// Equal reports whether two names are equal.
func (targetHasher) Equal(a, b TargetID) bool { return a == b }

// nameOfKey returns the name in a key of the given kind; it returns false for keys of
// other kinds.
func nameOfKey(k ObjectKind, key string) (string, bool) {
	return strings.CutPrefix(key, string(k)+"/")
}

const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// fnv1a returns the FNV-1a hash of a name.
func fnv1a(s string) uint32 {
	h := uint32(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * fnvPrime
	}
	return h
}
