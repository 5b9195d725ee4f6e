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
	// creditRequestInterval is the minimum time between two renewals that request more credit.
	creditRequestInterval = 100 * time.Millisecond
	// creditTimeout bounds how long a request waits for credit; it covers a few renewals
	// across regions.
	creditTimeout = 300 * time.Millisecond
)

// creditRequests limits the rate of renewals that request more credit.
type creditRequests struct {
	mu          sync.Mutex
	requestedAt time.Duration
	// reportedAt is when all uses were last reported.
	reportedAt time.Duration
}

func (r *creditRequests) due(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestedAt > 0 && now < r.requestedAt+creditRequestInterval {
		return false
	}
	r.requestedAt = now
	return true
}

// isPartial reports whether the next renewal may list only the workspaces that need more
// credit, because the last full report is recent. Otherwise it records a full report now.
func (r *creditRequests) isPartial(now, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reportedAt > 0 && now < r.reportedAt+interval*9/10 {
		return true
	}
	r.reportedAt = now
	return false
}

// ConfirmationAge returns how long ago a leader last confirmed that the catalogue was the
// newest, counted from when the renewal was sent, and whether one ever did.
func (x *Entry) ConfirmationAge() (time.Duration, bool) {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.now() - x.lease.confirmedAt, x.lease.confirmed
}

// Allow takes one request from the allowance of a workspace and reports whether it may
// run. Where this VM has used up its credit, Allow requests more from the leader.
func (x *Entry) Allow(ctx context.Context, w model.Workspace) bool {
	if !w.Allowance.Limited() {
		return true
	}
	maxRequests, vms := x.o.Allowances.Most(w.Allowance), x.VMCount("")
	for until := x.now() + creditTimeout; ; {
		nextGrant := x.lease.nextGrant()
		switch x.meter.Acquire(w.Name, maxRequests, vms, x.now()) {
		case quota.Admitted:
			return true
		case quota.Denied:
			return false
		}
		if x.now() >= until || ctx.Err() != nil {
			return false
		}
		if x.creditRequests.due(x.now()) {
			x.triggerRenewal()
		}
		t := time.NewTimer(creditRequestInterval)
		select {
		case <-nextGrant:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// Refund returns a request to the allowance that was allowed some time ago and did not run.
func (x *Entry) Refund(w model.Workspace, ago time.Duration) {
	if w.Allowance.Limited() {
		x.meter.Refund(w.Name, x.now()-ago, x.now())
	}
}

// AllowedFraction returns the fraction of a workspace's recent requests that were allowed.
func (x *Entry) AllowedFraction(id model.WorkspaceID) float64 {
	return x.meter.AdmittedFraction(id, x.now())
}

// allowanceUses returns the use of allowances to report to the leader: of all workspaces,
// or only of those that need more credit.
func (x *Entry) allowanceUses(partial bool) []*eelpb.AllowanceUse {
	var out []*eelpb.AllowanceUse
	for _, u := range x.meter.Report(x.now(), partial) {
		out = append(out, &eelpb.AllowanceUse{
			Workspace: string(u.Workspace), Used: uint64(u.Used), Left: uint64(u.Left), Wanted: uint64(u.Wanted), Level: uint64(u.Level),
		})
	}
	return out
}

// applyCredits puts the leader's credits into force.
func (x *Entry) applyCredits(credits []*eelpb.AllowanceCredit) {
	list := make([]quota.Credit, len(credits))
	for i, c := range credits {
		list[i] = quota.Credit{Workspace: model.WorkspaceID(c.Workspace), Credit: int(c.Credit), Busy: c.Busy, Level: int(c.Level)}
	}
	x.meter.Credit(list)
}
