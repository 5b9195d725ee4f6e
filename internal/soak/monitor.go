package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Invariant names what is checked.
type Invariant string

// The invariants.
const (
	AtMostOnce         Invariant = "runs at most once"
	NotRun             Invariant = "told not run, it did not run"
	Intact             Invariant = "the whole answer to its own request"
	Routed             Invariant = "run by a service of its route"
	TargetDrained      Invariant = "a leaving target gets no new work"
	LeaveHonored       Invariant = "an entry that was told so by a target sends it nothing new"
	PauseHonored       Invariant = "a target that asks for a pause gets one"
	LimitHonored       Invariant = "a target gets no more than the limit that it names"
	DomainDrained      Invariant = "a drained failure domain gets no new work"
	ConfigInForce      Invariant = "a configuration is in force in time"
	NoRollback         Invariant = "no process goes back to an older configuration"
	FreshRead          Invariant = "a read is not older than what was acknowledged"
	Durable            Invariant = "nothing acknowledged is lost"
	Validated          Invariant = "an invalid configuration is refused"
	GracefulStop       Invariant = "a planned stop cuts no request"
	RetryBudget        Invariant = "second sends stay within the budget"
	SlowStart          Invariant = "a cold target gets no more than it stands"
	StaysUp            Invariant = "no process ends by itself"
	StopsInTime        Invariant = "a planned stop ends in time"
	Recovers           Invariant = "requests are served again when all are back"
	WorkspaceForwarded Invariant = "a target learns the workspace, and never the key"
	KeyWithdrawn       Invariant = "a withdrawn key is of no use in time"
	WithinAllowance    Invariant = "a workspace does not exceed its allowance"
)

// Violation is a violated invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%.2fs %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// run is one execution of a request by a target.
type run struct {
	target model.TargetID
	entry  string
	at     time.Duration
	// workspace is the workspace that the target received; key reports whether it received a key.
	workspace model.WorkspaceID
	key       bool
}

// attempt is one request of a caller.
type attempt struct {
	service   model.ServiceID
	workspace model.WorkspaceID
	// withdrawn reports whether the request carried a withdrawn key.
	withdrawn      bool
	atMostOnce     bool
	sentAt         time.Duration
	reportedNotRun bool
	arrivals       []time.Duration
	runs           []run
}

// interval is a time in which a host had a fault.
type interval struct{ from, to time.Duration }

// monitor records what callers, targets and operators observe, and checks the invariants.
type monitor struct {
	l     log.Logger
	start time.Time

	mu         sync.Mutex
	attempts   map[string]*attempt
	faults     map[string][]interval
	checks     map[Invariant]int
	violations []Violation
	// served, refused and failed count the requests by their outcome for the callers.
	served, refused, failed int
}

func newMonitor(l log.Logger) *monitor {
	return &monitor{
		l: l, start: time.Now(), attempts: map[string]*attempt{}, faults: map[string][]interval{}, checks: map[Invariant]int{},
	}
}

func (m *monitor) now() time.Duration { return time.Since(m.start) }

// check counts a check and records a violation.
func (m *monitor) check(inv Invariant, ok bool, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLocked(inv, ok, format, args...)
}

func (m *monitor) checkLocked(inv Invariant, ok bool, format string, args ...any) {
	m.checks[inv]++
	if ok {
		return
	}
	v := Violation{inv, m.now(), fmt.Sprintf(format, args...)}
	m.violations = append(m.violations, v)
	level.Error(m.l).Log("msg", "promise broken", "atMillis", v.At.Milliseconds(), "promise", inv, "what", v.Detail)
}

// core stands for all replicas.
const core = "core"

// recordFault records that a fault of a host begins; the function that it returns
// records its end.
func (m *monitor) recordFault(host, what string) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	level.Info(m.l).Log("msg", "harm", "atMillis", m.now().Milliseconds(), "host", host, "what", what)
	i := len(m.faults[host])
	m.faults[host] = append(m.faults[host], interval{m.now(), time.Hour})
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.faults[host][i].to = m.now()
		level.Info(m.l).Log("msg", "harm ends", "atMillis", m.now().Milliseconds(), "host", host, "what", what)
	}
}

// undisturbed reports whether none of the hosts had a fault, a planned stop or a reload
// since a time, or within settleTime before it.
func (m *monitor) undisturbed(from time.Duration, hosts ...string) bool {
	for _, h := range hosts {
		if !m.faultFree(from, h, plannedKey(h)) {
			return false
		}
	}
	return true
}

// faultFree is like undisturbed, but ignores the planned stops and reloads of the hosts.
func (m *monitor) faultFree(from time.Duration, hosts ...string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		for _, s := range m.faults[h] {
			if s.to >= from-settleTime {
				return false
			}
		}
	}
	return true
}

// sent records a request that a caller sends.
func (m *monitor) sent(id string, a attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.sentAt = m.now()
	m.attempts[id] = &a
}

// recordArrival records a request that reaches a target, whether or not the target runs it.
func (m *monitor) recordArrival(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.attempts[id]; a != nil {
		a.arrivals = append(a.arrivals, m.now())
	}
}

// sentAt returns when a caller sent a request, or 0 if none did.
func (m *monitor) sentAt(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.attempts[id]; a != nil {
		return a.sentAt
	}
	return 0
}

// recordRun records that a target began to execute a request.
func (m *monitor) recordRun(id string, s model.ServiceID, r run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.attempts[id]
	m.checkLocked(Routed, a != nil && a.service == s, "request %s was run by %s of service %s", id, r.target, s)
	if a == nil {
		return
	}
	a.runs = append(a.runs, r)
	m.checkLocked(WorkspaceForwarded, r.workspace == a.workspace && !r.key, "request %s of workspace %s ran as %q, with a key: %t", id, a.workspace, r.workspace, r.key)
	m.checkLocked(KeyWithdrawn, !a.withdrawn, "request %s ran with a key that was withdrawn", id)
	if a.atMostOnce {
		m.checkLocked(AtMostOnce, len(a.runs) == 1, "request %s ran %d times: %v", id, len(a.runs), a.runs)
		m.checkLocked(NotRun, !a.reportedNotRun, "request %s ran at %s after its caller was told that it did not", id, r.target)
	}
}

// notRun records that a caller received the response that its request has not run.
func (m *monitor) notRun(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
	a := m.attempts[id]
	a.reportedNotRun = true
	if a.atMostOnce {
		m.checkLocked(NotRun, len(a.runs) == 0, "request %s ran at %v, and its caller was told that it did not", id, a.runs)
	}
}

// hasRun reports whether a target began to execute a request.
func (m *monitor) hasRun(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.attempts[id].runs) > 0
}

func (m *monitor) recordResult(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.served++
		return
	}
	m.failed++
}

// counts returns how many requests ended so far, and how many of them were served.
func (m *monitor) counts() (all, served int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.served + m.failed, m.served
}

// checkBudget checks for each window how many arrivals were not the first of their request.
func (m *monitor) checkBudget(services []model.ServiceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	const step = 500 * time.Millisecond
	end := m.now()
	for _, s := range services {
		for from := time.Duration(0); from < end; from += step {
			requests, extra := 0, 0
			for _, a := range m.attempts {
				if a.service != s {
					continue
				}
				if a.sentAt >= from && a.sentAt < from+retryWindow {
					requests++
				}
				for _, t := range a.arrivals[min(1, len(a.arrivals)):] {
					if t >= from && t < from+retryWindow {
						extra++
					}
				}
			}
			m.checkLocked(RetryBudget, float64(extra) <= retryRatio*float64(requests)+retryBurst,
				"service %s got %d second sends for %d requests from %s on", s, extra, requests, from)
		}
	}
}
