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

// renewLoop keeps the lease alive.
func (x *Entry) renewLoop(ctx context.Context) error {
	for failures := 0; ; {
		again, ok := x.renewOnce(ctx, renewTimeout*time.Duration(1+min(failures, renewPatience)))
		if ok {
			failures = 0
		} else {
			again = backoff(failures)
			failures++
		}
		t := time.NewTimer(again)
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

// renewOnce asks for one renewal and puts it in force. The lease counts from
// before the request was sent. It returns when to renew again.
func (x *Entry) renewOnce(ctx context.Context, timeout time.Duration) (time.Duration, bool) {
	x.noteLease()
	q := x.renewal()
	sent := x.now()
	t, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := x.state.renew(t, q)
	if err != nil {
		x.refusal(err)
		return 0, false
	}
	if r.WantTargets {
		x.last.targets = 0
		return 0, true
	}
	x.last.targets = q.TargetsDigest
	if uint64(x.config.version()) < r.Version {
		if err := x.pullFrom(t, r.Version); err != nil {
			level.Debug(x.o.Log).Log("msg", "catalogue not pulled", "version", r.Version, "err", err)
			return 0, false
		}
	}
	x.putInForce(r, sent)
	x.state.learn(r.Replicas)
	if r.AgainMs > 0 {
		return min(x.o.RenewEvery, time.Duration(r.AgainMs)*time.Millisecond), true
	}
	return max(0, x.o.RenewEvery-(x.now()-sent)), true
}

// noteLease logs a lease that was lost or regained, and lets go of what it allowed.
func (x *Entry) noteLease() {
	ok := x.valid()
	if !ok {
		x.pools.own(nil)
	}
	if x.last.valid != ok {
		x.last.valid = ok
		addr, _ := x.state.current()
		level.Info(x.o.Log).Log("msg", "lease changed", "held", ok, "leader", addr, "version", x.config.version())
	}
}

// duplicateAfter is how long an id that another process holds is asked for again.
const duplicateAfter = 10 * time.Second

// refusal logs why the lease was not renewed, and stops an entry whose settings
// the leader refuses before it ever held a lease.
func (x *Entry) refusal(err error) {
	level.Debug(x.o.Log).Log("msg", "lease not renewed", "err", err)
	var t twirp.Error
	if !errors.As(err, &t) || x.heldLease() {
		return
	}
	unknown := t.Code() == twirp.InvalidArgument && x.config.version() > 0
	duplicate := t.Code() == twirp.AlreadyExists && x.now() > duplicateAfter
	if unknown || duplicate {
		x.refuse(errs.Newf("entry.New", KindSetting, "%s", t.Msg()))
	}
}

// heldLease tells whether the entry ever held a lease.
func (x *Entry) heldLease() bool {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.lease.grant != 0
}

// refuse stops the entry for good; Refused tells why.
func (x *Entry) refuse(err error) {
	select {
	case x.refused <- err:
	default:
	}
}

// renewal returns the report of this moment.
func (x *Entry) renewal() *eelpb.RenewRequest {
	x.lease.mu.Lock()
	x.lease.sequence++
	q := &eelpb.RenewRequest{
		Vm: string(x.o.ID), Incarnation: x.lease.incarnation, Addr: x.o.Addr,
		FailureDomain: string(x.o.Domain), Leaving: x.leaving.Load(), Sole: x.o.Sole,
		Sequence: x.lease.sequence, SeenGrant: x.lease.grant,
	}
	x.lease.mu.Unlock()
	q.Version = uint64(x.config.version())
	q.Directory = x.directory.version()
	x.reportTargets(q)
	q.HoldsDigest = x.last.holds.GetHoldsDigest()
	q.Shares, q.Demands = x.limits.report(x.now())
	q.UsesInPart = x.asks.inPart(x.now(), x.o.RenewEvery)
	q.Uses = x.reportUses(q.UsesInPart)
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

// lastRenewal is what need not be sent again while it is the same. Only the
// renewals use it.
type lastRenewal struct {
	// targets is the digest of the targets that the leader knows.
	targets uint64
	// holds is the reply whose targets are in force.
	holds *eelpb.RenewReply
	// valid is whether the lease held when it was logged last.
	valid bool
}

// reportTargets names the targets that were heard, or only their digest where
// the leader knows them.
func (x *Entry) reportTargets(q *eelpb.RenewRequest) {
	t := x.heard.reports(x.now())
	q.TargetsDigest = lease.TargetsDigest(t)
	if q.TargetsDigest != 0 && q.TargetsDigest == x.last.targets {
		q.TargetsSame = true
		return
	}
	q.Targets = t
}

func (x *Entry) putInForce(r *eelpb.RenewReply, sent time.Duration) {
	if r.HoldsSame {
		r.Owned, r.Owners = x.last.holds.Owned, x.last.holds.Owners
	}
	x.last.holds = r
	x.limits.set(r.Shares)
	owned := map[model.ServiceID][]pool.Target{}
	for _, t := range r.Owned {
		s := model.ServiceID(t.Service)
		owned[s] = append(owned[s], targetOf(t))
	}
	x.pools.own(owned)
	x.heard.setOwners(r.Owners)
	x.directory.apply(r, x.now())
	x.rebuild()
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	x.lease.length = time.Duration(r.LeaseMs) * time.Millisecond
	x.lease.until = sent + x.lease.length
	x.lease.provedAt, x.lease.proved = sent, true
	x.takeCredits(r.Credits)
	x.lease.grant = r.Grant
	close(x.lease.granted)
	x.lease.granted = make(chan struct{})
}

func targetOf(t *eelpb.TargetReport) pool.Target {
	return pool.Target{
		ID: model.TargetID(t.Id), Addr: t.Addr, Domain: model.FailureDomainID(t.FailureDomain),
		Slots: int(t.Slots), Incarnation: t.Incarnation, Ready: t.Ready, Draining: t.Draining,
	}
}

// rebuild makes a new table of sites from the catalogue and the directory.
func (x *Entry) rebuild() {
	c := x.config.catalogue()
	if c == nil {
		return
	}
	t := steer.NewTable(c, steer.Self{VM: x.o.ID, Domain: x.o.Domain, Gauge: x.gauges.get, LinkUtilization: x.linkUse(c)}, x.directory.reports())
	x.view.Store(&view{catalogue: c, table: t})
	x.pools.each(func(s model.ServiceID, p *pool.Pool) {
		p.SetWarmUp(c.Services[s].WarmUpMillis.Duration())
		p.SetDrained(c.Drained)
	})
}

// directory is the list of VMs that the leader keeps.
type directory struct {
	mu  sync.RWMutex
	at  uint64
	vms map[string]steer.Report
}

func (d *directory) version() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.at
}

func (d *directory) apply(r *eelpb.RenewReply, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.vms
	d.vms = map[string]steer.Report{}
	if !r.DirectoryFull {
		for id, v := range old {
			// What is not in the delta is as it was, by the leader's word of now.
			v.ReportedAt = now
			d.vms[id] = v
		}
	}
	for _, id := range r.RemovedVms {
		delete(d.vms, id)
	}
	for _, v := range r.Vms {
		d.vms[v.Id] = steer.Report{VM: v, ReportedAt: now}
	}
	d.at = r.Directory
}

// staying counts the VMs that are not leaving and that the function picks.
func (d *directory) staying(pick func(*eelpb.VM) bool) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, v := range d.vms {
		if !v.VM.Leaving && pick(v.VM) {
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
