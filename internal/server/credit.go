package server

import (
	"slices"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/quota"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// credit adds to a renewal's reply what the entry may take of the allowances that it
// uses; the caller holds mu.
func (s *Server) credit(q *eelpb.RenewRequest, a *eelpb.RenewReply, c *model.Catalogue) {
	now, vm := s.o.Node.Now(), model.VMID(q.Vm)
	if q.Closing {
		s.ledger.EndProcess(vm, q.Incarnation, now)
		return
	}
	if a.WantTargets {
		return
	}
	r := quota.Report{VM: vm, Incarnation: q.Incarnation, Partial: q.UsesInPart}
	for _, u := range q.Uses {
		r.Uses = append(r.Uses, quota.Use{
			Workspace: model.WorkspaceID(u.Workspace), Used: int(u.Used), Left: int(u.Left), Wanted: int(u.Wanted), Level: int(u.Level),
		})
	}
	most := func(id model.WorkspaceID) (int, bool) {
		w, _ := c.Workspaces.Get(id)
		return s.o.Allowances.Most(w.Allowance), w.Allowance.Limited()
	}
	for _, x := range s.ledger.Renew(r, most, now) {
		a.Credits = append(a.Credits, &eelpb.AllowanceCredit{
			Workspace: string(x.Workspace), Credit: uint64(x.Credit), Busy: x.Busy, Level: uint64(x.Level),
		})
	}
}

// uses returns what operators see of allowances; the caller holds mu.
func (s *Server) uses() []wire.WorkspaceUse {
	var out []wire.WorkspaceUse
	for _, x := range s.ledger.Accounts() {
		w, _ := s.catalogue.Workspaces.Get(x.Workspace)
		out = append(out, wire.WorkspaceUse{
			Workspace: x.Workspace, Used: x.Used, Most: s.o.Allowances.Most(w.Allowance), Credited: x.Credited, VMs: x.VMs,
		})
	}
	slices.SortFunc(out, func(a, b wire.WorkspaceUse) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	return out
}
