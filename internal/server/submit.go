package server

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
)

const (
	// systemOwner is the owner of the objects that the system maintains.
	systemOwner = "system"
	// submitTimeout bounds one attempt at the leader. A commit takes some 100 ms across
	// regions, and an operator's client tries another replica after 1 s.
	submitTimeout       = 900 * time.Millisecond
	submitRetryInterval = 30 * time.Millisecond
	// sequenceBits is the number of low bits of a target's revision that hold the
	// sequence number of its announcement; the higher bits hold the incarnation. Higher sequence
	// numbers are added to the incarnation, which is a time in milliseconds: the next incarnation is
	// later by far more than that.
	sequenceBits = 64 - model.IncarnationBits
	// minGoneSequence is the lowest sequence number in the revision of a withdrawal.
	minGoneSequence = 1<<sequenceBits - 1
)

// Submit commits a change that does not depend on a base version.
func (t stateService) Submit(ctx context.Context, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	if !t.s.o.Node.IsLeader() {
		return nil, t.s.notLeader()
	}
	// The change may come from a replica of an earlier build, which does not compact it.
	q.Objects = compact(q.Objects)
	if isLowest(q) {
		return t.s.create(ctx, q)
	}
	return t.s.submitChange(ctx, q)
}

// isLowest reports whether a change starts with the lowest revision of a routing or target. Such
// a change takes effect only where there is no such object yet. The state machine takes revision
// 0 for an object without revisions, of which the last write wins.
func isLowest(q *eelpb.Change) bool {
	if len(q.Objects) == 0 {
		return false
	}
	o := q.Objects[0]
	return o.Revision == 0 && !o.Removed && (o.Kind == string(model.ObjectRouting) || o.Kind == string(model.ObjectTarget))
}

// create commits a change at the leader if its first object does not exist. The change is based
// on the version at which the object was found missing, so that it cannot replace another one
// that is committed at the same time.
func (s *Server) create(ctx context.Context, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	m := s.o.Node.Machine()
	for {
		v := uint64(m.Version())
		if m.Object(model.ObjectKind(q.Objects[0].Kind), q.Objects[0].Name) != nil {
			return &eelpb.ChangeResult{Accepted: true, Version: v}, nil
		}
		p := &eelpb.Change{ChangeId: rand.Text(), BaseVersion: v, Author: q.Author, Objects: m.Effective(q)}
		r, err := s.o.Node.Propose(ctx, &eelpb.Command{Change: p})
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		if r.Change.Accepted {
			return r.Change, nil
		}
	}
}

// Read returns the current state of an object.
func (t stateService) Read(_ context.Context, q *eelpb.ReadRequest) (*eelpb.ReadReply, error) {
	term, _, ok := t.s.o.Node.Leadership()
	if !ok {
		return nil, t.s.notLeader()
	}
	r := &eelpb.ReadReply{}
	if isFenced(model.ObjectKind(q.Kind)) {
		r.Fence = t.s.fences.of(q, term)
	}
	o := t.s.o.Node.Machine().Object(model.ObjectKind(q.Kind), q.Name)
	// Another leader may have been elected while this process was suspended.
	if now, _, ok := t.s.o.Node.Leadership(); !ok || now != term {
		return nil, t.s.notLeader()
	}
	if o != nil && o.Version == q.Version {
		r.Same = true
		return r, nil
	}
	r.Object = o
	return r, nil
}

// Join admits a replica to the group.
func (r replicaService) Join(ctx context.Context, q *eelpb.JoinRequest) (*eelpb.JoinReply, error) {
	n := r.s.o.Node
	a := &eelpb.JoinReply{Addrs: n.Addrs()}
	if !n.IsLeader() {
		a.LeaderAddr = n.Status().LeaderAddr
		return a, nil
	}
	ok, err := n.Admit(ctx, q.Member)
	if err != nil {
		level.Warn(r.s.o.Log).Log("msg", "replica admission failed", "replica", q.Member.GetId(), "err", err)
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	a.Joined = ok
	return a, nil
}

// submit commits a change at the leading replica. The change is idempotent, so it is
// retried until the context ends.
func (s *Server) submit(ctx context.Context, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	return callLeader(ctx, s, func(c context.Context, l eelpb.State) (*eelpb.ChangeResult, error) {
		return l.Submit(c, q)
	})
}

// submitAsLeader commits a decision that this replica makes as the leader. If it leads no more, its successor
// decides anew.
func (s *Server) submitAsLeader(ctx context.Context, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	return stateService{s}.Submit(ctx, q)
}

// callLeader calls the leading replica, which may be this one, until a call succeeds or the
// context ends.
func callLeader[T any](ctx context.Context, s *Server, f func(context.Context, eelpb.State) (T, error)) (T, error) {
	lastErr := errs.Newf("server.callLeader", KindNotLeader, "no leader is known")
	for {
		if l, ok := s.leaderClient(); ok {
			c, cancel := context.WithTimeout(ctx, submitTimeout)
			r, err := f(c, l)
			cancel()
			if err == nil {
				return r, nil
			}
			lastErr = errs.New("server.callLeader", KindOutcomeUnknown, err)
		}
		t := time.NewTimer(submitRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			var zero T
			return zero, lastErr
		case <-t.C:
		}
	}
}

func (s *Server) leaderClient() (eelpb.State, bool) {
	if s.o.Node.IsLeader() {
		return stateService{s}, true
	}
	addr := s.o.Node.Status().LeaderAddr
	if addr == "" || addr == s.o.Addr {
		return nil, false
	}
	return s.o.Peers.State(addr), true
}

func object(k model.ObjectKind, name string, revision uint64, spec any) (*eelpb.Object, error) {
	b, err := json.Marshal(spec)
	if err != nil {
		return nil, errs.New("server.object", KindInvalid, err)
	}
	return &eelpb.Object{Kind: string(k), Name: name, Owner: systemOwner, Spec: b, Revision: revision}, nil
}

// PutRouting commits a routing and its workspaces together with the document that they were
// read from. A routing whose revision is not above that of the stored one changes nothing.
func (s *Server) PutRouting(ctx context.Context, r *model.Routing, spaces []model.Workspace, document json.RawMessage) error {
	const op = "server.PutRouting"
	o, err := object(model.ObjectRouting, model.RoutingName, uint64(r.Revision), r)
	if err != nil {
		return err
	}
	d := &eelpb.Object{
		Kind: string(model.ObjectDocument), Name: model.RoutingName, Owner: systemOwner,
		Spec: document, Revision: uint64(r.Revision),
	}
	q := &eelpb.Change{Author: systemOwner, Objects: []*eelpb.Object{o, d}}
	if r.Keyed {
		q.Whole = []string{string(model.ObjectWorkspace)}
	}
	for _, w := range spaces {
		x, err := object(model.ObjectWorkspace, string(w.Name), 0, w)
		if err != nil {
			return err
		}
		q.Objects = append(q.Objects, x)
	}
	if err := checkObjects(q.Objects); err != nil {
		return errs.New(op, KindInvalid, err)
	}
	res, err := s.submit(ctx, q)
	level.Info(s.o.Log).Log("msg", "routing submitted", "revision", uint64(r.Revision), "workspaces", len(spaces),
		"version", res.GetVersion(), "err", err)
	return err
}

// checkObjects checks that the objects form a valid catalogue.
func checkObjects(objects []*eelpb.Object) error {
	m := make([]model.Object, len(objects))
	for i, o := range objects {
		m[i] = state.ToModel(o)
	}
	_, err := model.NewCatalogue(0, m)
	return err
}

// Document returns the document of the routing in force, or nil before the first.
func (s *Server) Document(ctx context.Context) (json.RawMessage, error) {
	local := s.o.Node.Machine().Object(model.ObjectDocument, model.RoutingName)
	r, err := callLeader(ctx, s, func(c context.Context, l eelpb.State) (*eelpb.ReadReply, error) {
		return l.Read(c, &eelpb.ReadRequest{Kind: string(model.ObjectDocument), Name: model.RoutingName, Version: local.GetVersion()})
	})
	if r.GetSame() {
		return local.GetSpec(), err
	}
	return r.GetObject().GetSpec(), err
}

// SetDrain takes a failure domain out of service or back into it, unless the caller has left before: it waits for
// the given time for a response. An order without a response may take effect until a later one of the same
// caller is confirmed, and not after that.
func (s *Server) SetDrain(ctx context.Context, d model.FailureDomainID, on bool, patience time.Duration) error {
	x := s.newSender(ctx, patience)
	o, err := object(model.ObjectDrain, string(d), 0, model.Drain{FailureDomain: d})
	if err != nil {
		return err
	}
	o.Removed = !on
	// A drain that an earlier build stored under an invalid name can be removed.
	if on || s.o.Node.Machine().Object(model.ObjectDrain, string(d)) == nil {
		if err := model.CheckName(string(d)); err != nil {
			return errs.New("server.SetDrain", KindInvalid, err)
		}
	}
	if on {
		if err := s.checkDrain(ctx, o, d); err != nil {
			return err
		}
	}
	res, err := s.submitOrdered(x, &eelpb.Change{Author: systemOwner, Objects: []*eelpb.Object{o}})
	level.Info(s.o.Log).Log("msg", "drain submitted", "failureDomain", d, "on", on, "version", res.GetVersion(), "err", err)
	return err
}

// checkDrain returns an error if a drain would not be a valid object, such as that of a failure
// domain that does not exist.
func (s *Server) checkDrain(ctx context.Context, o *eelpb.Object, d model.FailureDomainID) error {
	s.mu.Lock()
	s.refresh()
	c := s.catalogue
	s.mu.Unlock()
	_, invalid := c.With(c.Version+1, []model.Object{state.ToModel(o)}, nil)
	if invalid == nil {
		return nil
	}
	if s.o.DomainRegions != nil {
		// The leader adds the failure domains of the settings.
		if _, ok := s.o.DomainRegions()[d]; ok {
			return nil
		}
	}
	r, err := s.readLeader(ctx, model.ObjectFailureDomain, string(d))
	if err != nil {
		return err
	}
	if r.Object == nil {
		return errs.New("server.SetDrain", KindInvalid, invalid)
	}
	return nil
}

// readLeader reads an object from the leader, since this replica may lag behind.
func (s *Server) readLeader(ctx context.Context, k model.ObjectKind, name string) (*eelpb.ReadReply, error) {
	return callLeader(ctx, s, func(c context.Context, l eelpb.State) (*eelpb.ReadReply, error) {
		return l.Read(c, &eelpb.ReadRequest{Kind: string(k), Name: name})
	})
}
