package server

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

const (
	// heardEvery is how often a replica tells the leader whom it has heard.
	heardEvery = time.Second
	// goneLife is how long the record of a target that left outlives it, so that
	// announcements which a partition held up find it.
	goneLife = time.Minute
	// silentBeats is how many announcements in a row a target may miss; the
	// entries pass over targets that do not answer long before.
	silentBeats = 5
	// sweepTimeout bounds the removal of silent targets.
	sweepTimeout = 2 * time.Second
)

// registry is what a replica has heard of targets. The facts about a target are
// replicated; when it was heard last is known to the leader only.
type registry struct {
	mu sync.Mutex
	// fresh are the targets heard since the last report to the leader.
	fresh map[string]bool
	// seen is when each target was heard, by the leader of the term.
	seen map[string]time.Duration
	term raft.Term
	// known are the announcements that the catalogue has already, by target.
	known map[string]known
}

// known is a target as the catalogue holds it; object tells whether that is still so.
type known struct {
	object *eelpb.Object
	target model.Target
}

// Announce takes a target's announcement. It returns without an error only when
// what the announcement says is committed.
func (s *Server) Announce(ctx context.Context, t model.Target, sequence uint64) error {
	o := s.o.Node.Machine().Object(model.ObjectTarget, string(t.ID))
	if o != nil && s.registry.says(o, t) {
		s.registry.heard(string(t.ID))
		return nil
	}
	if o != nil && revision(t.Incarnation, sequence) <= o.Revision {
		level.Info(s.o.Log).Log("msg", "announcement passed over", "target", t.ID, "incarnation", t.Incarnation,
			"sequence", sequence, "reason", "a later one is known")
		return nil
	}
	n, err := object(model.ObjectTarget, string(t.ID), revision(t.Incarnation, sequence), t)
	if err != nil {
		return err
	}
	replaced, later, err := s.othersAt(t)
	if err != nil {
		return err
	}
	if later != "" {
		level.Info(s.o.Log).Log("msg", "announcement passed over", "target", t.ID, "incarnation", t.Incarnation,
			"sequence", sequence, "reason", "a later target has the address", "later", later)
		return nil
	}
	v, err := s.write(ctx, append(replaced, n)...)
	if err != nil {
		return err // The call that brought the announcement is logged as not acknowledged.
	}
	level.Info(s.o.Log).Log("msg", "target announced", "target", t.ID, "service", t.Service, "state", t.State, "addr", t.Addr,
		"failureDomain", t.FailureDomain, "coldMillis", t.ColdMillis, "incarnation", t.Incarnation, "sequence", sequence,
		"version", v)
	s.registry.heard(string(t.ID))
	return nil
}

// othersAt returns writes that withdraw the targets which had the address of a
// target before it, or the id of one that started there later: then the
// announcement was held up, and its sender has ended.
func (s *Server) othersAt(t model.Target) ([]*eelpb.Object, model.TargetID, error) {
	addr, err := json.Marshal(t.Addr)
	if err != nil {
		return nil, "", errs.New("server.othersAt", KindInvalid, err)
	}
	var out []*eelpb.Object
	same := s.o.Node.Machine().Find(model.ObjectTarget, func(o *eelpb.Object) bool {
		return o.Name != string(t.ID) && bytes.Contains(o.Spec, addr)
	})
	for _, o := range same {
		x := model.Target{ID: model.TargetID(o.Name)}
		if err := json.Unmarshal(o.Spec, &x); err != nil {
			return nil, "", errs.New("server.othersAt", KindInvalid, err)
		}
		if x.Addr != t.Addr || x.State == model.TargetGone {
			continue
		}
		if x.Incarnation > t.Incarnation {
			return nil, x.ID, nil
		}
		x.State, x.ColdMillis = model.TargetGone, 0
		n, err := object(model.ObjectTarget, o.Name, revision(x.Incarnation, maxSequence), x)
		if err != nil {
			return nil, "", err
		}
		out = append(out, n)
	}
	return out, "", nil
}

// Withdraw takes a target out for good. Incarnation 0 means the present one.
func (s *Server) Withdraw(ctx context.Context, id model.TargetID, incarnation uint64) error {
	o := s.o.Node.Machine().Object(model.ObjectTarget, string(id))
	if o == nil {
		// This replica may be behind; the leader's word counts.
		r, err := atLeader(ctx, s, func(c context.Context, l eelpb.State) (*eelpb.ReadReply, error) {
			return l.Read(c, &eelpb.ReadRequest{Kind: string(model.ObjectTarget), Name: string(id)})
		})
		if err != nil {
			return err
		}
		o = r.Object
	}
	t := model.Target{ID: id}
	if o != nil {
		if err := json.Unmarshal(o.Spec, &t); err != nil {
			return errs.New("server.Withdraw", KindInvalid, err)
		}
	}
	if incarnation != 0 && incarnation < t.Incarnation {
		level.Info(s.o.Log).Log("msg", "withdrawal passed over", "target", id, "incarnation", incarnation, "held", t.Incarnation)
		return nil
	}
	t.Incarnation, t.State, t.ColdMillis = max(t.Incarnation, incarnation), model.TargetGone, 0
	n, err := object(model.ObjectTarget, string(id), revision(t.Incarnation, maxSequence), t)
	if err != nil {
		return err
	}
	v, err := s.write(ctx, n)
	level.Info(s.o.Log).Log("msg", "target withdrawn", "target", id, "incarnation", t.Incarnation, "version", v, "err", err)
	return err
}

// revision orders the announcements of one target: by incarnation, then by sequence.
func revision(incarnation, sequence uint64) uint64 {
	return incarnation<<incarnationShift | min(sequence, maxSequence)
}

// says tells whether the catalogue already holds what a target announces.
func (r *registry) says(o *eelpb.Object, t model.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.known[o.Name]
	if !ok || k.object != o {
		k = known{object: o, target: model.Target{ID: t.ID}}
		if json.Unmarshal(o.Spec, &k.target) != nil {
			return false
		}
		if r.known == nil {
			r.known = map[string]known{}
		}
		r.known[o.Name] = k
	}
	held := k.target
	// A cold target counts down; only a start, an end or more of it is news.
	warming := t.ColdMillis > 0 && t.ColdMillis <= held.ColdMillis
	if warming {
		held.ColdMillis = t.ColdMillis
	}
	return held == t
}

func (r *registry) heard(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fresh == nil {
		r.fresh = map[string]bool{}
	}
	r.fresh[id] = true
}

// take returns the targets heard since the last call.
func (r *registry) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.fresh))
	for id := range r.fresh {
		out = append(out, id)
	}
	r.fresh = nil
	return out
}

// mark notes at the leader of a term that targets were heard.
func (r *registry) mark(ids []string, term raft.Term, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil || r.term != term {
		r.term, r.seen = term, map[string]time.Duration{}
	}
	for _, id := range ids {
		r.seen[id] = now
	}
}

// silent returns the targets of the list that were not heard for long enough.
// A new leader gives each of them the whole time again.
func (r *registry) silent(targets []*eelpb.Object, life time.Duration, now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	present := map[string]bool{}
	for _, o := range targets {
		present[o.Name] = true
		at, ok := r.seen[o.Name]
		if !ok {
			r.seen[o.Name] = now
			continue
		}
		limit := life
		if bytes.Contains(o.Spec, []byte(`"`+string(model.TargetGone)+`"`)) {
			limit = goneLife
		}
		if now-at > limit {
			out = append(out, o.Name)
		}
	}
	for id := range r.seen {
		if !present[id] {
			delete(r.seen, id)
		}
	}
	return out
}

// Heard takes another replica's report.
func (t stateService) Heard(_ context.Context, q *eelpb.HeardRequest) (*eelpb.HeardReply, error) {
	term, _, ok := t.s.o.Node.Leadership()
	if !ok {
		return nil, t.s.notLeader()
	}
	t.s.registry.mark(q.Targets, term, t.s.o.Node.Now())
	return &eelpb.HeardReply{}, nil
}

// tend reports whom this replica heard, and at the leader forgets silent targets.
func (s *Server) tend(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	ids := s.registry.take()
	term, _, ok := s.o.Node.Leadership()
	if !ok {
		if len(ids) == 0 {
			return
		}
		_, err := atLeader(c, s, func(c context.Context, l eelpb.State) (*eelpb.HeardReply, error) {
			return l.Heard(c, &eelpb.HeardRequest{Targets: ids})
		})
		if err != nil {
			level.Debug(s.o.Log).Log("msg", "heard targets not reported", "err", err)
		}
		return
	}
	s.registry.mark(ids, term, s.o.Node.Now())
	targets := s.o.Node.Machine().Find(model.ObjectTarget, func(*eelpb.Object) bool { return true })
	for _, id := range s.registry.silent(targets, s.o.Heartbeat*silentBeats, s.o.Node.Now()) {
		level.Info(s.o.Log).Log("msg", "target fell silent", "target", id)
		q := &eelpb.Change{Author: systemOwner, Objects: []*eelpb.Object{{Kind: string(model.ObjectTarget), Name: id, Removed: true}}}
		if _, err := s.submit(c, q); err != nil {
			level.Warn(s.o.Log).Log("msg", "silent target not removed", "target", id, "err", err)
		}
	}
}

// settle puts the places of the settings into the catalogue where they are missing.
func (s *Server) settle(ctx context.Context) {
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
			level.Error(s.o.Log).Log("msg", "place not encoded", "name", name, "err", err)
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
	c, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	if _, err := s.submit(c, &eelpb.Change{Author: systemOwner, Objects: missing}); err != nil {
		level.Warn(s.o.Log).Log("msg", "places not committed", "err", err)
	}
}
