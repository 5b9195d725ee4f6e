package proxy

import (
	"maps"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/limit"
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
	// retired holds the targets that the catalogue lists no more. A target may only have been
	// silent; what it announced to this VM is still valid when it is listed again.
	retired map[model.TargetID]retiredTarget
}

// retiredTarget is a target that the catalogue has not listed since at.
type retiredTarget struct {
	*target
	at time.Duration
}

// retiredTTL is how long a target that the catalogue lists no more is kept: a target that has lost
// its heartbeats for longer has ended.
const retiredTTL = time.Minute

// servicePool holds the targets of a service that are ready and not drained.
type servicePool struct {
	list  []*target
	slots map[model.RegionID]int
	total int
}

func (s *servicePool) add(x *target, slots int) {
	x.pool, x.poolIndex, x.poolSlots = s, len(s.list), slots
	s.list = append(s.list, x)
	s.slots[x.region] += slots
	s.total += slots
}

func (s *servicePool) remove(x *target) {
	last := s.list[len(s.list)-1]
	s.list[x.poolIndex], last.poolIndex = last, x.poolIndex
	s.list = s.list[:len(s.list)-1]
	s.slots[x.region] -= x.poolSlots
	s.total -= x.poolSlots
	x.pool = nil
}

// slotFraction returns a region's fraction of the slots.
func (s *servicePool) slotFraction(region model.RegionID) float64 {
	if s.total == 0 {
		return 0
	}
	return float64(s.slots[region]) / float64(s.total)
}

func (r *registry) init(o Options, now func() time.Duration) {
	r.o, r.now = o, now
	r.targetsByHash = map[place.TargetHash]*target{}
	r.byID, r.services = map[model.TargetID]*target{}, map[model.ServiceID]*servicePool{}
	r.retired = map[model.TargetID]retiredTarget{}
}

// read calls a function with the pool of a service's ready targets. The function must not keep
// the pool.
func (r *registry) read(c *model.Catalogue, s model.ServiceID, f func(*servicePool)) {
	r.update(c)
	r.mu.RLock()
	defer r.mu.RUnlock()
	pool, ok := r.services[s]
	if !ok {
		pool = &servicePool{}
	}
	f(pool)
}

// update applies a newer catalogue; the state of targets that remain is kept.
func (r *registry) update(c *model.Catalogue) {
	r.mu.RLock()
	current := r.built && r.version >= c.Version
	r.mu.RUnlock()
	if current {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.built && r.version >= c.Version {
		return
	}
	changed, ok := c.ChangedTargets(r.version)
	if !r.built || !ok {
		r.rebuild(c)
	}
	now := r.now()
	for _, id := range changed {
		r.applyChange(c, id, now)
	}
	r.version, r.built = c.Version, true
}

// rebuild applies all targets of the catalogue; the caller holds the lock.
func (r *registry) rebuild(c *model.Catalogue) {
	now, wasDrained := r.now(), r.drained
	r.drained = map[model.FailureDomainID]bool{}
	for d := range c.Domains {
		r.drained[d] = c.Drained(d, "")
	}
	for id := range r.byID {
		if _, ok := c.Targets.Get(id); !ok {
			r.applyChange(c, id, now)
		}
	}
	for id, m := range c.Targets.All() {
		r.applyChange(c, id, now)
		if wasDrained[m.FailureDomain] && !r.drained[m.FailureDomain] {
			// The caches of the targets may have become cold while no requests were sent to them,
			// and an announcement of that may be in transit.
			r.byID[id].extendCold(now + r.o.HeartbeatInterval + model.AnnouncementDelay)
		}
	}
}

// applyChange applies the catalogue's record of one target; the caller holds the lock.
func (r *registry) applyChange(c *model.Catalogue, id model.TargetID, now time.Duration) {
	old := r.byID[id]
	if old != nil && old.pool != nil {
		old.pool.remove(old)
	}
	m, ok := c.Targets.Get(id)
	if !ok {
		delete(r.byID, id)
		delete(r.targetsByHash, place.HashTarget(string(id)))
		if old != nil {
			old.retire()
			r.retired[id] = retiredTarget{old, now}
		}
		return
	}
	if old == nil {
		old = r.retired[id].target
	}
	delete(r.retired, id)
	x := r.reuseOrCreate(old, m, now)
	if old != nil && old != x {
		old.retire()
	}
	x.region = c.RegionOf(m.FailureDomain)
	r.byID[id], r.targetsByHash[x.hash] = x, x
	inService := m.State == model.TargetReady && !c.Drained(m.FailureDomain, id)
	x.setInService(inService)
	if inService {
		r.servicePool(m.Service).add(x, m.Slots)
	}
}

// get returns the target with a name, or nil.
func (r *registry) get(id model.TargetID) *target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// each calls a function for each target that the catalogue lists.
func (r *registry) each(f func(*target)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, x := range r.byID {
		f(x)
	}
}

// byHash returns the target whose name has the hash, or nil.
func (r *registry) byHash(s place.TargetHash) *target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.targetsByHash[s]
}

func (r *registry) servicePool(s model.ServiceID) *servicePool {
	pool, ok := r.services[s]
	if !ok {
		pool = &servicePool{slots: map[model.RegionID]int{}}
		r.services[s] = pool
	}
	return pool
}

// reuseOrCreate returns the target for a record: the existing one if the target has not restarted
// since, otherwise a new one.
func (r *registry) reuseOrCreate(old *target, m model.Target, now time.Duration) *target {
	cold := time.Duration(0)
	if m.ColdMillis > 0 {
		cold = now + m.ColdMillis.Duration() + model.AnnouncementDelay
	}
	if old == nil || !old.sameIncarnation(m) {
		x := &target{id: m.ID, domain: m.FailureDomain, record: m, hash: place.HashTarget(string(m.ID)), coldUntil: cold, dispatcher: newDispatcher(m.Slots)}
		x.conns.init(r.o, m.Addr)
		x.limit.position = func() limit.Position { return r.o.Cluster.Position(string(m.ID)) }
		return x
	}
	old.conns.open()
	old.mu.Lock()
	defer old.mu.Unlock()
	// The version recognizes a new cold time also where a record in between was not read.
	if m.ColdMillis > 0 && (m.Version != old.record.Version || m.ColdMillis != old.record.ColdMillis) {
		old.coldUntil = max(old.coldUntil, cold)
		old.warm.Clear()
		old.dispatcher.clearWarm()
	}
	old.record = m
	old.dispatcher.setSlots(m.Slots)
	return old
}

// sweep closes idle connections that can no longer be used.
func (r *registry) sweep(now time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, x := range r.byID {
		x.conns.sweep(now)
	}
}

// dropRetired drops the targets that were retired long ago.
func (r *registry) dropRetired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.retired, func(_ model.TargetID, x retiredTarget) bool { return r.now() >= x.at+retiredTTL })
}

func (r *registry) close() {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, x := range r.byID {
		x.conns.close()
	}
}

// counts returns the number of known targets and of usable ones.
func (r *registry) counts() (known, usable int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.now()
	for _, pool := range r.services {
		for _, x := range pool.list {
			if x.usable(now) {
				usable++
			}
		}
	}
	return len(r.byID), usable
}
