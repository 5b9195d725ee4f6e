// Package links finds out whether a VM has lost its own links to all targets, so that a VM does not
// take one target after the other for down when the fault is its own.
//
// A failed send, or silence of several targets at once, is a reason to probe: the VM dials some
// targets of any service at once. If none accepts, the VM is cut off, and it probes on until its
// links are back. Connections that were open before the cut tell little if new ones are refused: they
// may live on. If the dials time out, a target that responds meanwhile shows that the links are only
// full: a hop through another VM would fill them more.
//
// # Usage
//
//	d := links.New()
//	if d.Failed(true, now) {
//		d.Probed(links.Probe{Dialled: 6, Accepted: 1}, later)
//	}
//	if d.CutOff() { ... }
//
// The package needs no network and has no timers.
package links

import (
	"sync"
	"time"
)

const (
	// silenceTime is how long no target may respond before requests in flight at several targets are a
	// reason to probe.
	silenceTime = 250 * time.Millisecond
	// minSilent is the number of targets that must be silent.
	minSilent = 2
	// minCutSilence is how long no target may have responded before dials that time out are taken for
	// a cut.
	minCutSilence = time.Second
	// minFirstSilence replaces both until the first response: the links of a process that has just
	// started are full with its catalogue and the callers that come back.
	minFirstSilence = 1500 * time.Millisecond
	// probePause is the minimum time between two probes while the links are up.
	probePause = 250 * time.Millisecond
	// connectedTTL is how long an established connection proves that the links are up.
	connectedTTL = 100 * time.Millisecond
	// minDialled is the number of targets that must have been dialled to conclude anything: if there
	// is only one, its fault cannot be told from one of the links.
	minDialled = 2
	// minRecoveries is the number of successful probes in a row after which the links are back.
	minRecoveries = 2
	// maxWaiting bounds the targets that are remembered as silent.
	maxWaiting = 16
)

// State is the state of a VM's links to the targets.
type State struct {
	CutOff bool
	// Since is when the state began.
	Since time.Duration
	// Cuts is the number of times that the VM was cut off.
	Cuts int
}

// Probe is the result of dialling some targets.
type Probe struct {
	// Dialled is the number of targets, Accepted that of those that accepted the connection, and Refused that
	// of those that refused it, or reset it at once; the others did not respond in time.
	Dialled, Accepted, Refused int
}

// isRefused reports whether all targets refused the connection.
func (p Probe) isRefused() bool { return p.Dialled >= minDialled && p.Refused == p.Dialled }

// Detector decides whether a VM is cut off. It is safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	state State
	// heardAt and connectedAt are when a target last responded and when a connection was last
	// established.
	heardAt, connectedAt time.Duration
	// triedAt is when a target was first tried.
	triedAt time.Duration
	// refused means that the VM is cut off since connections are refused.
	refused bool
	// waiting holds targets that got a request since silentSince and have not responded.
	waiting     map[string]bool
	silentSince time.Duration
	probing     bool
	probedAt    time.Duration
	recoveries  int
}

// New returns a detector for links that are up.
func New() *Detector {
	return &Detector{waiting: map[string]bool{}}
}

// State returns the current state.
func (d *Detector) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// CutOff reports whether the VM is cut off from all targets.
func (d *Detector) CutOff() bool { return d.State().CutOff }

// Sent records that a request is sent to a target, and reports whether the caller is to probe.
func (d *Detector) Sent(target string, now time.Duration) (probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordTry(now)
	if len(d.waiting) == 0 {
		// Silence begins with the first request that waits.
		d.silentSince = now
	}
	if len(d.waiting) < maxWaiting {
		d.waiting[target] = true
	}
	return len(d.waiting) >= minSilent && now-d.silentSince > silenceTime && d.isSilent(silenceTime, now) && d.startProbe(now)
}

// Heard records that a target responded. It reports whether that shows that the links are back.
func (d *Detector) Heard(now time.Duration) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heardAt = now
	clear(d.waiting)
	if !d.state.CutOff || d.refused {
		return false
	}
	d.restore(now)
	return true
}

// Connected records that a connection to a target was established.
func (d *Detector) Connected(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connectedAt = now
}

// Failed records that a target could not be reached or that a connection broke, and reports whether
// the caller is to probe. If the target did not respond at all, neither refused nor reset the
// connection, the links may be full, and probes would fill them more: there is none before silence.
func (d *Detector) Failed(refused bool, now time.Duration) (probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordTry(now)
	if d.connectedAt > 0 && now-d.connectedAt < connectedTTL || !refused && !d.isSilent(silenceTime, now) {
		return false
	}
	return d.startProbe(now)
}

// startProbe starts a probe unless there was one just now; the caller holds the lock.
func (d *Detector) startProbe(now time.Duration) bool {
	if d.state.CutOff || d.probing || d.probedAt > 0 && now-d.probedAt < probePause {
		return false
	}
	d.probing = true
	return true
}

// Probed records the result of a probe, and reports whether the state changed.
func (d *Detector) Probed(p Probe, now time.Duration) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probing, d.probedAt = false, now
	switch {
	case p.Accepted == 0:
		d.recoveries = 0
		if d.state.CutOff || p.Dialled < minDialled || !p.isRefused() && !d.isSilent(minCutSilence, now) {
			return false
		}
		d.state, d.refused = State{CutOff: true, Since: now, Cuts: d.state.Cuts + 1}, p.isRefused()
		return true
	case !d.state.CutOff:
		d.connectedAt = now
		return false
	}
	if d.recoveries++; d.recoveries < minRecoveries {
		return false
	}
	d.connectedAt = now
	d.restore(now)
	return true
}

// recordTry records the first try; the caller holds the lock.
func (d *Detector) recordTry(now time.Duration) {
	if d.triedAt == 0 {
		d.triedAt = now
	}
}

// isSilent reports whether no target has responded for a while. Before the first response, which a process
// that starts behind a cut never gets, the time counts from the first try, and anew from each
// connection. The caller holds the lock.
func (d *Detector) isSilent(length, now time.Duration) bool {
	if d.heardAt > 0 {
		return now-d.heardAt >= length
	}
	return d.triedAt > 0 && now-max(d.triedAt, d.connectedAt) >= max(length, minFirstSilence)
}

// restore records that the links are back; the caller holds the lock.
func (d *Detector) restore(now time.Duration) {
	d.state, d.recoveries = State{Since: now, Cuts: d.state.Cuts}, 0
	clear(d.waiting)
}
