package pool

import (
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// SetOwned replaces the set of targets that the pool may dispatch to. A target that
// is no longer owned stays, without new work, until it has nothing in progress.
func (p *Pool) SetOwned(owned []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	keep := make(map[model.TargetID]bool, len(owned))
	for _, t := range owned {
		keep[t.ID] = true
		p.own(t, now)
	}
	for id, m := range p.members {
		if keep[id] {
			continue
		}
		m.owned = false
		if m.inFlight == 0 {
			delete(p.members, id)
		}
	}
	p.serve()
}

func (p *Pool) own(t Target, now time.Duration) {
	m, ok := p.members[t.ID]
	if !ok {
		// The grant names the target; only an announcement makes it ready.
		t.Ready, t.AnnouncedAt = false, 0
		m = &member{t: t, latency: p.service, rampFrom: now, rampFor: takeOverRamp}
		p.members[t.ID] = m
	}
	m.owned = true
}

// Update takes a target's newest announcement.
func (p *Pool) Update(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[t.ID]
	if !ok {
		return
	}
	now := p.o.Clock()
	if t.Incarnation != m.t.Incarnation || t.Ready && !m.t.Ready && m.t.AnnouncedAt != 0 {
		m.rampFrom, m.rampFor = now, p.warmUp
		m.drainAt, m.drainFor, m.outUntil, m.backoff = 0, 0, 0, 0
	}
	if t.Draining && m.drainAt == 0 {
		m.drainAt = now
	}
	m.t = t
	m.checkDrained(now)
	p.serve()
}

// SetDrained tells the pool which targets the catalogue drains.
func (p *Pool) SetDrained(drained func(model.FailureDomainID, model.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	for _, m := range p.members {
		d := drained(m.t.Domain, m.t.ID)
		if d && !m.drained {
			m.drainAt, m.drainFor = now, 0
		}
		if !d && m.drained && !m.t.Draining {
			m.drainAt, m.drainFor = 0, 0
		}
		m.drained = d
		m.checkDrained(now)
	}
	p.serve()
}

// DrainTime returns how long a draining target took to be free of work.
func (p *Pool) DrainTime(id model.TargetID) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[id]
	if !ok || m.drainFor == 0 {
		return 0, false
	}
	return m.drainFor, true
}

// Held returns the targets that the pool owns or still has requests at.
func (p *Pool) Held() []model.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]model.TargetID, 0, len(p.members))
	for id, m := range p.members {
		if m.owned || m.inFlight > 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Load is what the pool holds in one failure domain.
type Load struct {
	Domain   model.FailureDomainID
	Targets  int
	Slots    int
	InFlight int
	Queued   int
	Latency  time.Duration
}

// Loads returns the load by failure domain.
func (p *Pool) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	queued := 0
	for _, q := range p.queues {
		queued += len(q)
	}
	var out []Load
	for _, m := range p.members {
		i := slices.IndexFunc(out, func(l Load) bool { return l.Domain == m.t.Domain })
		if i < 0 {
			out = append(out, Load{Domain: m.t.Domain, Queued: queued, Latency: time.Duration(p.service)})
			i = len(out) - 1
		}
		c := m.capacity(now)
		out[i].Slots += c
		out[i].InFlight += m.inFlight
		if c > 0 {
			out[i].Targets++
		}
	}
	slices.SortFunc(out, func(a, b Load) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	return out
}

// Expire tells the pool that the lease is over: nothing is owned any more.
func (p *Pool) Expire() {
	p.SetOwned(nil)
}

// Load returns the requests in progress and those that wait.
func (p *Pool) Load() int {
	n := p.InFlight()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.queues {
		n += len(q)
	}
	return n
}

// InFlight returns the requests in progress.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.members {
		n += m.inFlight
	}
	return n
}
