package server

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"slices"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/labstack/echo/v4"
)

// maxChangeBytes limits the body of an operator's change.
const maxChangeBytes = 16 << 20

// adminOwner is the author of changes made with the deployment's admin token.
const adminOwner = model.OwnerID("admin")

func expvarHandler() http.Handler { return expvar.Handler() }

func (s *Server) respondError(c echo.Context, status int, err error) error {
	return c.JSON(status, wire.Failure{Error: err.Error()})
}

func (s *Server) respondMisdirected(c echo.Context) error {
	c.Response().Header().Set(wire.HeaderLeader, s.o.Node.Status().LeaderAddr)
	return c.JSON(http.StatusMisdirectedRequest, wire.Failure{Error: "replica is not the leader"})
}

func (s *Server) getCatalogue(c echo.Context) error {
	if !s.o.Node.IsLeader() {
		return s.respondMisdirected(c)
	}
	o, v := s.o.Node.Machine().Objects()
	if !s.o.Node.IsLeader() {
		return s.respondMisdirected(c)
	}
	// Documents are left out: they contain the workspaces' keys as the operator sent them.
	o = slices.DeleteFunc(o, func(x model.Object) bool { return x.Kind == model.ObjectDocument })
	return c.JSON(http.StatusOK, wire.Catalogue{Version: v, Objects: o})
}

func (s *Server) getChange(c echo.Context) error {
	if !s.o.Node.IsLeader() {
		return s.respondMisdirected(c)
	}
	r, ok := s.o.Node.Machine().Result(c.Param("id"))
	if !ok {
		return c.JSON(http.StatusNotFound, wire.Failure{Error: "change id is not known"})
	}
	return c.JSON(http.StatusOK, toWire(r))
}

func toWire(r *eelpb.ChangeResult) wire.ChangeResult {
	return wire.ChangeResult{
		ChangeID: r.ChangeId, Accepted: r.Accepted, Version: model.Version(r.Version),
		WinnerChangeID: r.WinnerChangeId, WinnerAuthor: model.OwnerID(r.WinnerAuthor),
	}
}

func (s *Server) postChange(c echo.Context) error {
	if !s.o.Node.IsLeader() {
		return s.respondMisdirected(c)
	}
	author, ok := s.author(c.Request())
	if !ok {
		return s.respondError(c, http.StatusUnauthorized, errors.New("token is missing or belongs to no owner"))
	}
	var q wire.Change
	if err := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes)).Decode(&q); err != nil {
		return s.respondError(c, http.StatusBadRequest, err)
	}
	p, err := s.prepare(q, author)
	if err != nil {
		return s.respondError(c, statusOf(err), err)
	}
	r, err := s.commit(c.Request().Context(), p)
	if errs.Is(err, node.KindNotLeader) {
		return s.respondMisdirected(c)
	}
	if err != nil {
		return s.respondError(c, http.StatusServiceUnavailable, errs.New("server.postChange", KindOutcomeUnknown, err))
	}
	if string(r.Digest) != string(p.Digest) {
		return s.respondError(c, http.StatusUnprocessableEntity, errs.Newf("server.postChange", KindChangeIDReused, "change id %q was used for another change", q.ChangeID))
	}
	if !r.Accepted {
		return c.JSON(http.StatusConflict, toWire(r))
	}
	return c.JSON(http.StatusOK, toWire(r))
}

func statusOf(err error) int {
	if errs.Is(err, KindForbidden) {
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

// commit replicates a change, or returns its stored result if it was committed before.
func (s *Server) commit(ctx context.Context, p *eelpb.Change) (*eelpb.ChangeResult, error) {
	if r, ok := s.o.Node.Machine().Result(p.ChangeId); ok {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return s.propose(ctx, &eelpb.Command{Change: p})
}

// author returns the owner whose token the request carries.
func (s *Server) author(r *http.Request) (model.OwnerID, bool) {
	t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || t == "" {
		return "", false
	}
	if auth.TokenMatches(t, s.o.AdminTokenHash) {
		return adminOwner, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	for _, o := range s.catalogue.Owners {
		if auth.TokenMatches(t, o.TokenSHA256) {
			return o.Name, true
		}
	}
	return "", false
}

// prepare validates a change against the catalogue version that it is based on. A change
// based on an older version is not validated: it is rejected as a conflict when the log
// entry is applied.
func (s *Server) prepare(q wire.Change, author model.OwnerID) (*eelpb.Change, error) {
	const op = "server.prepare"
	if q.ChangeID == "" || len(q.Put)+len(q.Remove) == 0 {
		return nil, errs.Newf(op, KindInvalid, "changeId is missing, or there is nothing to change")
	}
	objects, v := s.o.Node.Machine().Objects()
	if q.BaseVersion > v {
		return nil, errs.Newf(op, KindInvalid, "baseVersion %d does not exist; the version is %d", q.BaseVersion, v)
	}
	if q.BaseVersion == v {
		if err := checkChange(q, objects, v, author); err != nil {
			return nil, err
		}
	}
	return encodeChange(q, author)
}

func checkChange(q wire.Change, objects []model.Object, v model.Version, author model.OwnerID) error {
	const op = "server.prepare"
	m := make(map[string]model.Object, len(objects))
	for _, o := range objects {
		m[o.Key()] = o
	}
	mayWrite := func(o model.Object) bool {
		return author == adminOwner || o.Owner == author && o.Kind != model.ObjectOwner
	}
	for _, o := range q.Put {
		if old, ok := m[o.Key()]; ok && !mayWrite(old) {
			return errs.Newf(op, KindForbidden, "%s belongs to %q, not to %q", o.Key(), old.Owner, author)
		}
		if !mayWrite(o) {
			return errs.Newf(op, KindForbidden, "%q may not make %s for %q", author, o.Key(), o.Owner)
		}
		m[o.Key()] = o
	}
	for _, k := range q.Remove {
		old, ok := m[k]
		if !ok {
			return errs.Newf(op, KindInvalid, "object %q does not exist", k)
		}
		if !mayWrite(old) {
			return errs.Newf(op, KindForbidden, "%s belongs to %q, not to %q", k, old.Owner, author)
		}
		delete(m, k)
	}
	next := make([]model.Object, 0, len(m))
	for _, o := range m {
		next = append(next, o)
	}
	// An object that is invalid already must not keep operators from changing others.
	for _, x := range model.Build(v+1, next).NewlyInvalid(model.Build(v, objects)) {
		return errs.Newf(op, KindInvalid, "%s: %v", x.Key(), x.Err)
	}
	return nil
}

func encodeChange(q wire.Change, author model.OwnerID) (*eelpb.Change, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return nil, errs.New("server.prepare", KindInvalid, err)
	}
	sum := sha256.Sum256(b)
	p := &eelpb.Change{ChangeId: q.ChangeID, BaseVersion: uint64(q.BaseVersion), Author: string(author), Digest: sum[:]}
	for _, o := range q.Put {
		p.Objects = append(p.Objects, &eelpb.Object{Kind: string(o.Kind), Name: o.Name, Owner: string(o.Owner), Spec: o.Spec})
	}
	for _, k := range q.Remove {
		kind, name, _ := strings.Cut(k, "/")
		p.Objects = append(p.Objects, &eelpb.Object{Kind: kind, Name: name, Removed: true})
	}
	return p, nil
}

func (s *Server) getStatus(c echo.Context) error {
	a := wire.Status{Version: s.o.Node.Machine().Version()}
	a.Claims, a.ClaimBytes = s.o.Node.Machine().Claims()
	b, err := json.Marshal(s.o.Node.Status())
	if err != nil {
		return err
	}
	a.Replica = b
	s.mu.Lock()
	defer s.mu.Unlock()
	g, _, ok := s.leaderState()
	if !ok && c.QueryParam("self") == "" {
		return s.respondMisdirected(c)
	}
	if !ok {
		return c.JSON(http.StatusOK, a)
	}
	for _, v := range g.VMs() {
		a.VMs = append(a.VMs, wire.VM{
			ID: model.VMID(v.Id), Addr: v.Addr, FailureDomain: model.FailureDomainID(v.FailureDomain),
			Leaving: v.Leaving, Version: model.Version(v.Version),
		})
	}
	t, err := json.Marshal(g.Targets())
	if err != nil {
		return err
	}
	a.Targets = t
	a.Workspaces = s.workspaceUses()
	for _, x := range s.catalogue.Invalid {
		a.Invalid = append(a.Invalid, wire.InvalidObject{Object: x.Key(), Version: x.Version, Error: x.Err.Error()})
	}
	return c.JSON(http.StatusOK, a)
}

func (s *Server) postReplica(c echo.Context) error {
	if !s.o.Node.IsLeader() {
		return s.respondMisdirected(c)
	}
	a, ok := s.author(c.Request())
	if !ok || a != adminOwner {
		return s.respondError(c, http.StatusUnauthorized, errors.New("replicas are changed with the admin token"))
	}
	var q wire.ReplicaChange
	if err := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes)).Decode(&q); err != nil {
		return s.respondError(c, http.StatusBadRequest, err)
	}
	if err := s.changeReplica(c.Request().Context(), q); err != nil {
		return s.respondError(c, http.StatusConflict, err)
	}
	return c.JSON(http.StatusOK, s.o.Node.Status())
}

func (s *Server) changeReplica(ctx context.Context, q wire.ReplicaChange) error {
	id := raft.ReplicaID(q.ID)
	switch q.Action {
	case "add":
		return s.o.Node.Add(ctx, id, q.Addr)
	case "remove":
		return s.o.Node.Remove(ctx, id)
	case "replace":
		return s.o.Node.Replace(ctx, id)
	}
	return errs.Newf("server.changeReplica", KindInvalid, "action %q is not add, remove or replace", q.Action)
}
