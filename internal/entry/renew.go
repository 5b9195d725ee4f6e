package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
)

// renewLoop renews the lease until the context ends. Consecutive failures lengthen the
// timeout of a renewal and back off the next one.
func (x *Entry) renewLoop(ctx context.Context) error {
	for failures := 0; ; {
		delay, ok := x.renewOnce(ctx, renewTimeout*time.Duration(1+min(failures, maxRenewExtensions)))
		if ok {
			failures = 0
		} else {
			delay = backoff(failures)
			failures++
		}
		t := time.NewTimer(delay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-x.renewNow:
			t.Stop()
		}
	}
}

// renewOnce renews the lease once and puts the grant into force. The lease starts before
// the request is sent. renewOnce returns after how long to renew again, and whether the
// renewal succeeded.
func (x *Entry) renewOnce(ctx context.Context, timeout time.Duration) (time.Duration, bool) {
	x.checkLease()
	q := x.newRenewRequest()
	acknowledge := x.evidence.add(q, x.now())
	sent := x.now()
	t, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := x.state.renew(t, q)
	if err != nil {
		x.handleRenewError(err)
		return 0, false
	}
	acknowledge()
	if r.WantTargets {
		x.last.targets = 0
		return 0, true
	}
	x.last.targets = q.TargetsDigest
	if uint64(x.store.version()) < r.Version {
		if err := x.pullFromLeader(t, r.Version); err != nil {
			level.Debug(x.o.Log).Log("msg", "catalogue pull failed", "version", r.Version, "err", err)
			return 0, false
		}
	}
	x.applyGrant(r, sent)
	x.state.addReplicas(r.Replicas)
	if r.AgainMs > 0 {
		return min(x.o.RenewInterval, time.Duration(r.AgainMs)*time.Millisecond), true
	}
	return max(0, x.o.RenewInterval-(x.now()-sent)), true
}

// checkLease logs a lease that was lost or regained, and drops the owned targets while
// there is no valid lease.
func (x *Entry) checkLease() {
	ok := x.leaseValid()
	if !ok {
		x.pools.setOwned(nil)
	}
	if x.last.leaseValid != ok {
		x.last.leaseValid = ok
		addr, _ := x.state.leader()
		level.Info(x.o.Log).Log("msg", "lease changed", "held", ok, "leader", addr, "version", x.store.version())
	}
}

// duplicateIDTimeout is how long after its start an entry retries to register an id that
// another process holds.
const duplicateIDTimeout = 10 * time.Second

// handleRenewError logs why the lease was not renewed, and stops an entry that never held a
// lease if the leader rejects its settings.
func (x *Entry) handleRenewError(err error) {
	level.Debug(x.o.Log).Log("msg", "lease renewal failed", "err", err)
	var t twirp.Error
	if !errors.As(err, &t) || x.everHeldLease() {
		return
	}
	unknown := t.Code() == twirp.InvalidArgument && x.store.version() > 0
	duplicate := t.Code() == twirp.AlreadyExists && x.now() > duplicateIDTimeout
	if unknown || duplicate {
		x.reject(errs.Newf("entry.New", KindSetting, "%s", t.Msg()))
	}
}

// everHeldLease reports whether the entry ever held a lease.
func (x *Entry) everHeldLease() bool {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.lease.grant != 0
}

// reject reports through Rejected that the entry can never hold a lease.
func (x *Entry) reject(err error) {
	select {
	case x.rejected <- err:
	default:
	}
}

// newRenewRequest returns a renewal that reports the current state of the entry.
func (x *Entry) newRenewRequest() *eelpb.RenewRequest {
	x.lease.mu.Lock()
	x.lease.sequence++
	q := &eelpb.RenewRequest{
		Vm: string(x.o.ID), Incarnation: x.lease.incarnation, Addr: x.o.Addr,
		FailureDomain: string(x.o.Domain), Leaving: x.leaving.Load(), Sole: x.o.Sole,
		Sequence: x.lease.sequence, SeenGrant: x.lease.grant, Format: model.CatalogueFormat,
	}
	x.lease.mu.Unlock()
	q.Version = uint64(x.store.version())
	q.Directory = x.directory.version()
	x.addTargets(q)
	q.HoldsDigest = x.last.reply.GetHoldsDigest()
	q.Shares, q.Demands = x.limits.report(x.now())
	q.UsesInPart = x.creditRequests.isPartial(x.now(), x.o.RenewInterval)
	q.Uses = x.allowanceUses(q.UsesInPart)
	x.pools.each(func(s model.ServiceID, p *pool.Pool) {
		for _, id := range p.Held() {
			q.Held = append(q.Held, string(id))
		}
		for _, l := range p.Loads() {
			q.Sites = append(q.Sites, &eelpb.SiteLoad{
				Service: string(s), FailureDomain: string(l.Domain), Slots: uint32(l.Slots), InFlight: uint32(l.InFlight),
				Queued: uint32(l.Queued), LatencyUs: uint32(l.Latency.Microseconds()), Targets: uint32(l.Targets),
			})
		}
	})
	return q
}

// lastRenewal is the state of the last renewal that is not resent while it is unchanged.
// Only the renewals use it.
type lastRenewal struct {
	// targets is the digest of the targets that the leader has.
	targets uint64
	// reply is the last applied reply, whose targets are in force.
	reply *eelpb.RenewReply
	// leaseValid is whether the lease was valid when it was last logged.
	leaseValid bool
}

// addTargets adds the announced targets to a renewal, or only their digest where the leader
// has them already.
func (x *Entry) addTargets(q *eelpb.RenewRequest) {
	t := x.announced.reports(x.now())
	q.TargetsDigest = lease.TargetsDigest(t)
	if q.TargetsDigest != 0 && q.TargetsDigest == x.last.targets {
		q.TargetsSame = true
		return
	}
	q.Targets = t
}

func (x *Entry) applyGrant(r *eelpb.RenewReply, sent time.Duration) {
	if r.HoldsSame {
		r.Owned, r.Owners = x.last.reply.Owned, x.last.reply.Owners
	}
	x.last.reply = r
	x.limits.setShares(r.Shares)
	x.evidence.permitted(r, x.now())
	owned := map[model.ServiceID][]pool.Target{}
	for _, t := range r.Owned {
		s := model.ServiceID(t.Service)
		owned[s] = append(owned[s], poolTarget(t))
	}
	x.pools.setOwned(owned)
	x.announced.setOwners(r.Owners)
	x.directory.apply(r, x.now())
	x.rebuildTable()
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	x.lease.duration = time.Duration(r.LeaseMs) * time.Millisecond
	x.lease.expiresAt = sent + x.lease.duration
	x.lease.confirmedAt, x.lease.confirmed = sent, true
	x.applyCredits(r.Credits)
	x.lease.grant = r.Grant
	close(x.lease.granted)
	x.lease.granted = make(chan struct{})
}

func poolTarget(t *eelpb.TargetReport) pool.Target {
	return pool.Target{
		ID: model.TargetID(t.Id), Addr: t.Addr, Domain: model.FailureDomainID(t.FailureDomain),
		Slots: int(t.Slots), Incarnation: t.Incarnation, Ready: t.Ready, Draining: t.Draining,
	}
}

// rebuildTable computes a new table of sites from the catalogue and the directory.
func (x *Entry) rebuildTable() {
	c := x.store.catalogue()
	if c == nil {
		return
	}
	t := steer.NewTable(c, steer.Self{VM: x.o.ID, Domain: x.o.Domain, Gauge: x.gauges.get, LinkUtilization: x.linkUtilization(c)}, x.directory.reports())
	x.view.Store(&view{catalogue: c, table: t})
	x.pools.each(func(s model.ServiceID, p *pool.Pool) {
		p.SetWarmUp(c.Services[s].WarmUpMillis.Duration())
		p.SetDrained(c.Drained)
	})
}

// directory is the local copy of the leader's list of VMs.
type directory struct {
	mu       sync.RWMutex
	revision uint64
	vms      map[string]steer.Report
	// inherited has the VMs that only the former leader listed, and until when they are kept: the list of a new one
	// begins empty, and each VM is on it from its next renewal on.
	inherited map[string]time.Duration
}

func (d *directory) version() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

func (d *directory) apply(r *eelpb.RenewReply, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, inherited := d.vms, d.inherited
	d.vms, d.inherited = map[string]steer.Report{}, map[string]time.Duration{}
	isNewLeader := lease.EpochOf(r.Directory) != lease.EpochOf(d.revision)
	for id, v := range old {
		until, ok := inherited[id]
		if isNewLeader {
			until, ok = now+time.Duration(r.LeaseMs)*time.Millisecond, true
		}
		switch {
		case ok && now < until:
			// It may own other targets by now, or none.
			v.VM = &eelpb.VM{Id: v.VM.Id, Addr: v.VM.Addr, FailureDomain: v.VM.FailureDomain, Leaving: v.VM.Leaving, Version: v.VM.Version}
			d.vms[id], d.inherited[id] = v, until
		case !ok && !r.DirectoryFull:
			// The leader states with the delta that the VMs it does not list are unchanged.
			v.ReportedAt = now
			d.vms[id] = v
		}
	}
	for _, id := range r.RemovedVms {
		delete(d.vms, id)
	}
	for _, v := range r.Vms {
		d.vms[v.Id] = steer.Report{VM: v, ReportedAt: now}
		delete(d.inherited, v.Id)
	}
	d.revision = r.Directory
}

// countActive counts the VMs that are not leaving and for which match returns true.
func (d *directory) countActive(match func(*eelpb.VM) bool) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, v := range d.vms {
		if !v.VM.Leaving && match(v.VM) {
			n++
		}
	}
	return n
}

func (d *directory) reports() []steer.Report {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]steer.Report, 0, len(d.vms))
	for _, v := range d.vms {
		out = append(out, v)
	}
	return out
}
