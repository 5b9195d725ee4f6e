package front

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/sight"
)

// blameLife is for how long a failure that one VM saw counts when another sees one:
// two that agree are not both slow or cut off themselves.
const blameLife = 2 * time.Second

// blame is the last failure of a target that another VM told of.
type blame struct {
	by sight.VM
	at time.Duration
}

// tell shares what came of a send.
func (f *Front) tell(j *job, t *target, r result) {
	if f.sights == nil {
		return
	}
	x := sight.Report{Target: t.seed, Failed: r.faulty(), Handled: r.handled() && j.keyed, Loaded: r.loaded}
	if x.Handled {
		x.Object = j.key
	}
	if x.Loaded {
		x.Load = r.load.Running + r.load.Waiting
	}
	if x.Handled || x.Loaded || x.Failed {
		f.sights.Add(x)
	}
}

// hear takes what another VM saw.
func (f *Front) hear(vm sight.VM, reports []sight.Report) {
	now := f.now()
	for _, r := range reports {
		if t := f.tables.bySeed(r.Target); t != nil {
			t.hear(vm, r, now)
		}
	}
}

// hear takes what another VM saw of the target.
func (t *target) hear(vm sight.VM, r sight.Report, now time.Duration) {
	if r.Handled {
		t.warm.Note(r.Object)
		t.queue.note(r.Object)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now - r.Age
	if r.Loaded && at > t.heardAt {
		t.others, t.heardAt = max(0, float64(r.Load-t.inFlight)), at
	}
	if !r.Failed {
		return
	}
	if b := t.blame; b.at > 0 && b.by != vm && now-b.at < blameLife {
		t.restUntil = max(t.restUntil, now+firstRest)
		t.failures = max(t.failures, 1)
	}
	t.blame = blame{by: vm, at: max(1, at)}
}
