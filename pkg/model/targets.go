package model

import (
	"iter"
	"strings"

	"github.com/benbjohnson/immutable"
)

// Targets are the targets of a catalogue. A later catalogue shares those that did
// not change, so that one more costs the same however many there are.
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

// Get returns a target.
func (t Targets) Get(id TargetID) (Target, bool) {
	if t.m == nil {
		return Target{}, false
	}
	return t.m.Get(id)
}

// Len returns how many targets there are.
func (t Targets) Len() int {
	if t.m == nil {
		return 0
	}
	return t.m.Len()
}

// All goes through the targets in no particular order.
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

// targetsBuilder makes targets out of earlier ones, which stay as they are.
type targetsBuilder struct {
	m **immutable.Map[TargetID, Target]
}

func newTargetsBuilder() targetsBuilder { return Targets{}.builder() }

func (b targetsBuilder) put(t Target)       { *b.m = (*b.m).Set(t.ID, t) }
func (b targetsBuilder) remove(id TargetID) { *b.m = (*b.m).Delete(id) }
func (b targetsBuilder) targets() Targets   { return Targets{*b.m} }

// targetHasher hashes the names of targets by FNV-1a.
type targetHasher struct{}

const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// Hash returns the hash of a name.
func (targetHasher) Hash(id TargetID) uint32 {
	h := uint32(fnvOffset)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * fnvPrime
	}
	return h
}

// Equal tells whether two names are the same.
func (targetHasher) Equal(a, b TargetID) bool { return a == b }

// targetOfKey returns the target that an object's key names.
func targetOfKey(key string) (TargetID, bool) {
	id, ok := strings.CutPrefix(key, string(ObjectTarget)+"/")
	return TargetID(id), ok
}
