package entry

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/quota"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// askEvery is the least time between two renewals for more credit.
	askEvery = 100 * time.Millisecond
	// askTime bounds the wait of a request for credit: some renewals across regions.
	askTime = 300 * time.Millisecond
)

// asks paces the renewals for more credit.
type asks struct {
	mu sync.Mutex
	at time.Duration
	// reportedAt is when all uses were reported last.
	reportedAt time.Duration
}

func (a *asks) due(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at > 0 && now < a.at+askEvery {
		return false
	}
	a.at = now
	return true
}

// inPart tells whether a renewal comes so soon after a whole report that it need only
// name the workspaces that need more credit.
func (a *asks) inPart(now, every time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reportedAt > 0 && now < a.reportedAt+every*9/10 {
		return true
	}
	a.reportedAt = now
	return false
}

// ConfirmationAge tells how long ago a leader's word proved that the catalogue was the
// newest, counted from when it was asked for.
func (x *Entry) ConfirmationAge() (time.Duration, bool) {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.now() - x.lease.provedAt, x.lease.proved
}

// Allow takes one request out of the allowance of a workspace. It asks the leader
// where this VM has used up its credit, and tells whether the request may run.
func (x *Entry) Allow(ctx context.Context, w model.Workspace) bool {
	if !w.Allowance.Limited() {
		return true
	}
	most, vms := x.o.Allowances.Most(w.Allowance), x.VMs("")
	for until := x.now() + askTime; ; {
		next := x.lease.next()
		switch x.meter.Acquire(w.Name, most, vms, x.now()) {
		case quota.Admitted:
			return true
		case quota.Denied:
			return false
		}
		if x.now() >= until || ctx.Err() != nil {
			return false
		}
		if x.asks.due(x.now()) {
			x.kick()
		}
		t := time.NewTimer(askEvery)
		select {
		case <-next:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// Refund gives back a request that was allowed some time ago and did not run.
func (x *Entry) Refund(w model.Workspace, ago time.Duration) {
	if w.Allowance.Limited() {
		x.meter.Refund(w.Name, x.now()-ago, x.now())
	}
}

// AllowedFraction returns which part of the requests of a workspace were allowed of late.
func (x *Entry) AllowedFraction(id model.WorkspaceID) float64 {
	return x.meter.AdmittedFraction(id, x.now())
}

// reportUses returns what the leader is told of the use of allowances: all, or only
// where more credit is needed.
func (x *Entry) reportUses(asking bool) []*eelpb.AllowanceUse {
	var out []*eelpb.AllowanceUse
	for _, u := range x.meter.Report(x.now(), asking) {
		out = append(out, &eelpb.AllowanceUse{
			Workspace: string(u.Workspace), Used: uint64(u.Used), Left: uint64(u.Left), Wanted: uint64(u.Wanted), Level: uint64(u.Level),
		})
	}
	return out
}

// takeCredits puts the leader's credits in force.
func (x *Entry) takeCredits(credits []*eelpb.AllowanceCredit) {
	list := make([]quota.Credit, len(credits))
	for i, c := range credits {
		list[i] = quota.Credit{Workspace: model.WorkspaceID(c.Workspace), Credit: int(c.Credit), Busy: c.Busy, Level: int(c.Level)}
	}
	x.meter.Credit(list)
}
