package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Promise names what is checked.
type Promise string

// The promises.
const (
	Once      Promise = "runs at most once"
	NotRun    Promise = "told not run, it did not run"
	Whole     Promise = "the whole answer to its own request"
	Routed    Promise = "run by a service of its route"
	Drained   Promise = "a leaving target gets no new work"
	Heeded    Promise = "an entry that was told so by a target sends it nothing new"
	Paused    Promise = "a target that asks for a pause gets one"
	Emptied   Promise = "a drained failure domain gets no new work"
	InForce   Promise = "a configuration is in force in time"
	Forward   Promise = "no process goes back to an older configuration"
	Read      Promise = "a read is not older than what was acknowledged"
	Kept      Promise = "nothing acknowledged is lost"
	Checked   Promise = "an invalid configuration is refused"
	Uncut     Promise = "a planned stop cuts no request"
	Budget    Promise = "second sends stay within the budget"
	Cool      Promise = "a cold target gets no more than it stands"
	Alive     Promise = "no process ends by itself"
	Stops     Promise = "a planned stop ends in time"
	Recovers  Promise = "requests are served again when all are back"
	Named     Promise = "a target learns the workspace, and never the key"
	Withdrawn Promise = "a withdrawn key is of no use in time"
	Allowed   Promise = "a workspace does not exceed its allowance"
)

// Violation is a promise that did not hold.
type Violation struct {
	Promise Promise
	At      time.Duration
	What    string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%.2fs %s: %s", v.At.Seconds(), v.Promise, v.What)
}

// run is one time that a target worked on a request.
type run struct {
	target model.TargetID
	entry  string
	at     time.Duration
	// space is the workspace that the target was told, and key says that it got a key.
	space model.WorkspaceID
	key   bool
}

// attempt is one request of a caller.
type attempt struct {
	service model.ServiceID
	space   model.WorkspaceID
	// withdrawn says that the request came with a key that was withdrawn.
	withdrawn bool
	once      bool
	sentAt    time.Duration
	toldNot   bool
	arrivals  []time.Duration
	runs      []run
}

// span is a time in which a host was harmed.
type span struct{ from, to time.Duration }

// watch keeps what callers, targets and operators saw, and checks the promises.
type watch struct {
	l     log.Logger
	start time.Time

	mu       sync.Mutex
	attempts map[string]*attempt
	harm     map[string][]span
	checks   map[Promise]int
	broken   []Violation
	// served, refused and failed count how requests ended for their callers.
	served, refused, failed int
}

func newWatch(l log.Logger) *watch {
	return &watch{
		l: l, start: time.Now(), attempts: map[string]*attempt{}, harm: map[string][]span{}, checks: map[Promise]int{},
	}
}

func (w *watch) now() time.Duration { return time.Since(w.start) }

// check counts a check, and keeps what was broken.
func (w *watch) check(p Promise, ok bool, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLocked(p, ok, format, args...)
}

func (w *watch) checkLocked(p Promise, ok bool, format string, args ...any) {
	w.checks[p]++
	if ok {
		return
	}
	v := Violation{p, w.now(), fmt.Sprintf(format, args...)}
	w.broken = append(w.broken, v)
	level.Error(w.l).Log("msg", "promise broken", "atMillis", v.At.Milliseconds(), "promise", p, "what", v.What)
}

// core stands for all replicas.
const core = "core"

// harmed notes that a host is harmed from now on; the function that it returns
// notes the end.
func (w *watch) harmed(host, what string) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	level.Info(w.l).Log("msg", "harm", "atMillis", w.now().Milliseconds(), "host", host, "what", what)
	i := len(w.harm[host])
	w.harm[host] = append(w.harm[host], span{w.now(), time.Hour})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.harm[host][i].to = w.now()
		level.Info(w.l).Log("msg", "harm ends", "atMillis", w.now().Milliseconds(), "host", host, "what", what)
	}
}

// calm tells whether none of the hosts was harmed, stopped or reloaded from a
// time on, or within the contact time before it.
func (w *watch) calm(from time.Duration, hosts ...string) bool {
	for _, h := range hosts {
		if !w.unharmed(from, h, planned(h)) {
			return false
		}
	}
	return true
}

// unharmed is as calm; what was planned does not count.
func (w *watch) unharmed(from time.Duration, hosts ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range hosts {
		for _, s := range w.harm[h] {
			if s.to >= from-contact {
				return false
			}
		}
	}
	return true
}

// sent notes a request that a caller sends.
func (w *watch) sent(id string, a attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.sentAt = w.now()
	w.attempts[id] = &a
}

// arrived notes a request at a target, whether or not it runs it.
func (w *watch) arrived(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.attempts[id]; a != nil {
		a.arrivals = append(a.arrivals, w.now())
	}
}

// sentAt returns when a caller sent a request, 0 where no caller did.
func (w *watch) sentAt(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.attempts[id]; a != nil {
		return a.sentAt
	}
	return 0
}

// ran notes that a target began to work on a request.
func (w *watch) ran(id string, s model.ServiceID, r run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.attempts[id]
	w.checkLocked(Routed, a != nil && a.service == s, "request %s was run by %s of service %s", id, r.target, s)
	if a == nil {
		return
	}
	a.runs = append(a.runs, r)
	w.checkLocked(Named, r.space == a.space && !r.key, "request %s of workspace %s ran as %q, with a key: %t", id, a.space, r.space, r.key)
	w.checkLocked(Withdrawn, !a.withdrawn, "request %s ran with a key that was withdrawn", id)
	if a.once {
		w.checkLocked(Once, len(a.runs) == 1, "request %s ran %d times: %v", id, len(a.runs), a.runs)
		w.checkLocked(NotRun, !a.toldNot, "request %s ran at %s after its caller was told that it did not", id, r.target)
	}
}

// notRun notes that a caller was told that its request has not run.
func (w *watch) notRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused++
	a := w.attempts[id]
	a.toldNot = true
	if a.once {
		w.checkLocked(NotRun, len(a.runs) == 0, "request %s ran at %v, and its caller was told that it did not", id, a.runs)
	}
}

// ranAnywhere tells whether a target began to work on a request.
func (w *watch) ranAnywhere(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.attempts[id].runs) > 0
}

func (w *watch) ended(ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.served++
		return
	}
	w.failed++
}

// counts returns how many requests ended so far, and how many of them were served.
func (w *watch) counts() (all, served int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served + w.failed, w.served
}

// checkBudget checks in each window how many arrivals were not the first of their request.
func (w *watch) checkBudget(services []model.ServiceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	const step = 500 * time.Millisecond
	end := w.now()
	for _, s := range services {
		for from := time.Duration(0); from < end; from += step {
			requests, extra := 0, 0
			for _, a := range w.attempts {
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
			w.checkLocked(Budget, float64(extra) <= retryRatio*float64(requests)+retryBurst,
				"service %s got %d second sends for %d requests from %s on", s, extra, requests, from)
		}
	}
}
