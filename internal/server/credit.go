package server

import (
	"slices"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/quota"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// addCredits adds to a renewal's reply the entry's credit of each allowance that it uses.
// The caller holds mu.
func (s *Server) addCredits(q *eelpb.RenewRequest, a *eelpb.RenewReply, c *model.Catalogue) {
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
	maxRequests := func(id model.WorkspaceID) (int, bool) {
		w, _ := c.Workspaces.Get(id)
		return s.o.Allowances.Most(w.Allowance), w.Allowance.Limited()
	}
	for _, x := range s.ledger.Renew(r, maxRequests, now) {
		a.Credits = append(a.Credits, &eelpb.AllowanceCredit{
			Workspace: string(x.Workspace), Credit: uint64(x.Credit), Busy: x.Busy, Level: uint64(x.Level),
		})
	}
}

// workspaceUses returns the use of the allowances for the status report. The caller holds mu.
func (s *Server) workspaceUses() []wire.WorkspaceUse {
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
