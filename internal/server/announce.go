package server

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

// Announce processes a target's announcement. It returns nil only if the announced state is
// committed or the announcement is out of date.
func (s *Server) Announce(ctx context.Context, t model.Target, sequence uint64) error {
	if err := t.Check(); err != nil {
		return errs.New("server.Announce", KindInvalid, err)
	}
	if err := model.CheckSequence(sequence); err != nil {
		return errs.New("server.Announce", KindInvalid, err)
	}
	received := s.now()
	o := s.o.Node.Machine().Object(model.ObjectTarget, string(t.ID))
	cold := s.registry.recordAnnouncement(o, t, sequence, received)
	if o != nil && cold != "" {
		t.ColdMillis = s.registry.distinctCold(o, t)
	}
	if o != nil && cold == "" && s.registry.isCommitted(o, t) {
		s.registry.observe(string(t.ID))
		return nil
	}
	if o != nil && (revision(t.Incarnation, sequence) <= o.Revision || s.registry.isGone(o, t.Incarnation)) {
		level.Info(s.o.Log).Log("msg", "announcement ignored", "target", t.ID, "incarnation", t.Incarnation,
			"sequence", sequence, "reason", "a later announcement is known")
		return nil
	}
	n, err := object(model.ObjectTarget, string(t.ID), revision(t.Incarnation, sequence), t)
	if err != nil {
		return err
	}
	replaced, later, err := s.addressConflicts(t)
	if err != nil {
		return err
	}
	if later != "" {
		level.Info(s.o.Log).Log("msg", "announcement ignored", "target", t.ID, "incarnation", t.Incarnation,
			"sequence", sequence, "reason", "a later target has the address", "later", later)
		return nil
	}
	v, err := s.writeTarget(ctx, n, replaced...)
	if err != nil {
		return err // The request handler logs that the announcement was not acknowledged.
	}
	s.registry.recordCommit(t, sequence, received)
	level.Info(s.o.Log).Log("msg", "target announced", "target", t.ID, "service", t.Service, "state", t.State, "addr", t.Addr,
		"failureDomain", t.FailureDomain, "coldMillis", t.ColdMillis, "coldReason", cold, "incarnation", t.Incarnation, "sequence", sequence,
		"version", v)
	s.registry.observe(string(t.ID))
	return nil
}

// writeTarget commits a target, and others that it replaces. The lowest revision of a target is
// not combined with other writes, since it has an effect only where there is no such target.
func (s *Server) writeTarget(ctx context.Context, t *eelpb.Object, replaced ...*eelpb.Object) (uint64, error) {
	if t.Revision > 0 {
		return s.write(ctx, append(replaced, t)...)
	}
	r, err := s.submit(ctx, &eelpb.Change{Author: systemOwner, Objects: append([]*eelpb.Object{t}, replaced...)})
	return r.GetVersion(), err
}

// addressConflicts returns writes that withdraw the targets that used the address of t before
// t started. If another target started at the address later, it returns that target's id
// instead: then the announcement of t was delayed, and t has ended. A target of a service that
// the routing does not name may be an announcement of another writer, and tells nothing of those
// of the services that it names.
func (s *Server) addressConflicts(t model.Target) ([]*eelpb.Object, model.TargetID, error) {
	s.mu.Lock()
	s.refresh()
	routing := s.catalogue.Routing
	s.mu.Unlock()
	isRouted := func(n model.ServiceID) bool {
		if routing == nil {
			return true
		}
		_, ok := routing.Service(n)
		return ok
	}
	addr, err := json.Marshal(t.Addr)
	if err != nil {
		return nil, "", errs.New("server.addressConflicts", KindInvalid, err)
	}
	var out []*eelpb.Object
	others := s.o.Node.Machine().Find(model.ObjectTarget, func(o *eelpb.Object) bool {
		return o.Name != string(t.ID) && bytes.Contains(o.Spec, addr)
	})
	for _, o := range others {
		x := model.Target{ID: model.TargetID(o.Name)}
		if err := json.Unmarshal(o.Spec, &x); err != nil || x.Check() != nil {
			continue // It is left out of the catalogue, so it gets no requests.
		}
		if x.Addr != t.Addr || x.State == model.TargetGone || isRouted(x.Service) != isRouted(t.Service) {
			continue
		}
		if x.Incarnation > t.Incarnation {
			return nil, x.ID, nil
		}
		x.State, x.ColdMillis = model.TargetGone, 0
		n, err := object(model.ObjectTarget, o.Name, s.registry.goneRevision(o, x), x)
		if err != nil {
			return nil, "", err
		}
		out = append(out, n)
	}
	return out, "", nil
}

// Withdraw marks an incarnation of a target as gone, for good. Incarnation 0 means the one that is
// current while the caller waits, which it does for the given time.
func (s *Server) Withdraw(ctx context.Context, id model.TargetID, incarnation uint64, patience time.Duration) error {
	x := s.newSender(ctx, patience)
	if err := (model.Target{ID: id, State: model.TargetGone, Incarnation: incarnation}).Check(); err != nil {
		return errs.New("server.Withdraw", KindInvalid, err)
	}
	o := s.o.Node.Machine().Object(model.ObjectTarget, string(id))
	if o == nil || incarnation == 0 {
		// The current incarnation may not be known here yet.
		r, err := s.readLeader(ctx, model.ObjectTarget, string(id))
		if err != nil {
			return err
		}
		o = r.Object
		if incarnation == 0 && !x.waits() {
			return errs.Newf("server.Withdraw", KindExpired, "another incarnation of target %s may have started since", id)
		}
	}
	t := model.Target{ID: id}
	if o != nil {
		if err := json.Unmarshal(o.Spec, &t); err != nil || t.Check() != nil {
			level.Warn(s.o.Log).Log("msg", "stored target not decoded", "target", id, "err", err)
			t = model.Target{ID: id}
		}
	}
	if incarnation != 0 && incarnation < t.Incarnation {
		level.Info(s.o.Log).Log("msg", "withdrawal ignored", "target", id, "incarnation", incarnation, "held", t.Incarnation)
		return nil
	}
	if t.State == model.TargetGone && incarnation <= t.Incarnation {
		return nil // The withdrawal was sent again.
	}
	t.Incarnation, t.State, t.ColdMillis = max(t.Incarnation, incarnation), model.TargetGone, 0
	n, err := object(model.ObjectTarget, string(id), s.registry.goneRevision(o, t), t)
	if err != nil {
		return err
	}
	v, err := s.write(ctx, n)
	level.Info(s.o.Log).Log("msg", "target withdrawn", "target", id, "incarnation", t.Incarnation, "version", v, "err", err)
	return err
}

// revision returns a number that orders the announcements of a target by incarnation, then by
// sequence.
func revision(incarnation, sequence uint64) uint64 {
	r := incarnation << sequenceBits
	return r + min(sequence, math.MaxUint64-r)
}
