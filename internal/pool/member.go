package pool

import (
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// SetOwned replaces the set of targets that the pool may dispatch to. A target that
// is no longer owned gets no new requests. It is removed by the first call that finds
// none of its requests in progress.
func (p *Pool) SetOwned(owned []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	keep := make(map[model.TargetID]bool, len(owned))
	for _, t := range owned {
		keep[t.ID] = true
		p.addOwned(t, now)
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
	p.assignSlots()
}

func (p *Pool) addOwned(t Target, now time.Duration) {
	m, ok := p.members[t.ID]
	if !ok {
		// The grant only names the target; an announcement makes it ready.
		t.Ready, t.AnnouncedAt = false, 0
		m = &member{t: t, latency: p.serviceTime, rampStart: now, rampDuration: takeoverRamp}
		p.members[t.ID] = m
	}
	m.owned = true
}

// Update applies a target's newest announcement.
func (p *Pool) Update(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[t.ID]
	if !ok {
		return
	}
	now := p.o.Clock()
	if t.Incarnation != m.t.Incarnation || t.Ready && !m.t.Ready && m.t.AnnouncedAt != 0 {
		m.rampStart, m.rampDuration = now, p.warmUp
		m.drainStart, m.drainTime, m.ejectedUntil, m.backoff = 0, 0, 0, 0
	}
	if t.Draining && m.drainStart == 0 {
		m.drainStart = now
	}
	m.t = t
	m.checkDrained(now)
	p.assignSlots()
}

// SetDrained sets which targets the catalogue drains.
func (p *Pool) SetDrained(drained func(model.FailureDomainID, model.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	for _, m := range p.members {
		d := drained(m.t.Domain, m.t.ID)
		if d && !m.drained {
			m.drainStart, m.drainTime = now, 0
		}
		if !d && m.drained && !m.t.Draining {
			m.drainStart, m.drainTime = 0, 0
		}
		m.drained = d
		m.checkDrained(now)
	}
	p.assignSlots()
}

// DrainTime returns how long a draining target took to finish its requests, if it has.
func (p *Pool) DrainTime(id model.TargetID) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[id]
	if !ok || m.drainTime == 0 {
		return 0, false
	}
	return m.drainTime, true
}

// Held returns the targets that the pool owns or still has requests in progress at.
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

// Load is the load of the pool in one failure domain.
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
			out = append(out, Load{Domain: m.t.Domain, Queued: queued, Latency: time.Duration(p.serviceTime)})
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

// Expire removes all targets from the owned set because the lease has expired.
func (p *Pool) Expire() {
	p.SetOwned(nil)
}

// Load returns the number of requests in progress and waiting.
func (p *Pool) Load() int {
	n := p.InFlight()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.queues {
		n += len(q)
	}
	return n
}

// InFlight returns the number of requests in progress.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.members {
		n += m.inFlight
	}
	return n
}
