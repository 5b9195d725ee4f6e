// Package lease grants leases to entry VMs: which targets a VM owns, and its share of each
// inter-region link and of each shift cap. A lease has one expiry for all of it, so that a
// partitioned VM holds nothing after a known time.
//
// The grantor performs no I/O and reads no clock: its inputs are the time and an entry's
// report, and its output is the grant. It maintains three invariants:
//
//   - A target has one owner at any time. It moves only once the previous owner has confirmed
//     the release, or once the lease of that owner has expired by every clock.
//   - The shares of a resource never add up to more than its capacity, and a released share
//     is withheld for one window before another VM gets it.
//   - A new grantor starts with a grace period, until every grant of its predecessor has
//     expired. In it, entries reclaim what they hold, and nothing else is granted.
//
// # Usage
//
//	g := lease.New(lease.Options{}, now, epoch)
//	reply, err := g.Renew(request, catalogue, now)
//
// The method is that of Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency" (1989).
package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Kind is the kind of an error of this package.
type Kind string

// The kinds of errors.
const (
	KindDuplicateVM   Kind = "duplicateVM"
	KindUnknownDomain Kind = "unknownFailureDomain"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// DefaultDuration is the duration of a lease, counted from when its renewal was sent.
	DefaultDuration = 2500 * time.Millisecond
	// clockDriftDivisor divides the duration of a lease to give the maximum drift between
	// clocks within it.
	clockDriftDivisor = 50
	// shareWindow is the window over which rates are counted, plus delivery jitter.
	shareWindow = 1200 * time.Millisecond
	// pendingRenewInterval is the renewal interval of an entry that waits for a target or
	// for more of a share.
	pendingRenewInterval = 100 * time.Millisecond
	// targetTTL is how long a target is kept after the last report of it.
	targetTTL = 10 * time.Second
)

// Options are the settings of a grantor.
type Options struct {
	Duration time.Duration
}

// Grantor holds the leases that one leader has granted. It is not safe for concurrent use.
type Grantor struct {
	duration   time.Duration
	graceUntil time.Duration
	grant      uint64
	dir        directory
	vms        map[model.VMID]*vm
	targets    map[model.TargetID]*target
	shares     map[string]*resource
	// dirty means that owners must be reassigned.
	dirty     bool
	catalogue model.Version
}

type vm struct {
	id          model.VMID
	incarnation uint64
	addr        string
	domain      model.FailureDomainID
	version     uint64
	leaving     bool
	expiresAt   time.Duration
	sites       []*eelpb.SiteLoad
	// reported lists the targets of the last report, and digest is the digest of that report.
	reported []model.TargetID
	digest   uint64
	owned    map[model.TargetID]*target
}

type target struct {
	report       *eelpb.TargetReport
	lastReported time.Duration
	owner        model.VMID
	// nextOwner is the VM that gets the target once the owner has released it.
	nextOwner model.VMID
	// revokedIn is the first grant that no longer lists the target for its owner, or 0.
	revokedIn uint64
}

// New returns a grantor that starts at now. Each new grantor of a group has a higher epoch, so
// that directory versions never repeat.
func New(o Options, now time.Duration, epoch uint64) *Grantor {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	g := &Grantor{
		duration: o.Duration, vms: map[model.VMID]*vm{}, targets: map[model.TargetID]*target{},
		shares: map[string]*resource{}, dir: newDirectory(epoch),
	}
	g.graceUntil = now + g.maxValidity()
	g.grant = epoch << counterBits
	return g
}

// maxValidity returns how long a grant may be in force, by any clock.
func (g *Grantor) maxValidity() time.Duration {
	return g.duration + g.duration/clockDriftDivisor
}

// InGracePeriod reports whether grants of a predecessor may still be in force.
func (g *Grantor) InGracePeriod(now time.Duration) bool {
	return now < g.graceUntil
}

// Renew processes an entry's report and returns its new grant.
func (g *Grantor) Renew(r *eelpb.RenewRequest, c *model.Catalogue, now time.Duration) (*eelpb.RenewReply, error) {
	g.expire(now)
	if !g.hasTargets(r) {
		return &eelpb.RenewReply{WantTargets: true}, nil
	}
	v, err := g.registerVM(r, c, now)
	if err != nil {
		return nil, err
	}
	g.recordTargets(v, r, now)
	g.release(v, r)
	if r.Closing {
		g.removeVM(v, now)
		return &eelpb.RenewReply{}, nil
	}
	g.reclaim(v, r, now)
	if !g.InGracePeriod(now) && (g.dirty || g.catalogue != c.Version) {
		g.assign(c)
		g.dirty, g.catalogue = false, c.Version
	}
	g.grant++
	a := &eelpb.RenewReply{LeaseMs: g.duration.Milliseconds(), Grant: g.grant, Version: uint64(c.Version)}
	a.Owned = g.grantedTargets(v, r, now)
	var short bool
	a.Shares, short = g.share(v, r, c, now)
	if short || g.hasMovingTarget(v) {
		a.AgainMs = pendingRenewInterval.Milliseconds()
	}
	a.Owners = g.ownersOf(v)
	a.HoldsDigest = holdsDigest(a)
	if a.HoldsDigest != 0 && a.HoldsDigest == r.HoldsDigest {
		a.HoldsSame, a.Owned, a.Owners = true, nil, nil
	}
	g.dir.addChanges(a, r.Directory)
	return a, nil
}

// hasTargets reports whether the targets of a report are in it or known from the previous one.
func (g *Grantor) hasTargets(r *eelpb.RenewRequest) bool {
	if !r.TargetsSame {
		return true
	}
	v, ok := g.vms[model.VMID(r.Vm)]
	return ok && v.incarnation == r.Incarnation && v.digest != 0 && v.digest == r.TargetsDigest
}

// hasMovingTarget reports whether a target is being moved from or to a VM.
func (g *Grantor) hasMovingTarget(v *vm) bool {
	for _, t := range g.targets {
		if t.revokedIn != 0 && (t.owner == v.id || t.nextOwner == v.id) {
			return true
		}
	}
	return false
}

func (g *Grantor) registerVM(r *eelpb.RenewRequest, c *model.Catalogue, now time.Duration) (*vm, error) {
	const op = "lease.Renew"
	id := model.VMID(r.Vm)
	d := model.FailureDomainID(r.FailureDomain)
	if _, ok := c.Domains[d]; !ok {
		return nil, errs.Newf(op, KindUnknownDomain, "failure domain %q of VM %q is not in the catalogue", d, id)
	}
	v, ok := g.vms[id]
	if ok && v.incarnation != r.Incarnation && r.Sole && v.addr == r.Addr && len(v.owned) == 0 && !g.holdsShares(id) {
		// The previous process has ended and held nothing that other VMs must wait for.
		g.removeVM(v, now)
		ok = false
	}
	if ok && v.incarnation != r.Incarnation {
		return nil, errs.Newf(op, KindDuplicateVM, "VM id %q is held by another process for %s more", id, v.expiresAt-now)
	}
	if !ok {
		v = &vm{id: id, incarnation: r.Incarnation, owned: map[model.TargetID]*target{}}
		g.vms[id] = v
	}
	g.dirty = g.dirty || !ok || v.leaving != r.Leaving || v.domain != d
	v.addr, v.domain, v.version, v.leaving = r.Addr, d, r.Version, r.Leaving
	v.sites = r.Sites
	v.expiresAt = now + g.maxValidity()
	g.dir.update(v)
	return v, nil
}

// holdsShares reports whether a VM has a share of any resource.
func (g *Grantor) holdsShares(id model.VMID) bool {
	for _, s := range g.shares {
		if s.holds(id) {
			return true
		}
	}
	return false
}

// recordTargets records the targets that the entry reports.
func (g *Grantor) recordTargets(v *vm, r *eelpb.RenewRequest, now time.Duration) {
	if r.TargetsSame {
		g.refreshTargets(v, now)
		return
	}
	v.reported, v.digest = v.reported[:0], TargetsDigest(r.Targets)
	for _, t := range r.Targets {
		id := model.TargetID(t.Id)
		x, ok := g.targets[id]
		if !ok {
			x = &target{}
			g.targets[id] = x
		}
		if x.report == nil || t.Incarnation >= x.report.Incarnation {
			g.dirty = g.dirty || x.report == nil || x.report.FailureDomain != t.FailureDomain || x.report.Slots != t.Slots
			x.report = t
		}
		x.lastReported = now
		v.reported = append(v.reported, id)
	}
}

// refreshTargets records the targets of the entry's last report as reported again.
func (g *Grantor) refreshTargets(v *vm, now time.Duration) {
	for _, id := range v.reported {
		t, ok := g.targets[id]
		if !ok {
			// The target has been removed, so the next report must list all targets.
			v.digest = 0
			continue
		}
		t.lastReported = now
	}
}

// release frees the revoked targets that the entry no longer holds.
func (g *Grantor) release(v *vm, r *eelpb.RenewRequest) {
	for id, t := range v.owned {
		if t.revokedIn == 0 || r.SeenGrant < t.revokedIn {
			continue
		}
		if !slices.Contains(r.Held, string(id)) {
			g.setOwner(id, t, nil)
		}
	}
}

// reclaim lets an entry keep the targets that it holds under a previous grantor's lease.
func (g *Grantor) reclaim(v *vm, r *eelpb.RenewRequest, now time.Duration) {
	if !g.InGracePeriod(now) {
		return
	}
	for _, h := range r.Held {
		t, ok := g.targets[model.TargetID(h)]
		if ok && t.owner == "" {
			g.setOwner(model.TargetID(h), t, v)
		}
	}
}

// grantedTargets returns the targets that the entry may dispatch to.
func (g *Grantor) grantedTargets(v *vm, r *eelpb.RenewRequest, now time.Duration) []*eelpb.TargetReport {
	var out []*eelpb.TargetReport
	for id, t := range v.owned {
		if t.revokedIn != 0 {
			continue
		}
		if g.InGracePeriod(now) && !slices.Contains(r.Held, string(id)) {
			continue
		}
		out = append(out, t.report)
	}
	slices.SortFunc(out, func(a, b *eelpb.TargetReport) int { return strings.Compare(a.Id, b.Id) })
	return out
}

// ownersOf returns the owners of the targets that a VM reports.
func (g *Grantor) ownersOf(v *vm) []*eelpb.TargetOwner {
	var out []*eelpb.TargetOwner
	for _, id := range v.reported {
		t, ok := g.targets[id]
		if !ok {
			continue
		}
		if o, ok := g.vms[t.owner]; ok {
			out = append(out, &eelpb.TargetOwner{Target: string(id), Vm: string(o.id), Addr: o.addr})
		}
	}
	return out
}

// expire removes VMs whose lease has expired by every clock, and targets without an owner that
// no entry has reported for targetTTL.
func (g *Grantor) expire(now time.Duration) {
	for _, v := range g.vms {
		if now >= v.expiresAt {
			g.removeVM(v, now)
		}
	}
	for id, t := range g.targets {
		if t.owner == "" && now >= t.lastReported+targetTTL {
			delete(g.targets, id)
		}
	}
}

// setOwner sets the owner of a target; a nil owner frees it.
func (g *Grantor) setOwner(id model.TargetID, t *target, to *vm) {
	if old, ok := g.vms[t.owner]; ok {
		delete(old.owned, id)
	}
	t.owner, t.revokedIn = "", 0
	if to != nil {
		t.owner = to.id
		to.owned[id] = t
	}
	g.dirty = true
}

func (g *Grantor) removeVM(v *vm, now time.Duration) {
	g.dir.remove(v.id)
	for id, t := range v.owned {
		g.setOwner(id, t, nil)
	}
	g.dirty = true
	delete(g.vms, v.id)
	for _, s := range g.shares {
		s.removeVM(v.id, now)
	}
}

// VMs returns the VMs that hold a lease, ordered by id.
func (g *Grantor) VMs() []*eelpb.VM {
	return g.dir.list()
}

// TargetStatus is the state of a target as shown to operators.
type TargetStatus struct {
	ID            model.TargetID        `json:"id"`
	Service       model.ServiceID       `json:"service"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Addr          string                `json:"addr"`
	Slots         uint32                `json:"slots"`
	Owner         model.VMID            `json:"owner"`
	Ready         bool                  `json:"ready"`
	Draining      bool                  `json:"draining"`
}

// Targets returns the known targets, ordered by id.
func (g *Grantor) Targets() []TargetStatus {
	out := make([]TargetStatus, 0, len(g.targets))
	for id, t := range g.targets {
		out = append(out, TargetStatus{
			ID: id, Service: model.ServiceID(t.report.Service), Addr: t.report.Addr, Slots: t.report.Slots,
			FailureDomain: model.FailureDomainID(t.report.FailureDomain), Owner: t.owner,
			Ready: t.report.Ready, Draining: t.report.Draining,
		})
	}
	slices.SortFunc(out, func(a, b TargetStatus) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
