// Package state is the replicated state machine: the catalogue of owned
// objects, the results of changes, and the claims of requests that run at most
// once. Every replica applies the same commands in the same order.
//
// # Usage
//
//	m := state.New(state.Limits{})
//	r := m.Apply(command)
//	image := m.Image()
//	m.Restore(image)
//
// A Machine is safe for concurrent use; reads do not wait for the log.
package state

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// DefaultMaxResults is the number of change results that are kept for resends.
	DefaultMaxResults = 50_000
	// DefaultMaxTombstones is the number of removed objects that are kept for deltas.
	DefaultMaxTombstones = 10_000
	// DefaultMaxClaims is the maximum number of claims.
	DefaultMaxClaims = 1_000_000
	// DefaultMaxClaimBytes bounds the total size of the answers stored in claims.
	DefaultMaxClaimBytes = 256 << 20
	// DefaultClaimTTL is the time after which a claim expires.
	DefaultClaimTTL = 24 * time.Hour
	// minStaleObjects is the minimum number of stale objects in versionLog before it is
	// compacted.
	minStaleObjects = 64
	// MaxStoredAnswerBytes is the maximum size of an answer that a claim stores.
	MaxStoredAnswerBytes = 64 << 10
)

// Limits bounds the state of the machine; a zero field means its default.
type Limits struct {
	MaxResults    int
	MaxTombstones int
	MaxClaims     int
	MaxClaimBytes int64
	ClaimTTL      time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.MaxResults == 0 {
		l.MaxResults = DefaultMaxResults
	}
	if l.MaxTombstones == 0 {
		l.MaxTombstones = DefaultMaxTombstones
	}
	if l.MaxClaims == 0 {
		l.MaxClaims = DefaultMaxClaims
	}
	if l.MaxClaimBytes == 0 {
		l.MaxClaimBytes = DefaultMaxClaimBytes
	}
	if l.ClaimTTL == 0 {
		l.ClaimTTL = DefaultClaimTTL
	}
	return l
}

// Result is the result of applying a command.
type Result struct {
	Change *eelpb.ChangeResult
	Claims []*eelpb.ClaimReply
}

// Machine is the state of one replica.
type Machine struct {
	mu      sync.RWMutex
	l       Limits
	version uint64
	objects map[string]*eelpb.Object
	// versionLog holds the objects in the order of their versions, and some stale ones that
	// were replaced or removed since.
	versionLog []*eelpb.Object
	// removed holds tombstones in the order of their versions.
	removed        []*eelpb.Object
	tombstoneFloor uint64
	results        map[string]*eelpb.ChangeResult
	resultOrder    []string
	lastChange     string
	lastAuthor     string
	nowMs          int64
	claims         claims
	changed        chan struct{}
}

// New returns an empty machine.
func New(l Limits) *Machine {
	l = l.withDefaults()
	return &Machine{
		l: l, objects: map[string]*eelpb.Object{}, results: map[string]*eelpb.ChangeResult{},
		claims: newClaims(l), changed: make(chan struct{}),
	}
}

// Apply applies a committed command.
func (m *Machine) Apply(c *eelpb.Command) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nowMs = max(m.nowMs, c.NowMs)
	var r Result
	if c.Change != nil {
		r.Change = m.change(c.Change)
	}
	if len(c.Claims) > 0 {
		m.claims.expire(m.nowMs)
	}
	for _, o := range c.Claims {
		r.Claims = append(r.Claims, m.claims.apply(o, m.nowMs))
	}
	return r
}

// change applies a change of the catalogue. A change id that is sent again gets its first
// result.
func (m *Machine) change(c *eelpb.Change) *eelpb.ChangeResult {
	if c.AnyBase {
		return m.merge(c)
	}
	if r, ok := m.results[c.ChangeId]; ok {
		return r
	}
	r := &eelpb.ChangeResult{ChangeId: c.ChangeId, Digest: c.Digest, AtMs: m.nowMs}
	if c.BaseVersion != m.version {
		r.Version = m.version
		r.WinnerChangeId, r.WinnerAuthor = m.lastChange, m.lastAuthor
		m.storeResult(r)
		return r
	}
	m.version++
	r.Accepted, r.Version = true, m.version
	m.lastChange, m.lastAuthor = c.ChangeId, c.Author
	for _, o := range c.Objects {
		m.put(o)
	}
	m.storeResult(r)
	close(m.changed)
	m.changed = make(chan struct{})
	return r
}

func (m *Machine) put(o *eelpb.Object) {
	k := o.Kind + "/" + o.Name
	n := &eelpb.Object{
		Kind: o.Kind, Name: o.Name, Owner: o.Owner, Spec: o.Spec,
		Version: m.version, Removed: o.Removed, Revision: o.Revision,
	}
	if !o.Removed {
		m.objects[k] = n
		m.versionLog = append(m.versionLog, n)
		if len(m.versionLog) > 2*len(m.objects)+minStaleObjects {
			m.versionLog = slices.DeleteFunc(m.versionLog, func(o *eelpb.Object) bool { return !m.isCurrent(o) })
		}
		return
	}
	delete(m.objects, k)
	m.removed = append(m.removed, n)
	if extra := len(m.removed) - m.l.MaxTombstones; extra > 0 {
		m.tombstoneFloor = m.removed[extra-1].Version
		m.removed = slices.Clone(m.removed[extra:])
	}
}

func (m *Machine) storeResult(r *eelpb.ChangeResult) {
	m.results[r.ChangeId] = r
	m.resultOrder = append(m.resultOrder, r.ChangeId)
	if extra := len(m.resultOrder) - m.l.MaxResults; extra > 0 {
		for _, id := range m.resultOrder[:extra] {
			delete(m.results, id)
		}
		m.resultOrder = slices.Clone(m.resultOrder[extra:])
	}
}

// Version returns the version of the catalogue.
func (m *Machine) Version() model.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return model.Version(m.version)
}

// Result returns the result of a change that was applied before.
func (m *Machine) Result(changeID string) (*eelpb.ChangeResult, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.results[changeID]
	return r, ok
}

// Claim returns the claim of a request id.
func (m *Machine) Claim(id model.RequestID) (*eelpb.ClaimRecord, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.claims.records[string(id)]
	return r, ok
}

// Claims returns the number of claims and the total size of their answers in bytes.
func (m *Machine) Claims() (int, int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.claims.records), m.claims.bytes
}

// Changed returns a channel that is closed at the next change of the catalogue.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Object returns one object, or nil.
func (m *Machine) Object(k model.ObjectKind, name string) *eelpb.Object {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.objects[string(k)+"/"+name]
}

// Find returns the objects of a kind for which match returns true.
func (m *Machine) Find(k model.ObjectKind, match func(*eelpb.Object) bool) []*eelpb.Object {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []*eelpb.Object
	for _, o := range m.objects {
		if o.Kind == string(k) && match(o) {
			out = append(out, o)
		}
	}
	return out
}

// Delta returns the objects that changed after a version, or a snapshot of all objects if
// the version is 0 or tombstones since then were dropped. Objects of the kinds in without are omitted
// unless they were removed.
func (m *Machine) Delta(after uint64, without ...string) *eelpb.PullReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := &eelpb.PullReply{Version: m.version, Snapshot: after < m.tombstoneFloor || after == 0}
	if r.Snapshot {
		after = 0
	}
	for _, o := range newerThan(m.versionLog, after) {
		if m.isCurrent(o) && !slices.Contains(without, o.Kind) {
			r.Objects = append(r.Objects, o)
		}
	}
	if !r.Snapshot {
		r.Objects = append(r.Objects, m.removedAfter(after)...)
	}
	return r
}

// isCurrent reports whether an object of versionLog was neither replaced nor removed since.
func (m *Machine) isCurrent(o *eelpb.Object) bool { return m.objects[o.Kind+"/"+o.Name] == o }

// newerThan returns the objects after a version in a list that is ordered by version.
func newerThan(list []*eelpb.Object, version uint64) []*eelpb.Object {
	i, _ := slices.BinarySearchFunc(list, version, func(o *eelpb.Object, v uint64) int {
		if o.Version <= v {
			return -1
		}
		return 1
	})
	return list[i:]
}

// removedAfter returns the latest tombstone after a version of each object that does not exist
// again.
func (m *Machine) removedAfter(after uint64) []*eelpb.Object {
	var out []*eelpb.Object
	seen := map[string]bool{}
	for _, o := range slices.Backward(newerThan(m.removed, after)) {
		k := o.Kind + "/" + o.Name
		if _, ok := m.objects[k]; !ok && !seen[k] {
			seen[k] = true
			out = append(out, o)
		}
	}
	slices.Reverse(out)
	return out
}

// Objects returns the objects of the catalogue, sorted by key, and its version.
func (m *Machine) Objects() ([]model.Object, model.Version) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]model.Object, 0, len(m.objects))
	for _, o := range m.objects {
		out = append(out, ToModel(o))
	}
	slices.SortFunc(out, func(a, b model.Object) int { return strings.Compare(a.Key(), b.Key()) })
	return out, model.Version(m.version)
}

// ToModel converts a stored object to an object of the catalogue.
func ToModel(o *eelpb.Object) model.Object {
	return model.Object{
		Kind: model.ObjectKind(o.Kind), Name: o.Name, Owner: model.OwnerID(o.Owner),
		Version: model.Version(o.Version), Spec: o.Spec,
	}
}

// Image returns the complete state for a snapshot.
func (m *Machine) Image() *eelpb.StateImage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &eelpb.StateImage{
		Version: m.version, NowMs: m.nowMs, TombstoneFloor: m.tombstoneFloor,
		LastChangeId: m.lastChange, LastAuthor: m.lastAuthor,
	}
	for _, o := range m.objects {
		s.Objects = append(s.Objects, o)
	}
	slices.SortFunc(s.Objects, func(a, b *eelpb.Object) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	s.Objects = append(s.Objects, m.removed...)
	for _, id := range m.resultOrder {
		s.Results = append(s.Results, m.results[id])
	}
	s.Claims = m.claims.image()
	return s
}

// Restore replaces the state by an image.
func (m *Machine) Restore(s *eelpb.StateImage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version, m.nowMs, m.tombstoneFloor = s.Version, s.NowMs, s.TombstoneFloor
	m.lastChange, m.lastAuthor = s.LastChangeId, s.LastAuthor
	m.objects, m.versionLog, m.removed = map[string]*eelpb.Object{}, nil, nil
	for _, o := range s.Objects {
		if o.Removed {
			m.removed = append(m.removed, o)
			continue
		}
		m.objects[o.Kind+"/"+o.Name] = o
		m.versionLog = append(m.versionLog, o)
	}
	slices.SortFunc(m.versionLog, func(a, b *eelpb.Object) int { return cmp.Compare(a.Version, b.Version) })
	m.results, m.resultOrder = map[string]*eelpb.ChangeResult{}, nil
	for _, r := range s.Results {
		m.results[r.ChangeId] = r
		m.resultOrder = append(m.resultOrder, r.ChangeId)
	}
	m.claims = newClaims(m.l)
	m.claims.restore(s.Claims)
	close(m.changed)
	m.changed = make(chan struct{})
}
