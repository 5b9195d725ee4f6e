package server

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

const (
	// heartbeatReportInterval is the interval at which a replica reports to the leader the
	// targets that have announced themselves to it.
	heartbeatReportInterval = time.Second
	// goneRetention is how long the record of a target that left is kept, so that an
	// announcement delayed by a partition is recognized as old.
	goneRetention = time.Minute
	// maxMissedHeartbeats is the number of consecutive announcements that a target may
	// miss. The entries skip an unresponsive target long before.
	maxMissedHeartbeats = 5
	// maintenanceTimeout bounds one report of heartbeats, one sweep of expired targets, or one
	// commit of missing regions and failure domains.
	maintenanceTimeout = 2 * time.Second
)

// registry tracks the announcements of targets that a replica received. The attributes of a
// target are replicated; the time of its last heartbeat is known to the leader only.
type registry struct {
	mu sync.Mutex
	// unreported is the set of targets that sent an announcement since the last report to
	// the leader.
	unreported map[string]bool
	// lastHeartbeat is the time of each target's last heartbeat, kept by the leader of term.
	lastHeartbeat map[string]time.Duration
	term          raft.Term
	// announcements holds the last announcement of each target that this replica received.
	announcements map[model.TargetID]announcement
	// decoded caches the decoded targets of the catalogue, by id.
	decoded map[string]decoded
	// coldAgain and coldUnknown count commits of a cold time by reason.
	coldAgain, coldUnknown int64
}

// decoded is a target of the catalogue. It is valid while the catalogue holds the same object.
type decoded struct {
	object *eelpb.Object
	target model.Target
}

// announcement is the last announcement that this replica has received from a target.
type announcement struct {
	incarnation, sequence uint64
	coldMillis            model.Millis
	// coldUntil is when the target becomes warm by what this replica committed of it. The entries
	// add model.AnnouncementDelay.
	coldUntil time.Duration
	// coldReason is why the cold time has to be committed anew, until it is.
	coldReason coldReason
}

// coldReason is why the cold time of a target that is warming up has to be committed anew.
type coldReason string

const (
	// coldAgain means that the target became cold again.
	coldAgain coldReason = "again"
	// coldUnknown means that this replica has not received the announcement before, so that it does
	// not know when the target becomes warm by what is committed.
	coldUnknown coldReason = "unknown"
)

// recordAnnouncement records an announcement unless it is late, and returns why its cold time has to be
// committed anew, or "". o is the stored object or nil.
func (r *registry) recordAnnouncement(o *eelpb.Object, t model.Target, sequence uint64, now time.Duration) coldReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.announcements[t.ID]
	if ok && (t.Incarnation < last.incarnation || t.Incarnation == last.incarnation && sequence <= last.sequence) {
		return ""
	}
	if r.announcements == nil {
		r.announcements = map[model.TargetID]announcement{}
	}
	next := announcement{incarnation: t.Incarnation, sequence: sequence, coldMillis: t.ColdMillis}
	known := ok && t.Incarnation == last.incarnation
	if known {
		next.coldUntil = last.coldUntil
	}
	switch {
	case t.ColdMillis == 0:
	case !known:
		if r.holds(o, t.Incarnation) {
			next.coldReason = coldUnknown
		}
	case last.coldReason != "":
		next.coldReason = last.coldReason
	case t.ColdMillis > last.coldMillis, now+t.ColdMillis.Duration() > last.coldUntil+model.AnnouncementDelay:
		// The second one is beyond what the entries assume. A later end within the allowance
		// may be a delay of the announcement, and is covered.
		next.coldReason = coldAgain
	}
	r.announcements[t.ID] = next
	return next.coldReason
}

// holds reports whether the stored object is of an incarnation; the caller holds the lock.
func (r *registry) holds(o *eelpb.Object, incarnation uint64) bool {
	if o == nil {
		return false
	}
	x, ok := r.decode(o)
	return ok && x.Incarnation == incarnation
}

// recordCommit records that the announcement with a sequence number, received at a time, is committed.
func (r *registry) recordCommit(t model.Target, sequence uint64, received time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.announcements[t.ID]
	if !ok || last.incarnation != t.Incarnation {
		return
	}
	if t.ColdMillis > 0 {
		last.coldUntil = max(last.coldUntil, received+t.ColdMillis.Duration())
	}
	if last.sequence == sequence {
		r.countCold(last.coldReason)
		last.coldReason = ""
	}
	r.announcements[t.ID] = last
}

// countCold counts a commit of a cold time; the caller holds the lock.
func (r *registry) countCold(why coldReason) {
	switch why {
	case coldAgain:
		r.coldAgain++
	case coldUnknown:
		r.coldUnknown++
	}
}

// distinctCold returns for how long a target that is cold again stays cold, such that it differs from
// what is stored by a millisecond at least: entries of former builds recognize a new cold time by the
// difference, others by the version of the record.
func (r *registry) distinctCold(o *eelpb.Object, t model.Target) model.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.decode(o); ok && x.Incarnation == t.Incarnation && x.ColdMillis == t.ColdMillis {
		return t.ColdMillis + 1
	}
	return t.ColdMillis
}

// goneRevision returns the revision of the withdrawal of an incarnation, which is above those of its
// announcements, also of some that are late. o is the stored object or nil.
func (r *registry) goneRevision(o *eelpb.Object, t model.Target) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sequence := uint64(0)
	if first := revision(t.Incarnation, 0); o.GetRevision() > first && o.GetRevision()-first <= model.MaxSequence {
		sequence = o.GetRevision() - first
	}
	if last := r.announcements[t.ID]; last.incarnation == t.Incarnation {
		sequence = max(sequence, last.sequence)
	}
	const lateFactor = 2
	return revision(t.Incarnation, max(minGoneSequence, lateFactor*sequence))
}

// prune drops what is kept of targets that the catalogue no longer holds.
func (r *registry) prune(m *state.Machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.decoded, func(id string, _ decoded) bool { return m.Object(model.ObjectTarget, id) == nil })
	maps.DeleteFunc(r.announcements, func(id model.TargetID, _ announcement) bool { return m.Object(model.ObjectTarget, string(id)) == nil })
}

// decode returns the target of an object, and whether it can be decoded; the caller holds the lock.
func (r *registry) decode(o *eelpb.Object) (model.Target, bool) {
	k, ok := r.decoded[o.Name]
	if !ok || k.object != o {
		k = decoded{object: o, target: model.Target{ID: model.TargetID(o.Name)}}
		if json.Unmarshal(o.Spec, &k.target) != nil {
			return k.target, false
		}
		if r.decoded == nil {
			r.decoded = map[string]decoded{}
		}
		r.decoded[o.Name] = k
	}
	return k.target, true
}

// isGone reports whether the catalogue holds the withdrawal of an incarnation.
func (r *registry) isGone(o *eelpb.Object, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.decode(o)
	return ok && x.State == model.TargetGone && incarnation <= x.Incarnation
}

// isCommitted reports whether the catalogue already holds the announced state of a target.
func (r *registry) isCommitted(o *eelpb.Object, t model.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	committed, ok := r.decode(o)
	if !ok {
		return false
	}
	// ColdMillis counts down while a target warms up. Only the start, the end or a later end
	// is committed; recordAnnouncement finds a later end whose time is still below what is stored.
	warming := t.ColdMillis > 0 && t.ColdMillis <= committed.ColdMillis
	if warming {
		committed.ColdMillis = t.ColdMillis
	}
	return committed == t
}

func (r *registry) observe(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreported == nil {
		r.unreported = map[string]bool{}
	}
	r.unreported[id] = true
}

// takeUnreported returns the targets observed since the last call.
func (r *registry) takeUnreported() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.unreported))
	for id := range r.unreported {
		out = append(out, id)
	}
	r.unreported = nil
	return out
}

// recordHeartbeats records heartbeats of targets at the leader of a term.
func (r *registry) recordHeartbeats(ids []string, term raft.Term, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastHeartbeat == nil || r.term != term {
		r.term, r.lastHeartbeat = term, map[string]time.Duration{}
	}
	for _, id := range ids {
		r.lastHeartbeat[id] = now
	}
}

// expired returns the targets of the list without a heartbeat within the timeout, or within
// goneRetention for those that left. A new leader restarts the time for each target.
func (r *registry) expired(targets []*eelpb.Object, timeout time.Duration, now time.Duration) []*eelpb.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*eelpb.Object
	present := map[string]bool{}
	for _, o := range targets {
		present[o.Name] = true
		at, ok := r.lastHeartbeat[o.Name]
		if !ok {
			r.lastHeartbeat[o.Name] = now
			continue
		}
		limit := timeout
		if bytes.Contains(o.Spec, []byte(`"`+string(model.TargetGone)+`"`)) {
			limit = goneRetention
		}
		if now-at > limit {
			out = append(out, o)
		}
	}
	for id := range r.lastHeartbeat {
		if !present[id] {
			delete(r.lastHeartbeat, id)
		}
	}
	return out
}

// Heard receives another replica's report of target heartbeats.
func (t stateService) Heard(_ context.Context, q *eelpb.HeardRequest) (*eelpb.HeardReply, error) {
	term, _, ok := t.s.o.Node.Leadership()
	if !ok {
		return nil, t.s.notLeader()
	}
	t.s.registry.recordHeartbeats(q.Targets, term, t.s.o.Node.Now())
	return &eelpb.HeardReply{}, nil
}

// maintainTargets reports the targets observed by this replica to the leader. At the leader
// it records them and removes expired targets.
func (s *Server) maintainTargets(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	s.registry.prune(s.o.Node.Machine())
	ids := s.registry.takeUnreported()
	term, _, ok := s.o.Node.Leadership()
	if !ok {
		if len(ids) == 0 {
			return
		}
		_, err := callLeader(c, s, func(c context.Context, l eelpb.State) (*eelpb.HeardReply, error) {
			return l.Heard(c, &eelpb.HeardRequest{Targets: ids})
		})
		if err != nil {
			level.Debug(s.o.Log).Log("msg", "target heartbeat report failed", "err", err)
		}
		return
	}
	s.registry.recordHeartbeats(ids, term, s.o.Node.Now())
	targets := s.o.Node.Machine().Find(model.ObjectTarget, func(*eelpb.Object) bool { return true })
	for _, o := range s.registry.expired(targets, s.o.Heartbeat*maxMissedHeartbeats, s.o.Node.Now()) {
		s.removeSilent(c, o)
	}
}

// removeSilent removes a silent target, unless it has announced itself since its object was read.
func (s *Server) removeSilent(ctx context.Context, o *eelpb.Object) {
	level.Info(s.o.Log).Log("msg", "target fell silent", "target", o.Name)
	q := &eelpb.Change{Author: systemOwner, Objects: []*eelpb.Object{{
		Kind: string(model.ObjectTarget), Name: o.Name, Removed: true, Revision: o.Revision + 1,
	}}}
	if _, err := s.submitAsLeader(ctx, q); err != nil {
		level.Warn(s.o.Log).Log("msg", "expired target removal failed", "target", o.Name, "err", err)
	}
}

// ensureDomains adds the missing regions and failure domains of the settings to the catalogue.
func (s *Server) ensureDomains(ctx context.Context) {
	if !s.o.Node.IsLeader() {
		return
	}
	var missing []*eelpb.Object
	add := func(k model.ObjectKind, name string, spec any) {
		if s.o.Node.Machine().Object(k, name) != nil {
			return
		}
		o, err := object(k, name, 0, spec)
		if err != nil {
			level.Error(s.o.Log).Log("msg", "region or failure domain not encoded", "name", name, "err", err)
			return
		}
		missing = append(missing, o)
	}
	for d, r := range s.o.DomainRegions() {
		add(model.ObjectRegion, string(r), struct{}{})
		add(model.ObjectFailureDomain, string(d), model.FailureDomain{Region: r})
	}
	if len(missing) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if _, err := s.submitAsLeader(c, &eelpb.Change{Author: systemOwner, Objects: missing}); err != nil {
		level.Warn(s.o.Log).Log("msg", "regions and failure domains not committed", "err", err)
	}
}
