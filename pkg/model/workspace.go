package model

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"iter"

	"github.com/benbjohnson/immutable"
)

// WorkspaceID names a workspace.
type WorkspaceID string

// keyDigestBytes is the length to which a digest truncates SHA-256: long enough that
// finding another key with the same digest is infeasible.
const keyDigestBytes = 16

// KeyDigest identifies a key without revealing it.
type KeyDigest [keyDigestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	s := sha256.Sum256([]byte(key))
	return KeyDigest(s[:keyDigestBytes])
}

// MarshalText encodes the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a digest in hexadecimal.
func (d *KeyDigest) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != keyDigestBytes {
		return fmt.Errorf("a key digest has %d bytes, not %d", keyDigestBytes, hex.DecodedLen(len(b)))
	}
	_, err := hex.Decode(d[:], b)
	return err
}

// Workspace is a group of callers that are identified by their keys and share an
// allowance.
type Workspace struct {
	Name WorkspaceID `json:"-"`
	// Keys are the digests of the keys that the callers send.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Priority overrides the priority of the route if set.
	Priority *int `json:"priority,omitempty"`
	// Allowance limits the requests of all callers of the workspace together.
	Allowance Allowance `json:"allowance,omitzero"`
	// HomeRegions are the only regions that may serve the workspace; empty means all.
	HomeRegions []RegionID `json:"homeRegions,omitempty"`
}

// Allowance is a rate limit with a burst in addition. A rate of 0 means no limit.
type Allowance struct {
	PerSecond float64 `json:"perSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
}

// Limited reports whether the allowance limits the rate.
func (a Allowance) Limited() bool { return a.PerSecond > 0 }

func (w Workspace) check() error {
	if w.Allowance.PerSecond < 0 || w.Allowance.Burst < 0 {
		return fmt.Errorf("perSecond %g or burst %g is below 0", w.Allowance.PerSecond, w.Allowance.Burst)
	}
	return nil
}

func decodeWorkspace(o Object) (Workspace, error) {
	x := Workspace{Name: WorkspaceID(o.Name)}
	if err := decode(o, &x); err != nil {
		return x, err
	}
	return x, x.check()
}

// Workspaces is the immutable set of workspaces of a catalogue, indexed by name and by
// key. As with Targets, a later catalogue shares the unchanged workspaces.
type Workspaces struct {
	byName *immutable.Map[WorkspaceID, Workspace]
	byKey  *immutable.Map[KeyDigest, WorkspaceID]
}

// Get returns a workspace, and whether it exists.
func (w Workspaces) Get(id WorkspaceID) (Workspace, bool) {
	if w.byName == nil {
		return Workspace{}, false
	}
	return w.byName.Get(id)
}

// Of returns the workspace that holds a key, and whether there is one.
func (w Workspaces) Of(key KeyDigest) (Workspace, bool) {
	if w.byKey == nil {
		return Workspace{}, false
	}
	id, ok := w.byKey.Get(key)
	if !ok {
		return Workspace{}, false
	}
	return w.byName.Get(id)
}

// Len returns the number of workspaces.
func (w Workspaces) Len() int {
	if w.byName == nil {
		return 0
	}
	return w.byName.Len()
}

// All iterates over the workspaces in no particular order.
func (w Workspaces) All() iter.Seq2[WorkspaceID, Workspace] {
	return func(yield func(WorkspaceID, Workspace) bool) {
		if w.byName == nil {
			return
		}
		for i := w.byName.Iterator(); !i.Done(); {
			if id, x, _ := i.Next(); !yield(id, x) {
				return
			}
		}
	}
}

// with returns the set in which some workspaces are put and others removed. A key may
// move between the workspaces that change. A workspace with a key of another one is left out,
// and its error returned.
func (w Workspaces) with(put []Workspace, removed []WorkspaceID) (Workspaces, map[WorkspaceID]error) {
	if w.byName == nil {
		w.byName = immutable.NewMap[WorkspaceID, Workspace](workspaceHasher{})
		w.byKey = immutable.NewMap[KeyDigest, WorkspaceID](digestHasher{})
	}
	for _, id := range removed {
		w = w.without(id)
	}
	for _, x := range put {
		w = w.without(x.Name)
	}
	conflicts := map[WorkspaceID]error{}
	for _, x := range put {
		if other, ok := w.sharesKey(x); ok {
			conflicts[x.Name] = fmt.Errorf("workspaces %q and %q share a key", other, x.Name)
			continue
		}
		for _, k := range x.Keys {
			w.byKey = w.byKey.Set(k, x.Name)
		}
		w.byName = w.byName.Set(x.Name, x)
	}
	return w, conflicts
}

// sharesKey returns another workspace that holds a key of x, and whether there is one.
func (w Workspaces) sharesKey(x Workspace) (WorkspaceID, bool) {
	for _, k := range x.Keys {
		if other, ok := w.byKey.Get(k); ok && other != x.Name {
			return other, true
		}
	}
	return "", false
}

func (w Workspaces) without(id WorkspaceID) Workspaces {
	old, ok := w.byName.Get(id)
	if !ok {
		return w
	}
	for _, k := range old.Keys {
		w.byKey = w.byKey.Delete(k)
	}
	w.byName = w.byName.Delete(id)
	return w
}

// workspaceHasher hashes the names of workspaces.
type workspaceHasher struct{}

// Hash returns the hash of a name.
func (workspaceHasher) Hash(id WorkspaceID) uint32 { return fnv1a(string(id)) }

// Equal reports whether two names are equal.
func (workspaceHasher) Equal(a, b WorkspaceID) bool { return a == b }

// digestHasher uses the first bytes of a digest, which are already uniformly distributed.
type digestHasher struct{}

// Hash returns the hash of a digest.
func (digestHasher) Hash(d KeyDigest) uint32 {
	return uint32(d[0])<<24 | uint32(d[1])<<16 | uint32(d[2])<<8 | uint32(d[3])
}

// Equal reports whether two digests are equal.
func (digestHasher) Equal(a, b KeyDigest) bool { return a == b }
