package server

import (
	"context"
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
	// systemOwner owns the objects that the system itself keeps.
	systemOwner = "system"
	// submitTimeout bounds one try at the leader; a commit takes some 100 ms
	// across regions, and an operator turns to another replica after a second.
	submitTimeout = 900 * time.Millisecond
	submitPause   = 30 * time.Millisecond
	// incarnationShift leaves the low bits of a target's revision to its announcements.
	incarnationShift = 22
	maxSequence      = 1<<incarnationShift - 1
)

// Submit commits a change that holds at any version.
func (t stateService) Submit(ctx context.Context, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	if !t.s.o.Node.IsLeader() {
		return nil, t.s.notLeader()
	}
	q.AnyBase = true
	r, err := t.s.o.Node.Propose(ctx, &eelpb.Command{Change: q})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return r.Change, nil
}

// Read returns an object as of now.
func (t stateService) Read(_ context.Context, q *eelpb.ReadRequest) (*eelpb.ReadReply, error) {
	if !t.s.o.Node.IsLeader() {
		return nil, t.s.notLeader()
	}
	o := t.s.o.Node.Machine().Object(model.ObjectKind(q.Kind), q.Name)
	// A leader that was suspended since may have been succeeded.
	if !t.s.o.Node.IsLeader() {
		return nil, t.s.notLeader()
	}
	if o != nil && o.Version == q.Version {
		return &eelpb.ReadReply{Same: true}, nil
	}
	return &eelpb.ReadReply{Object: o}, nil
}

// Join takes a replica into the group.
func (r replicaService) Join(ctx context.Context, q *eelpb.JoinRequest) (*eelpb.JoinReply, error) {
	n := r.s.o.Node
	a := &eelpb.JoinReply{Addrs: n.Addrs()}
	if !n.IsLeader() {
		a.LeaderAddr = n.Status().LeaderAddr
		return a, nil
	}
	ok, err := n.Admit(ctx, q.Member)
	if err != nil {
		level.Warn(r.s.o.Log).Log("msg", "replica not admitted", "replica", q.Member.GetId(), "err", err)
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	a.Joined = ok
	return a, nil
}

// submit commits a change at whichever replica leads. The change has the same
// effect however often it is applied, so it is sent again until the context ends.
func (s *Server) submit(ctx context.Context, q *eelpb.Change) (*eelpb.ChangeResult, error) {
	return atLeader(ctx, s, func(c context.Context, l eelpb.State) (*eelpb.ChangeResult, error) {
		return l.Submit(c, q)
	})
}

// atLeader calls the leading replica, which may be this one, until it answers.
func atLeader[T any](ctx context.Context, s *Server, f func(context.Context, eelpb.State) (T, error)) (T, error) {
	last := errs.Newf("server.atLeader", KindNotLeader, "no leader is known")
	for {
		if l, ok := s.leader(); ok {
			c, cancel := context.WithTimeout(ctx, submitTimeout)
			r, err := f(c, l)
			cancel()
			if err == nil {
				return r, nil
			}
			last = errs.New("server.atLeader", KindOutcomeUnknown, err)
		}
		t := time.NewTimer(submitPause)
		select {
		case <-ctx.Done():
			t.Stop()
			var none T
			return none, last
		case <-t.C:
		}
	}
}

func (s *Server) leader() (eelpb.State, bool) {
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

// PutRouting makes a routing and its workspaces durable with the document that they
// were read from. One whose revision is not above the held one changes nothing.
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

// checkObjects checks that objects fit together.
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
	held := s.o.Node.Machine().Object(model.ObjectDocument, model.RoutingName)
	r, err := atLeader(ctx, s, func(c context.Context, l eelpb.State) (*eelpb.ReadReply, error) {
		return l.Read(c, &eelpb.ReadRequest{Kind: string(model.ObjectDocument), Name: model.RoutingName, Version: held.GetVersion()})
	})
	if r.GetSame() {
		return held.GetSpec(), err
	}
	return r.GetObject().GetSpec(), err
}

// SetDrain takes a failure domain out of service or back into it.
func (s *Server) SetDrain(ctx context.Context, d model.FailureDomainID, on bool) error {
	o, err := object(model.ObjectDrain, string(d), 0, model.Drain{FailureDomain: d})
	if err != nil {
		return err
	}
	o.Removed = !on
	res, err := s.submit(ctx, &eelpb.Change{Author: systemOwner, Objects: []*eelpb.Object{o}})
	level.Info(s.o.Log).Log("msg", "drain submitted", "failureDomain", d, "on", on, "version", res.GetVersion(), "err", err)
	return err
}
