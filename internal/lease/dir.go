package lease

import (
	"slices"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// counterBits is the number of low bits of a version or grant number that count the changes or
// grants within an epoch; the higher bits hold the epoch.
const counterBits = 32

// EpochOf returns the epoch of a version of the directory. Each leader has its own.
func EpochOf(version uint64) uint64 { return version >> counterBits }

// maxRemovals is the maximum number of removals that are kept for deltas.
const maxRemovals = 1024

// directory lists the VMs with the sites that they own, by version, so that an entry is sent
// only what changed since its last renewal.
type directory struct {
	version uint64
	// minDeltaVersion is the oldest version for which a delta can be sent.
	minDeltaVersion uint64
	vms             map[model.VMID]*dirEntry
	removed         []removal
}

type dirEntry struct {
	version uint64
	vm      *eelpb.VM
}

type removal struct {
	version uint64
	id      model.VMID
}

func newDirectory(epoch uint64) directory {
	v := epoch << counterBits
	return directory{version: v, minDeltaVersion: v, vms: map[model.VMID]*dirEntry{}}
}

func (d *directory) update(v *vm) {
	n := &eelpb.VM{
		Id: string(v.id), Addr: v.addr, FailureDomain: string(v.domain),
		Leaving: v.leaving, Version: v.version, Sites: v.sites,
	}
	if old, ok := d.vms[v.id]; ok && isEquivalent(old.vm, n) {
		// Operators see the newest state; entries are not sent changes that they do not use.
		old.vm = n
		return
	}
	d.version++
	d.vms[v.id] = &dirEntry{version: d.version, vm: n}
}

// loadSteps is the number of steps of load per slot that the directory distinguishes. A finer
// value is not needed, since the responses of an owner carry a more precise and more recent load.
const loadSteps = 4

// isEquivalent reports whether two states of a VM differ too little to be sent to entries.
func isEquivalent(a, b *eelpb.VM) bool {
	if len(a.Sites) != len(b.Sites) {
		return false
	}
	for i, x := range a.Sites {
		y := b.Sites[i]
		same := x.Service == y.Service && x.FailureDomain == y.FailureDomain && x.Slots == y.Slots
		if !same || loadStep(x) != loadStep(y) {
			return false
		}
	}
	return a.Addr == b.Addr && a.FailureDomain == b.FailureDomain && a.Leaving == b.Leaving
}

func loadStep(s *eelpb.SiteLoad) uint32 {
	return (s.InFlight + s.Queued) * loadSteps / max(1, s.Slots)
}

func (d *directory) remove(id model.VMID) {
	d.version++
	delete(d.vms, id)
	d.removed = append(d.removed, removal{version: d.version, id: id})
	if extra := len(d.removed) - maxRemovals; extra > 0 {
		d.minDeltaVersion = d.removed[extra-1].version
		d.removed = slices.Clone(d.removed[extra:])
	}
}

// addChanges adds the changes after a version to a reply, or the full directory if there is no
// delta from that version.
func (d *directory) addChanges(a *eelpb.RenewReply, after uint64) {
	a.Directory = d.version
	a.DirectoryFull = after < d.minDeltaVersion || after > d.version
	for _, e := range d.vms {
		if a.DirectoryFull || e.version > after {
			a.Vms = append(a.Vms, e.vm)
		}
	}
	if a.DirectoryFull {
		return
	}
	for _, r := range d.removed {
		if _, back := d.vms[r.id]; r.version > after && !back {
			a.RemovedVms = append(a.RemovedVms, string(r.id))
		}
	}
}

func (d *directory) list() []*eelpb.VM {
	out := make([]*eelpb.VM, 0, len(d.vms))
	for _, e := range d.vms {
		out = append(out, e.vm)
	}
	slices.SortFunc(out, func(a, b *eelpb.VM) int { return strings.Compare(a.Id, b.Id) })
	return out
}
