package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/poison"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const (
	// evidenceDelay is how long a report waits for others before a renewal carries them.
	evidenceDelay = 50 * time.Millisecond
	// maxPendingEnds and maxPendingWholes bound the reports that wait for a leader.
	maxPendingEnds   = 256
	maxPendingWholes = 1024
	// maxPendingTrials bounds the suspected requests that this VM asks to send.
	maxPendingTrials = 64
	// trialAskInterval is the time between two renewals that ask for the same one.
	trialAskInterval = 500 * time.Millisecond
	// trialTTL is how long a permission holds. The leader permits the next trial later.
	trialTTL = time.Second
)

// evidence holds what this VM observed of requests that may end targets, until a leader has it.
type evidence struct {
	mu        sync.Mutex
	ends      []pendingEnd
	wholes    map[model.RequestDigest]time.Duration
	scheduled bool
	// dropped counts the ends that were dropped before this one, so that an acknowledgement removes
	// the reports that it is for.
	dropped int
	trials  trials
}

// trials are the suspected requests that this VM would send, and may send.
type trials struct {
	// askedAt is when the leader was last asked, or is to be asked if wanted.
	askedAt map[model.RequestDigest]time.Duration
	wanted  []model.RequestDigest
	// until is how long the leader's permission holds.
	until map[model.RequestDigest]time.Duration
	// free means that the leader is of an earlier build, which permits none.
	free bool
}

type pendingEnd struct {
	at     time.Duration
	report *eelpb.TargetEnd
}

// ReportEnd reports to the leader that a target ended some time ago with requests of this VM in
// flight.
func (x *Entry) ReportEnd(t model.TargetID, incarnation uint64, ago time.Duration, requests []poison.Request) {
	e := &eelpb.TargetEnd{Target: string(t), Incarnation: incarnation}
	for _, r := range requests {
		e.Requests = append(e.Requests, &eelpb.RequestInFlight{Digest: r.Digest[:], Route: string(r.Route), Service: string(r.Service)})
	}
	v := &x.evidence
	v.mu.Lock()
	v.ends = append(v.ends, pendingEnd{x.now() - ago, e})
	if extra := len(v.ends) - maxPendingEnds; extra > 0 {
		v.ends = v.ends[extra:]
		v.dropped += extra
	}
	v.mu.Unlock()
	x.scheduleEvidence()
}

// ReportWhole reports to the leader that a suspected request got a whole response to a send that
// started some time ago.
func (x *Entry) ReportWhole(d model.RequestDigest, ago time.Duration) {
	v := &x.evidence
	v.mu.Lock()
	if v.wholes == nil {
		v.wholes = map[model.RequestDigest]time.Duration{}
	}
	if _, ok := v.wholes[d]; ok || len(v.wholes) < maxPendingWholes {
		v.wholes[d] = max(v.wholes[d], x.now()-ago)
	}
	v.mu.Unlock()
	x.scheduleEvidence()
}

// Trial reports whether this VM may send a suspected request now, once. If not, it asks the leader.
func (x *Entry) Trial(d model.RequestDigest) bool {
	x.evidence.mu.Lock()
	may, ask := x.evidence.trials.take(d, x.now())
	x.evidence.mu.Unlock()
	if ask {
		x.scheduleEvidence()
	}
	return may
}

// take takes the permission for a request, or reports whether the leader is to be asked.
func (t *trials) take(d model.RequestDigest, now time.Duration) (may, ask bool) {
	until, ok := t.until[d]
	delete(t.until, d)
	if t.free || ok && now < until {
		return true, false
	}
	maps.DeleteFunc(t.askedAt, func(_ model.RequestDigest, at time.Duration) bool { return now-at >= trialAskInterval })
	if _, ok := t.askedAt[d]; ok || len(t.askedAt) >= maxPendingTrials {
		return false, false
	}
	if t.askedAt == nil {
		t.askedAt, t.until = map[model.RequestDigest]time.Duration{}, map[model.RequestDigest]time.Duration{}
	}
	t.askedAt[d] = now
	t.wanted = append(t.wanted, d)
	return false, true
}

// permitted records which of the wanted trials the leader permits.
func (v *evidence) permitted(r *eelpb.RenewReply, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.trials.free = !r.PermitsTrials
	for _, b := range r.Trials {
		if len(b) == len(model.RequestDigest{}) && v.trials.until != nil {
			v.trials.until[model.RequestDigest(b)] = now + trialTTL
		}
	}
}

// scheduleEvidence renews the lease early, so that the leader gets the reports.
func (x *Entry) scheduleEvidence() {
	v := &x.evidence
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.scheduled {
		return
	}
	v.scheduled = true
	time.AfterFunc(evidenceDelay, func() {
		v.mu.Lock()
		v.scheduled = false
		v.mu.Unlock()
		x.triggerRenewal()
	})
}

// add adds the reports to a renewal, and returns a function that removes them once the leader has
// them.
func (v *evidence) add(q *eelpb.RenewRequest, now time.Duration) (acknowledge func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.ends {
		e.report.AgeMs = uint64(max(0, now-e.at).Milliseconds())
		q.Ends = append(q.Ends, e.report)
	}
	sent := make(map[model.RequestDigest]time.Duration, len(v.wholes))
	for d, at := range v.wholes {
		sent[d] = at
		q.Wholes = append(q.Wholes, &eelpb.WholeResponse{Digest: d[:], AgeMs: uint64(max(0, now-at).Milliseconds())})
	}
	for _, d := range v.trials.wanted {
		q.Trials = append(q.Trials, d[:])
	}
	v.trials.wanted = nil
	last := v.dropped + len(v.ends)
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if n := last - v.dropped; n > 0 {
			v.ends = v.ends[n:]
			v.dropped = last
		}
		for d, at := range sent {
			if v.wholes[d] == at {
				delete(v.wholes, d)
			}
		}
	}
}
