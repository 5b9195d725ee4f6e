package server

import (
	"context"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/poison"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

const (
	// decideInterval is the interval at which the leader decides on requests that may end targets,
	// while there are any.
	decideInterval = 50 * time.Millisecond
	// idleDecideInterval is the interval at which it drops old evidence, and resumes what a former
	// leader began.
	idleDecideInterval = time.Second
)

// recordEvidence records what a renewal reports of requests that may end targets. The caller holds
// mu.
func (s *Server) recordEvidence(q *eelpb.RenewRequest) {
	now := s.o.Node.Now()
	since := func(ms uint64) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	for _, e := range q.Ends {
		x := poison.End{VM: model.VMID(q.Vm), Target: model.TargetID(e.Target), Incarnation: e.Incarnation, At: since(e.AgeMs)}
		for _, r := range e.Requests {
			if len(r.Digest) == len(model.RequestDigest{}) {
				x.Requests = append(x.Requests, poison.Request{
					Digest: model.RequestDigest(r.Digest), Route: model.RouteID(r.Route), Service: model.ServiceID(r.Service),
				})
			}
		}
		s.suspects.RecordEnd(x)
		level.Info(s.o.Log).Log("msg", "target end reported", "target", x.Target, "incarnation", x.Incarnation, "vm", x.VM,
			"requests", len(x.Requests), "ageMillis", e.AgeMs)
	}
	for _, w := range q.Wholes {
		if len(w.Digest) == len(model.RequestDigest{}) {
			s.suspects.RecordWhole(model.RequestDigest(w.Digest), since(w.AgeMs))
		}
	}
	if len(q.Ends)+len(q.Wholes) > 0 {
		select {
		case s.newEvidence <- struct{}{}:
		default:
		}
	}
}

// permitTrials permits the trials that a renewal asks for and that are due. The caller holds mu.
func (s *Server) permitTrials(q *eelpb.RenewRequest, a *eelpb.RenewReply) {
	a.PermitsTrials = true
	if a.WantTargets {
		return // The entry takes nothing else from the reply.
	}
	for _, b := range q.Trials {
		if len(b) != len(model.RequestDigest{}) || !s.suspects.PermitTrial(model.RequestDigest(b), s.o.Node.Now()) {
			continue
		}
		a.Trials = append(a.Trials, b)
		level.Info(s.o.Log).Log("msg", "suspected request permitted", "digest", model.RequestDigest(b), "vm", q.Vm)
	}
}

// decideLoop decides on requests that may end targets whenever there is new evidence.
func (s *Server) decideLoop(ctx context.Context) error {
	t := time.NewTicker(idleDecideInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.newEvidence:
		case <-t.C:
		}
		for s.decide(ctx) {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(decideInterval):
			}
		}
	}
}

// decide commits the decisions that follow from the evidence, and reports whether there are requests
// on which to decide again soon.
func (s *Server) decide(ctx context.Context) (pending bool) {
	s.mu.Lock()
	// The leader's ledgers begin with the first renewal: that of allowances gathers reports from then on.
	t, _, leads := s.o.Node.Leadership()
	l := s.suspects
	if !leads || l == nil || s.term != t {
		s.mu.Unlock()
		return false
	}
	if s.mayBeRefused() {
		s.mu.Unlock()
		return false
	}
	changes := l.Decide(s.isQuarantined, s.o.Node.Now())
	pending = l.Pending()
	s.mu.Unlock()
	if len(changes) == 0 {
		return pending
	}
	err := s.commitQuarantine(ctx, changes)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range changes {
		l.Committed(x, err == nil, s.o.Node.Now())
	}
	return true
}

// mayBeRefused reports whether an entry of the group may refuse a catalogue with an object of a later kind. The caller
// holds mu.
func (s *Server) mayBeRefused() bool {
	now := s.o.Node.Now()
	if now-s.ledgersFrom < gatherTime {
		return true
	}
	vm := s.formats.refusing(now)
	if vm != s.refusedBy {
		s.refusedBy = vm
		level.Warn(s.o.Log).Log("msg", "quarantine suspended", "until", "no entry of an earlier build refuses it", "vm", vm)
	}
	return vm != ""
}

func (s *Server) isQuarantined(d model.RequestDigest) bool {
	return s.o.Node.Machine().Object(model.ObjectQuarantine, d.String()) != nil
}

func (s *Server) commitQuarantine(ctx context.Context, changes []poison.Change) error {
	q := &eelpb.Change{Author: systemOwner}
	for _, x := range changes {
		o := &eelpb.Object{Kind: string(model.ObjectQuarantine), Name: x.Digest.String(), Removed: true}
		if x.Quarantine != nil {
			x.Quarantine.SinceMillis = uint64(time.Now().UnixMilli())
			var err error
			if o, err = object(model.ObjectQuarantine, x.Digest.String(), 0, x.Quarantine); err != nil {
				return err
			}
		}
		q.Objects = append(q.Objects, o)
	}
	c, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	r, err := s.submitAsLeader(c, q)
	for _, x := range changes {
		state := model.QuarantineState("cleared")
		var ends []model.TargetEnd
		var route model.RouteID
		if x.Quarantine != nil {
			state, ends, route = x.Quarantine.State, x.Quarantine.Ends, x.Quarantine.Route
		}
		targets := make([]model.TargetID, len(ends))
		for i, e := range ends {
			targets[i] = e.Target
		}
		level.Warn(s.o.Log).Log("msg", "request quarantine changed", "digest", x.Digest, "state", state, "route", route,
			"ended", joinIDs(targets), "version", r.GetVersion(), "err", err)
	}
	return err
}

func joinIDs(ids []model.TargetID) string {
	out := ""
	for i, id := range ids {
		if i > 0 {
			out += " "
		}
		out += string(id)
	}
	return out
}
