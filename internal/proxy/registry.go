package proxy

import (
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// registry holds the targets as this VM knows them. The cost of a catalogue change depends on the
// number of changed targets, not on the number of all targets.
type registry struct {
	o   Options
	now func() time.Duration

	mu            sync.RWMutex
	version       model.Version
	built         bool
	byID          map[model.TargetID]*target
	targetsByHash map[place.TargetHash]*target
	services      map[model.ServiceID]*servicePool
	drained       map[model.FailureDomainID]bool
}

// servicePool holds the targets of a service that are ready and not drained.
type servicePool struct {
	list  []*target
	slots map[model.RegionID]int
	total int
}

func (r *servicePool) add(x *target, slots int) {
	x.pool, x.poolIndex, x.poolSlots = r, len(r.list), slots
	r.list = append(r.list, x)
	r.slots[x.region] += slots
	r.total += slots
}

func (r *servicePool) remove(x *target) {
	last := r.list[len(r.list)-1]
	r.list[x.poolIndex], last.poolIndex = last, x.poolIndex
	r.list = r.list[:len(r.list)-1]
	r.slots[x.region] -= x.poolSlots
	r.total -= x.poolSlots
	x.pool = nil
}

// slotFraction returns a region's fraction of the slots.
func (r *servicePool) slotFraction(region model.RegionID) float64 {
	if r.total == 0 {
		return 0
	}
	return float64(r.slots[region]) / float64(r.total)
}

func (t *registry) init(o Options, now func() time.Duration) {
	t.o, t.now = o, now
	t.targetsByHash = map[place.TargetHash]*target{}
	t.byID, t.services = map[model.TargetID]*target{}, map[model.ServiceID]*servicePool{}
}

// read calls a function with the pool of a service's ready targets. The function must not keep
// the pool.
func (t *registry) read(c *model.Catalogue, s model.ServiceID, f func(*servicePool)) {
	t.update(c)
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.services[s]
	if !ok {
		r = &servicePool{}
	}
	f(r)
}

// update applies a newer catalogue; the state of targets that remain is kept.
func (t *registry) update(c *model.Catalogue) {
	t.mu.RLock()
	current := t.built && t.version >= c.Version
	t.mu.RUnlock()
	if current {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.built && t.version >= c.Version {
		return
	}
	changed, ok := c.ChangedTargets(t.version)
	if !t.built || !ok {
		t.rebuild(c)
	}
	now := t.now()
	for _, id := range changed {
		t.applyChange(c, id, now)
	}
	t.version, t.built = c.Version, true
}

// rebuild applies all targets of the catalogue; the caller holds the lock.
func (t *registry) rebuild(c *model.Catalogue) {
	now, wasDrained := t.now(), t.drained
	t.drained = map[model.FailureDomainID]bool{}
	for d := range c.Domains {
		t.drained[d] = c.Drained(d, "")
	}
	for id := range t.byID {
		if _, ok := c.Targets.Get(id); !ok {
			t.applyChange(c, id, now)
		}
	}
	for id, m := range c.Targets.All() {
		t.applyChange(c, id, now)
		if wasDrained[m.FailureDomain] && !t.drained[m.FailureDomain] {
			// The caches of the targets may have become cold while no requests were sent to them,
			// and an announcement of that may be in transit.
			t.byID[id].extendCold(now + t.o.HeartbeatInterval + announcementDelay)
		}
	}
}

// applyChange applies the catalogue's record of one target; the caller holds the lock.
func (t *registry) applyChange(c *model.Catalogue, id model.TargetID, now time.Duration) {
	old := t.byID[id]
	if old != nil && old.pool != nil {
		old.pool.remove(old)
	}
	m, ok := c.Targets.Get(id)
	if !ok {
		delete(t.byID, id)
		delete(t.targetsByHash, place.HashTarget(string(id)))
		old.close()
		return
	}
	x := t.reuseOrCreate(old, m, now)
	if old != x {
		old.close()
	}
	x.region = c.RegionOf(m.FailureDomain)
	t.byID[id], t.targetsByHash[x.hash] = x, x
	if m.State == model.TargetReady && !c.Drained(m.FailureDomain, id) {
		t.servicePool(m.Service).add(x, m.Slots)
	}
}

// byHash returns the target whose name has the hash, or nil.
func (t *registry) byHash(s place.TargetHash) *target {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targetsByHash[s]
}

func (t *registry) servicePool(s model.ServiceID) *servicePool {
	r, ok := t.services[s]
	if !ok {
		r = &servicePool{slots: map[model.RegionID]int{}}
		t.services[s] = r
	}
	return r
}

// reuseOrCreate returns the target for a record: the existing one if the target has not restarted
// since, otherwise a new one.
func (t *registry) reuseOrCreate(old *target, m model.Target, now time.Duration) *target {
	cold := time.Duration(0)
	if m.ColdMillis > 0 {
		cold = now + m.ColdMillis.Duration() + announcementDelay
	}
	if old == nil || !old.sameIncarnation(m) {
		x := &target{id: m.ID, domain: m.FailureDomain, record: m, hash: place.HashTarget(string(m.ID)), coldUntil: cold, dispatcher: newDispatcher(m.Slots)}
		x.conns.init(t.o, m.Addr)
		return x
	}
	old.mu.Lock()
	defer old.mu.Unlock()
	if m.ColdMillis > 0 && m.ColdMillis != old.record.ColdMillis {
		old.coldUntil = max(old.coldUntil, cold)
		old.warm.Clear()
		old.dispatcher.clearWarm()
	}
	old.record = m
	old.dispatcher.setSlots(m.Slots)
	return old
}

// sweep closes idle connections that can no longer be used.
func (t *registry) sweep(now time.Time) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, x := range t.byID {
		x.conns.sweep(now)
	}
}

func (t *registry) close() {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, x := range t.byID {
		x.conns.close()
	}
}

// counts returns the number of known targets and of usable ones.
func (t *registry) counts() (known, usable int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	for _, r := range t.services {
		for _, x := range r.list {
			if x.usable(now) {
				usable++
			}
		}
	}
	return len(t.byID), usable
}
