package quota

import (
	"math"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// LedgerOptions are the settings of a ledger.
type LedgerOptions struct {
	Bounds
	// FallbackTimeout is how long a VM takes requests that reports nothing.
	FallbackTimeout time.Duration
	// StartedAt is when the ledger began.
	StartedAt time.Duration
}

// Ledger is what the leader knows of the use of allowances. It is not safe for
// concurrent use.
type Ledger struct {
	o         LedgerOptions
	accounts  map[model.WorkspaceID]*account
	processes map[holder]*process
	sweptAt   time.Duration
}

// holder names one process of a VM.
type holder struct {
	vm          model.VMID
	incarnation uint64
}

// process is a VM's process, with the workspaces of which it used some.
type process struct {
	named map[model.WorkspaceID]bool
	// at is when it reported, and end when all that it used is out of every window.
	at, end time.Duration
	// late says that it did not report in time.
	late bool
}

// account is one workspace with the sums over its holds.
type account struct {
	holds              map[holder]hold
	used, left, wanted int
}

// hold is what one process has used and was credited of a workspace.
type hold struct {
	used, left, wanted, level int
}

// NewLedger returns an empty ledger.
func NewLedger(o LedgerOptions) *Ledger {
	return &Ledger{o: o, accounts: map[model.WorkspaceID]*account{}, processes: map[holder]*process{}, sweptAt: o.StartedAt}
}

func (a *account) set(h holder, x hold) {
	old := a.holds[h]
	a.used += x.used - old.used
	a.left += x.left - old.left
	a.wanted += x.wanted - old.wanted
	a.holds[h] = x
}

// Renew takes a report and returns the credits of its process.
func (l *Ledger) Renew(r Report, most MaxFunc, now time.Duration) []Credit {
	l.sweep(now)
	h := holder{r.VM, r.Incarnation}
	p := l.process(h, now)
	p.at, p.end, p.late = now, now+l.o.FallbackTimeout+l.o.window(), false
	named := make(map[model.WorkspaceID]bool, len(r.Uses))
	var out []Credit
	for _, u := range r.Uses {
		n, limited := most(u.Workspace)
		if !limited {
			continue
		}
		named[u.Workspace] = true
		a, ok := l.accounts[u.Workspace]
		if !ok {
			a = &account{holds: map[holder]hold{}}
			l.accounts[u.Workspace] = a
		}
		x := hold{used: max(0, u.Used), left: max(0, u.Left), wanted: max(0, u.Wanted)}
		a.set(h, x)
		c := l.credit(a, x, n, now)
		if now < l.o.StartedAt+gatherTime {
			c.Credit, c.Level = max(0, u.Level-x.used), u.Level
		}
		x.left, x.level = max(x.left, c.Credit), c.Level
		a.set(h, x)
		c.Workspace = u.Workspace
		out = append(out, c)
	}
	for id := range p.named {
		switch {
		case named[id]:
		case r.Partial:
			named[id] = true
		default:
			// What a process no longer names has left its window.
			l.release(id, h)
		}
	}
	p.named = named
	return out
}

// process returns the process of a report. A new one takes the place of those that the
// VM had before.
func (l *Ledger) process(h holder, now time.Duration) *process {
	p, ok := l.processes[h]
	if ok {
		return p
	}
	for other := range l.processes {
		if other.vm == h.vm {
			l.EndProcess(other.vm, other.incarnation, now)
		}
	}
	p = &process{}
	l.processes[h] = p
	return p
}

const (
	// busyPart is the part of its most from which a workspace is busy: its VMs then wait
	// for their renewals, where otherwise one that needs more asks at once.
	busyPart = 0.8
	// spreadPart is the part of what is free that is credited. The rest is for VMs that
	// come to need some.
	spreadPart = 0.7
	// spreadMost times what it wants is the most that a VM is credited.
	spreadMost = 4
	// levelPart is the part of the most that VMs without an answer use all together.
	levelPart = 0.9
	// gatherTime is how long a new ledger credits only the levels that VMs had: all of
	// them report within it.
	gatherTime = time.Second
	// settlePart is the part of the most that a new ledger credits while VMs that never
	// reported to it may go on at their levels.
	settlePart = 0.7
	// lateAfter is how long after a report the VM is taken to have had no answer:
	// sooner than the VM itself takes it so.
	lateAfter = time.Second
)

// credit divides what is free among those who want it.
func (l *Ledger) credit(a *account, x hold, most int, now time.Duration) Credit {
	age := now - l.o.StartedAt
	if age < l.o.FallbackTimeout+l.o.window() {
		most = int(settlePart * float64(most))
	}
	free := max(0, most-a.used-(a.left-x.left))
	part := min(spreadMost, spreadPart*float64(free)/float64(max(1, a.wanted)))
	c := min(free, int(math.Ceil(float64(x.wanted)*part)))
	return Credit{
		Credit: max(c, min(x.left, x.wanted)), Busy: c < x.wanted && float64(a.used) >= busyPart*float64(most),
		Level: int(levelPart * float64(most) * float64(x.used) / float64(max(1, a.used))),
	}
}

// EndProcess says that a process takes no more requests. What it used, and what it may have
// used of its credits, counts for a window.
func (l *Ledger) EndProcess(vm model.VMID, incarnation uint64, now time.Duration) {
	h := holder{vm, incarnation}
	p, ok := l.processes[h]
	if !ok {
		return
	}
	p.end = min(p.end, now+l.o.window())
	l.each(h, p, func(x hold) hold { return hold{used: x.used + x.left} })
	p.late = true
}

// each changes all holds of a process.
func (l *Ledger) each(h holder, p *process, change func(hold) hold) {
	for id := range p.named {
		if a, ok := l.accounts[id]; ok {
			a.set(h, change(a.holds[h]))
		}
	}
}

// release forgets a process at a workspace.
func (l *Ledger) release(id model.WorkspaceID, h holder) {
	a, ok := l.accounts[id]
	if !ok {
		return
	}
	a.set(h, hold{})
	delete(a.holds, h)
	if len(a.holds) == 0 {
		delete(l.accounts, id)
	}
}

// sweep counts the levels of processes that did not report in time, and forgets those
// that have been silent for so long that what they used is out of every window.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.sweptAt < slotLength {
		return
	}
	l.sweptAt = now
	for h, p := range l.processes {
		if now >= p.end {
			for id := range p.named {
				l.release(id, h)
			}
			delete(l.processes, h)
			continue
		}
		if !p.late && now-p.at > lateAfter {
			p.late = true
			l.each(h, p, func(x hold) hold { return hold{used: max(x.used+x.left, x.level)} })
		}
	}
}

// Account is what operators see of a workspace.
type Account struct {
	Workspace model.WorkspaceID `json:"workspace"`
	// Used counts the requests of the last window, and Credited those that VMs may
	// take without asking.
	Used     int `json:"used"`
	Credited int `json:"credited"`
	VMs      int `json:"vms"`
}

// Accounts returns the workspaces of which anything was used of late.
func (l *Ledger) Accounts() []Account {
	out := make([]Account, 0, len(l.accounts))
	for id, a := range l.accounts {
		out = append(out, Account{Workspace: id, Used: a.used, Credited: a.left, VMs: len(a.holds)})
	}
	return out
}
