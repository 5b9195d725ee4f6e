package poison

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// suspectEnds and banEnds are the numbers of ends in a row, at different moments, after which a
	// request is suspected and banned.
	suspectEnds = 2
	banEnds     = 3
	// sameMoment is how close two ends are that count as one: targets that end together have a common
	// cause, such as a failure domain that loses power, and a popular request is in flight at all of
	// them.
	sameMoment = 100 * time.Millisecond
	// maxEndsOfMoment bounds the ends that are kept of one moment.
	maxEndsOfMoment = 2
	// settleTime is how long after a request was suspected it can be banned at the earliest: by then
	// the VMs have reported whole responses to it.
	settleTime = 600 * time.Millisecond
	// evidenceTTL is how long an end counts.
	evidenceTTL = 10 * time.Minute
	// maxSuspects bounds the requests with evidence. Those that are suspected or banned are kept.
	maxSuspects = 4096
	// maxQuarantined bounds the requests that are suspected or banned.
	maxQuarantined = 1024
	// maxEndsKept bounds the ends that are listed for a request.
	maxEndsKept = 8
	// maxLifetimes bounds the ends that are remembered for a request to explain those of others.
	maxLifetimes = 64
	// trialInterval is the time between the first two trials of a suspected request. In it the end of a target is
	// confirmed and reported. It doubles with each further trial, up to maxTrialDoublings times: a target may
	// go without a sign.
	trialInterval     = 5 * time.Second
	maxTrialDoublings = 6
	// reportSkew is an allowance for the delay of a report.
	reportSkew = 100 * time.Millisecond
)

// Request is a request that was in flight at a target that ended.
type Request struct {
	Digest  model.RequestDigest
	Route   model.RouteID
	Service model.ServiceID
}

// End is one VM's report of the end of a target.
type End struct {
	VM          model.VMID
	Target      model.TargetID
	Incarnation uint64
	At          time.Duration
	// Requests are those of the VM that were in flight at the target.
	Requests []Request
}

// Change is a decision that is to be committed.
type Change struct {
	Digest model.RequestDigest
	// Quarantine is the new state; nil means that the request is neither suspected nor banned.
	Quarantine *model.Quarantine
}

// lifetime is one incarnation of a target.
type lifetime struct {
	target      model.TargetID
	incarnation uint64
}

// end is the end of one incarnation of a target.
type end struct {
	lifetime
	at  time.Duration
	vms []model.VMID
}

// suspect is the evidence against one request.
type suspect struct {
	request Request
	// ends are those since the last whole response, oldest first.
	ends []end
	// wholeAt is when the last send started that got a whole response, if hasWhole. Times may be
	// negative: an end may have been before the leader started.
	wholeAt  time.Duration
	hasWhole bool
	// state is the committed state, since stateAt; it is empty if there is none.
	state   model.QuarantineState
	stateAt time.Duration
	// changing means that a decision is being committed.
	changing bool
	lastAt   time.Duration
	// trials is the number of trials since the request was suspected, and nextTrialAt when the next is permitted.
	trials      int
	nextTrialAt time.Duration
	// lifetimes are all that ended with the request in flight, up to maxLifetimes.
	lifetimes map[lifetime]bool
}

// Ledger holds the evidence against requests, at the leading replica. It is not safe for concurrent
// use.
type Ledger struct {
	suspects map[model.RequestDigest]*suspect
	// explained are the ends at which a banned request was in flight. They do not count against other
	// requests: one that shares the object of a banned request is sent to the same targets.
	explained map[lifetime]time.Duration
}

// NewLedger returns a ledger that starts with the requests that are quarantined already. A request
// that is only suspected keeps the number of its ends.
func NewLedger(quarantined map[model.RequestDigest]model.Quarantine, now time.Duration) *Ledger {
	l := &Ledger{suspects: map[model.RequestDigest]*suspect{}, explained: map[lifetime]time.Duration{}}
	for d, q := range quarantined {
		// The former leader may have permitted a trial just now.
		s := &suspect{request: Request{d, q.Route, q.Service}, state: q.State, stateAt: now, lastAt: now, nextTrialAt: now + trialInterval}
		for _, e := range q.Ends {
			s.ends = append(s.ends, end{lifetime: lifetime{e.Target, e.Incarnation}, at: now - time.Duration(e.AgoMillis)*time.Millisecond, vms: e.VMs})
		}
		l.suspects[d] = s
		for _, e := range s.ends {
			s.see(e.lifetime)
			if q.State == model.QuarantineBanned {
				l.explained[e.lifetime] = e.at
			}
		}
	}
	return l
}

// RecordEnd records a report. Reports of several VMs on the same end count once.
func (l *Ledger) RecordEnd(x End) {
	for _, r := range x.Requests {
		s, ok := l.suspects[r.Digest]
		if !ok {
			l.makeRoom()
			s = &suspect{request: r}
			l.suspects[r.Digest] = s
		}
		s.see(lifetime{x.Target, x.Incarnation})
		if s.state == model.QuarantineBanned {
			l.explained[lifetime{x.Target, x.Incarnation}] = x.At
		}
		s.add(x)
	}
}

// see records that a target ended with the request in flight.
func (s *suspect) see(t lifetime) {
	if s.lifetimes == nil {
		s.lifetimes = map[lifetime]bool{}
	}
	if len(s.lifetimes) < maxLifetimes {
		s.lifetimes[t] = true
	}
}

func (s *suspect) add(x End) {
	if len(s.ends) == 0 || x.At > s.lastAt {
		s.lastAt = x.At
	}
	if s.state == model.QuarantineBanned || s.hasWhole && s.wholeAt > x.At {
		return
	}
	i := slices.IndexFunc(s.ends, func(e end) bool { return e.lifetime == lifetime{x.Target, x.Incarnation} })
	if i >= 0 {
		if !slices.Contains(s.ends[i].vms, x.VM) {
			s.ends[i].vms = append(s.ends[i].vms, x.VM)
		}
		return
	}
	together := 0
	for _, e := range s.ends {
		if (e.at - x.At).Abs() < sameMoment {
			together++
		}
	}
	if len(s.ends) < maxEndsKept && together < maxEndsOfMoment {
		s.ends = append(s.ends, end{lifetime: lifetime{x.Target, x.Incarnation}, at: x.At, vms: []model.VMID{x.VM}})
		slices.SortFunc(s.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	}
}

// moments returns the number of moments at which targets ended.
func (s *suspect) moments() int {
	n := 0
	last := time.Duration(0)
	for _, e := range s.ends {
		if n == 0 || e.at-last >= sameMoment {
			n, last = n+1, e.at
		}
	}
	return n
}

// makeRoom drops the older half of the requests that are neither suspected nor banned if there are
// too many.
func (l *Ledger) makeRoom() {
	if len(l.suspects) < maxSuspects {
		return
	}
	var list []*suspect
	for _, s := range l.suspects {
		if s.state == "" && !s.changing {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspect) int { return cmp.Compare(a.lastAt, b.lastAt) })
	for _, s := range list[:(len(list)+1)/2] {
		delete(l.suspects, s.request.Digest)
	}
}

// RecordWhole records that a send of a request, which started at a time, got a whole response. The
// ends before it no longer count.
func (l *Ledger) RecordWhole(d model.RequestDigest, startedAt time.Duration) {
	s, ok := l.suspects[d]
	if !ok || s.state == model.QuarantineBanned {
		return
	}
	if !s.hasWhole || startedAt > s.wholeAt {
		s.wholeAt, s.hasWhole = startedAt, true
	}
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return e.at < startedAt+reportSkew })
}

// PermitTrial reports whether a VM may send a suspected request now, whose outcome helps to decide. One is
// permitted at a time for all VMs: several at the same moment would end as many targets.
func (l *Ledger) PermitTrial(d model.RequestDigest, now time.Duration) bool {
	s, ok := l.suspects[d]
	if !ok || s.state != model.QuarantineSuspected || s.changing || s.moments() >= banEnds || now < s.nextTrialAt {
		return false
	}
	s.nextTrialAt = now + trialInterval<<min(s.trials, maxTrialDoublings)
	s.trials++
	return true
}

// Pending reports whether a request is suspected or about to be, so that Decide is to be called
// again soon.
func (l *Ledger) Pending() bool {
	for _, s := range l.suspects {
		if s.state == model.QuarantineSuspected && s.moments() >= banEnds || s.want(s.stateAt+settleTime) != s.state {
			return true
		}
	}
	return false
}

// want returns the state that follows from the evidence.
func (s *suspect) want(now time.Duration) model.QuarantineState {
	switch {
	case s.state == model.QuarantineBanned:
		return model.QuarantineBanned
	case s.state == model.QuarantineSuspected && s.moments() >= banEnds && now >= s.stateAt+settleTime:
		return model.QuarantineBanned
	case s.moments() >= suspectEnds:
		return model.QuarantineSuspected
	}
	return ""
}

// Decide returns the changes that follow from the evidence. Each is returned once, until Committed is
// called for it. isKnown reports whether the catalogue holds a request; one that an operator has
// taken out starts without evidence.
func (l *Ledger) Decide(isKnown func(model.RequestDigest) bool, now time.Duration) []Change {
	var out []Change
	quarantined := 0
	maps.DeleteFunc(l.explained, func(_ lifetime, at time.Duration) bool { return now-at > evidenceTTL })
	for d, s := range l.suspects {
		s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return s.state != model.QuarantineBanned && now-e.at > evidenceTTL })
		switch {
		case s.changing:
		case s.state != "" && !isKnown(d), s.state == "" && len(s.ends) == 0:
			delete(l.suspects, d)
			continue
		}
		if s.state != "" || s.changing {
			quarantined++
		}
	}
	// The request with the most ends is decided on first, and explains those of the others.
	for _, d := range slices.SortedFunc(maps.Keys(l.suspects), l.compareEvidence) {
		s := l.suspects[d]
		l.dropExplained(s)
		want := s.want(now)
		if s.changing || want == s.state || s.state == "" && quarantined >= maxQuarantined {
			continue
		}
		if s.state == "" {
			quarantined++
		}
		s.changing = true
		if want == model.QuarantineBanned {
			for t := range s.lifetimes {
				l.explained[t] = now
			}
		}
		c := Change{Digest: d}
		if want != "" {
			c.Quarantine = s.quarantine(want, now)
		}
		out = append(out, c)
	}
	return out
}

// compareEvidence orders requests by the number of ends, the highest first.
func (l *Ledger) compareEvidence(a, b model.RequestDigest) int {
	return cmp.Or(cmp.Compare(len(l.suspects[b].lifetimes), len(l.suspects[a].lifetimes)), bytes.Compare(a[:], b[:]))
}

// dropExplained drops the ends of a request at which a banned one was in flight too.
func (l *Ledger) dropExplained(s *suspect) {
	if s.state == model.QuarantineBanned || s.changing {
		return
	}
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool {
		_, ok := l.explained[e.lifetime]
		return ok
	})
}

func (s *suspect) quarantine(state model.QuarantineState, now time.Duration) *model.Quarantine {
	q := &model.Quarantine{State: state, Route: s.request.Route, Service: s.request.Service}
	for _, e := range s.ends {
		q.Ends = append(q.Ends, model.TargetEnd{Target: e.target, Incarnation: e.incarnation, AgoMillis: model.Millis((now - e.at).Milliseconds()), VMs: e.vms})
	}
	return q
}

// Committed records whether a change was committed.
func (l *Ledger) Committed(c Change, ok bool, now time.Duration) {
	s, found := l.suspects[c.Digest]
	if !found {
		return
	}
	s.changing = false
	switch {
	case !ok:
	case c.Quarantine == nil:
		s.state, s.stateAt = "", now
	default:
		if s.state == "" {
			s.trials, s.nextTrialAt = 0, now
		}
		s.state, s.stateAt = c.Quarantine.State, now
	}
}
