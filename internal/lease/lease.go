// Package lease decides what each entry VM may rely on: which targets it owns,
// and its share of each inter-region link and of each shift cap. All of it has
// one expiry, so that a VM that is cut off holds nothing after a known time.
//
// The grantor is pure: it is told the time and what an entry reports, and
// returns the grant. It keeps three rules:
//
//   - a target has one owner at any time: it moves only once the old owner has
//     confirmed that it let go, or once its lease is over by every clock;
//   - the shares of a resource never add up to more than its capacity, and a
//     share that was given back rests for one window before another VM gets it;
//   - a new grantor confirms what entries hold and grants nothing else until
//     all that its predecessor may have granted is over.
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

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindDuplicateVM   Kind = "duplicateVM"
	KindUnknownDomain Kind = "unknownFailureDomain"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// DefaultDuration is how long a lease lasts from the moment its renewal was sent.
	DefaultDuration = 2500 * time.Millisecond
	// clockRateBound divides a lease to give what clocks may drift apart in it.
	clockRateBound = 50
	// shareWindow is the window in which rates are counted, with the jitter of deliveries.
	shareWindow = 1200 * time.Millisecond
	// soon is when an entry renews that waits for something.
	soon = 100 * time.Millisecond
	// targetLife is how long a target that no entry reports is remembered.
	targetLife = 10 * time.Second
)

// Options are the settings of a grantor.
type Options struct {
	Duration time.Duration
}

// Grantor is the state of one leader's leases. It is not safe for concurrent use.
type Grantor struct {
	length  time.Duration
	quietTo time.Duration
	grant   uint64
	dir     directory
	vms     map[model.VMID]*vm
	targets map[model.TargetID]*target
	shares  map[string]*resource
	// dirty says that owners must be assigned anew.
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
	expires     time.Duration
	sites       []*eelpb.SiteLoad
	// reported are the targets of the last report, which has the digest.
	reported []model.TargetID
	digest   uint64
	owned    map[model.TargetID]*target
}

type target struct {
	report *eelpb.TargetReport
	heard  time.Duration
	owner  model.VMID
	// next is the VM that gets the target once the owner let go.
	next model.VMID
	// leavingIn is the first grant that no longer named the target to its owner, or 0.
	leavingIn uint64
}

// New returns a grantor that starts at now. The epoch is higher for each new
// grantor of a group, so that versions of its directory never repeat.
func New(o Options, now time.Duration, epoch uint64) *Grantor {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	g := &Grantor{
		length: o.Duration, vms: map[model.VMID]*vm{}, targets: map[model.TargetID]*target{},
		shares: map[string]*resource{}, dir: newDirectory(epoch),
	}
	g.quietTo = now + g.held()
	g.grant = epoch << epochShift
	return g
}

// held is how long a grant may be relied on, by any clock.
func (g *Grantor) held() time.Duration {
	return g.length + g.length/clockRateBound
}

// InGracePeriod tells whether grants of a predecessor may still be in force.
func (g *Grantor) InGracePeriod(now time.Duration) bool {
	return now < g.quietTo
}

// Renew takes an entry's report and returns what it may rely on.
func (g *Grantor) Renew(r *eelpb.RenewRequest, c *model.Catalogue, now time.Duration) (*eelpb.RenewReply, error) {
	g.expire(now)
	if !g.knows(r) {
		return &eelpb.RenewReply{WantTargets: true}, nil
	}
	v, err := g.admit(r, c, now)
	if err != nil {
		return nil, err
	}
	g.hear(v, r, now)
	g.release(v, r)
	if r.Closing {
		g.drop(v, now)
		return &eelpb.RenewReply{}, nil
	}
	g.confirm(v, r, now)
	if !g.InGracePeriod(now) && (g.dirty || g.catalogue != c.Version) {
		g.assign(c)
		g.dirty, g.catalogue = false, c.Version
	}
	g.grant++
	a := &eelpb.RenewReply{LeaseMs: g.length.Milliseconds(), Grant: g.grant, Version: uint64(c.Version)}
	a.Owned = g.ownedBy(v, r, now)
	var short bool
	a.Shares, short = g.share(v, r, c, now)
	if short || g.moving(v) {
		a.AgainMs = soon.Milliseconds()
	}
	a.Owners = g.ownersOf(v)
	a.HoldsDigest = holdsDigest(a)
	if a.HoldsDigest != 0 && a.HoldsDigest == r.HoldsDigest {
		a.HoldsSame, a.Owned, a.Owners = true, nil, nil
	}
	g.dir.fill(a, r.Directory)
	return a, nil
}

// knows tells whether the targets of a report are in it or known from before.
func (g *Grantor) knows(r *eelpb.RenewRequest) bool {
	if !r.TargetsSame {
		return true
	}
	v, ok := g.vms[model.VMID(r.Vm)]
	return ok && v.incarnation == r.Incarnation && v.digest != 0 && v.digest == r.TargetsDigest
}

// moving tells whether a target is on its way from or to a VM.
func (g *Grantor) moving(v *vm) bool {
	for _, t := range g.targets {
		if t.leavingIn != 0 && (t.owner == v.id || t.next == v.id) {
			return true
		}
	}
	return false
}

func (g *Grantor) admit(r *eelpb.RenewRequest, c *model.Catalogue, now time.Duration) (*vm, error) {
	const op = "lease.Renew"
	id := model.VMID(r.Vm)
	d := model.FailureDomainID(r.FailureDomain)
	if _, ok := c.Domains[d]; !ok {
		return nil, errs.Newf(op, KindUnknownDomain, "failure domain %q of VM %q is not in the catalogue", d, id)
	}
	v, ok := g.vms[id]
	if ok && v.incarnation != r.Incarnation && r.Sole && v.addr == r.Addr && len(v.owned) == 0 && !g.holdsShares(id) {
		// The former process has ended and held nothing that others must wait for.
		g.drop(v, now)
		ok = false
	}
	if ok && v.incarnation != r.Incarnation {
		return nil, errs.Newf(op, KindDuplicateVM, "VM id %q is held by another process for %s more", id, v.expires-now)
	}
	if !ok {
		v = &vm{id: id, incarnation: r.Incarnation, owned: map[model.TargetID]*target{}}
		g.vms[id] = v
	}
	g.dirty = g.dirty || !ok || v.leaving != r.Leaving || v.domain != d
	v.addr, v.domain, v.version, v.leaving = r.Addr, d, r.Version, r.Leaving
	v.sites = r.Sites
	v.expires = now + g.held()
	g.dir.put(v)
	return v, nil
}

// holdsShares tells whether a VM has a share of anything.
func (g *Grantor) holdsShares(id model.VMID) bool {
	for _, s := range g.shares {
		if s.holds(id) {
			return true
		}
	}
	return false
}

// hear takes the targets that the entry has heard.
func (g *Grantor) hear(v *vm, r *eelpb.RenewRequest, now time.Duration) {
	if r.TargetsSame {
		g.hearAgain(v, now)
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
		x.heard = now
		v.reported = append(v.reported, id)
	}
}

// hearAgain takes the targets of the entry's last report once more.
func (g *Grantor) hearAgain(v *vm, now time.Duration) {
	for _, id := range v.reported {
		t, ok := g.targets[id]
		if !ok {
			// The target was forgotten, so the next report must name all.
			v.digest = 0
			continue
		}
		t.heard = now
	}
}

// release frees the targets that the entry has let go of.
func (g *Grantor) release(v *vm, r *eelpb.RenewRequest) {
	for id, t := range v.owned {
		if t.leavingIn == 0 || r.SeenGrant < t.leavingIn {
			continue
		}
		if !slices.Contains(r.Held, string(id)) {
			g.setOwner(id, t, nil)
		}
	}
}

// confirm lets an entry keep what it holds under a former grantor.
func (g *Grantor) confirm(v *vm, r *eelpb.RenewRequest, now time.Duration) {
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

// ownedBy returns the targets that the entry may dispatch to.
func (g *Grantor) ownedBy(v *vm, r *eelpb.RenewRequest, now time.Duration) []*eelpb.TargetReport {
	var out []*eelpb.TargetReport
	for id, t := range v.owned {
		if t.leavingIn != 0 {
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

// expire forgets VMs whose lease is over by every clock, and targets that nobody hears.
func (g *Grantor) expire(now time.Duration) {
	for _, v := range g.vms {
		if now >= v.expires {
			g.drop(v, now)
		}
	}
	for id, t := range g.targets {
		if t.owner == "" && now >= t.heard+targetLife {
			delete(g.targets, id)
		}
	}
}

// setOwner gives a target another owner, or none.
func (g *Grantor) setOwner(id model.TargetID, t *target, to *vm) {
	if old, ok := g.vms[t.owner]; ok {
		delete(old.owned, id)
	}
	t.owner, t.leavingIn = "", 0
	if to != nil {
		t.owner = to.id
		to.owned[id] = t
	}
	g.dirty = true
}

func (g *Grantor) drop(v *vm, now time.Duration) {
	g.dir.remove(v.id)
	for id, t := range v.owned {
		g.setOwner(id, t, nil)
	}
	g.dirty = true
	delete(g.vms, v.id)
	for _, s := range g.shares {
		s.drop(v.id, now)
	}
}

// VMs returns the VMs that hold a lease.
func (g *Grantor) VMs() []*eelpb.VM {
	return g.dir.all()
}

// TargetStatus is what operators see of a target.
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

// Targets returns the targets that are known.
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
