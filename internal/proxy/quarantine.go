package proxy

import (
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/poison"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// EndReporter takes the evidence on which requests end the targets that run them to the leading
// replica.
type EndReporter interface {
	// ReportEnd reports that a target ended some time ago with requests of this VM in flight.
	ReportEnd(t model.TargetID, incarnation uint64, ago time.Duration, requests []poison.Request)
	// ReportWhole reports that a suspected request got a whole response to a send that started some
	// time ago.
	ReportWhole(d model.RequestDigest, ago time.Duration)
	// Trial reports whether this VM may send a suspected request now. If not, it asks the leading replica, which
	// permits one at a time for all VMs.
	Trial(d model.RequestDigest) bool
}

const (
	// reasonBanned is the reason for refusing a request that ended targets.
	reasonBanned = "requests like this one have ended the targets that ran them"
	// bannedRetryDelay is the Retry-After of a banned request: an operator lifts the ban.
	bannedRetryDelay = time.Minute
	// reasonSuspected is the reason for refusing a request that waited for the decision in vain.
	reasonSuspected = "targets have ended while they ran requests like this one, and the decision on it is open"
	// suspectedRetryDelay is the Retry-After of such a request.
	suspectedRetryDelay = time.Second
	// suspectHoldTime is how long a suspected request waits for the decision before this VM asks to send one,
	// and the time between two that it sends.
	suspectHoldTime = 700 * time.Millisecond
	// suspectPollInterval is the interval at which a waiting request looks for the decision.
	suspectPollInterval = 20 * time.Millisecond
	// maxRecentRequests is the number of requests with whole responses that are remembered.
	maxRecentRequests = 2048
	// maxRememberedBody is the size of the largest request body that is hashed although nothing is
	// known against the request.
	maxRememberedBody = 64 << 10
)

// quarantine observes which requests end targets, and keeps suspected ones apart.
type quarantine struct {
	recent *poison.Recent

	mu     sync.Mutex
	broken map[*target]*brokenSends
	trials map[model.RequestDigest]*trial
	// reviewed is the version of the catalogue whose suspected requests were compared with recent.
	reviewed model.Version
	counts   QuarantineCounts
}

// trial is the state of a suspected request at this VM, which sends one at a time.
type trial struct {
	running bool
	nextAt  time.Duration
}

// QuarantineCounts counts what a VM did about requests that end targets.
type QuarantineCounts struct {
	// Ends is the number of ends of targets that were reported, Unconfirmed that of broken
	// connections without a sign that the target had ended.
	Ends        int64 `json:"ends"`
	Unconfirmed int64 `json:"unconfirmed"`
	// Banned and Suspected are the numbers of refused requests, Trials that of suspected requests
	// that were sent.
	Banned    int64 `json:"bannedRefused"`
	Suspected int64 `json:"suspectedRefused"`
	Trials    int64 `json:"suspectedSent"`
}

func newQuarantine() *quarantine {
	return &quarantine{recent: poison.NewRecent(maxRecentRequests), broken: map[*target]*brokenSends{}, trials: map[model.RequestDigest]*trial{}}
}

func (k *quarantine) count(f func(*QuarantineCounts)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(&k.counts)
}

// digestOf returns the digest of a request, which is computed once.
func (p *Proxy) digestOf(q *request) model.RequestDigest {
	if !q.hasDigest {
		x := poison.Identity{Method: q.r.Method, Host: q.r.Host, URI: q.r.RequestURI, Caller: string(q.access.workspace.Name), Body: q.body}
		if !q.access.keyRequired {
			x.Caller = q.r.Header.Get(p.o.Headers.Authorization)
		}
		q.digest, q.hasDigest = poison.Identify(p.o.Key, x), true
	}
	return q.digest
}

// quarantineState returns how a request is treated now; it is empty if nothing is known against it.
func (p *Proxy) quarantineState(q *request) model.QuarantineState {
	c := p.o.Cluster.Catalogue()
	if p.o.Key == nil || c == nil || len(c.Quarantine) == 0 {
		return ""
	}
	return c.Quarantine[p.digestOf(q)].State
}

// review reports the suspected requests that recently got whole responses from this VM.
func (p *Proxy) review() {
	c := p.o.Cluster.Catalogue()
	if c == nil || len(c.Quarantine) == 0 || p.o.Ends == nil {
		return
	}
	k := p.quarantine
	k.mu.Lock()
	known := k.reviewed == c.Version
	k.reviewed = c.Version
	for d := range k.trials {
		if c.Quarantine[d].State != model.QuarantineSuspected {
			delete(k.trials, d)
		}
	}
	k.mu.Unlock()
	if known {
		return
	}
	for d, x := range c.Quarantine {
		if at, ok := k.recent.StartedAt(d); ok && x.State == model.QuarantineSuspected {
			p.o.Ends.ReportWhole(d, p.now()-at)
		}
	}
}

// admitQuarantined refuses a banned request, and lets a suspected one wait for the decision. The
// function that it returns is called when the request has ended.
func (p *Proxy) admitQuarantined(q *request) (done func(), a response, ok bool) {
	done = func() {}
	p.review()
	switch p.quarantineState(q) {
	case model.QuarantineBanned:
		return done, p.bannedResponse(q), false
	case model.QuarantineSuspected:
		if q.relayedFor == "" { // The VM that relays its callers' requests keeps suspected ones apart.
			return p.awaitDecision(q)
		}
	}
	return done, response{}, true
}

// bannedResponse refuses a request that ended targets; if it may have run in this attempt, the
// response says so.
func (p *Proxy) bannedResponse(q *request) response {
	p.quarantine.count(func(n *QuarantineCounts) { n.Banned++ })
	if q.state.possiblyRun {
		return q.unknownOutcome(reasonBanned)
	}
	return q.refusal(reasonBanned, bannedRetryDelay)
}

// awaitDecision waits until a suspected request is cleared or banned. If the decision takes long, one VM
// sends one such request at a time, once: its outcome helps to decide.
func (p *Proxy) awaitDecision(q *request) (done func(), a response, ok bool) {
	done = func() {}
	d := p.digestOf(q)
	until := q.start + (q.deadline-q.start)/2
	t := time.NewTicker(suspectPollInterval)
	defer t.Stop()
	for {
		switch p.quarantineState(q) {
		case "":
			return done, response{}, true
		case model.QuarantineBanned:
			return done, p.bannedResponse(q), false
		}
		now := p.now()
		if p.quarantine.isTrialDue(d, now) && (p.o.Ends == nil || p.o.Ends.Trial(d)) && p.quarantine.startTrial(d, now) {
			q.state.maxSends = 1
			return func() { p.quarantine.endTrial(d, p.now()) }, response{}, true
		}
		if now >= until {
			p.quarantine.count(func(n *QuarantineCounts) { n.Suspected++ })
			return done, q.refusal(reasonSuspected, suspectedRetryDelay), false
		}
		select {
		case <-q.r.Context().Done():
			q.outcome, q.reason = callerLeft, reasonCallerLeft
			return done, response{noReply: true}, false
		case <-t.C:
		}
	}
}

// isTrialDue reports whether this VM has held a suspected request for long enough to send one.
func (k *quarantine) isTrialDue(d model.RequestDigest, now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	x, ok := k.trials[d]
	if !ok {
		x = &trial{nextAt: now + suspectHoldTime}
		k.trials[d] = x
	}
	return !x.running && now >= x.nextAt
}

// startTrial reports whether a suspected request is sent now.
func (k *quarantine) startTrial(d model.RequestDigest, now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	x, ok := k.trials[d]
	if !ok || x.running || now < x.nextAt {
		return false
	}
	x.running = true
	k.counts.Trials++
	return true
}

func (k *quarantine) endTrial(d model.RequestDigest, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x, ok := k.trials[d]; ok {
		x.running, x.nextAt = false, now+suspectHoldTime
	}
}
