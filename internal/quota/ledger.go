package quota

import (
	"math"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// LedgerOptions are the settings of a ledger.
type LedgerOptions struct {
	Bounds
	// FallbackTimeout is how long a VM without a response from the leader admits requests.
	FallbackTimeout time.Duration
	// StartedAt is when the ledger was created.
	StartedAt time.Duration
}

// Ledger is the leader's record of the use of allowances. It is not safe for concurrent use.
type Ledger struct {
	o         LedgerOptions
	accounts  map[model.WorkspaceID]*account
	processes map[processID]*process
	sweptAt   time.Duration
}

// processID identifies one process of a VM.
type processID struct {
	vm          model.VMID
	incarnation uint64
}

// process is the state of a VM's process.
type process struct {
	// workspaces is the set of workspaces with a usage of the process.
	workspaces map[model.WorkspaceID]bool
	// reportedAt is the time of the last report. At expiresAt, the windows no longer include
	// any request of the process.
	reportedAt, expiresAt time.Duration
	// settled means that the process has ended or did not report in time, and that its outstanding
	// credit, or its fallback share if it may still use that, is counted as used.
	settled bool
}

// account is the state of one workspace: usages by process, and their sums.
type account struct {
	usages                 map[processID]usage
	used, credited, demand int
}

// usage is the use of a workspace by one process. credited is its outstanding credit.
type usage struct {
	used, credited, demand, fallbackShare int
}

// NewLedger returns an empty ledger.
func NewLedger(o LedgerOptions) *Ledger {
	return &Ledger{o: o, accounts: map[model.WorkspaceID]*account{}, processes: map[processID]*process{}, sweptAt: o.StartedAt}
}

func (a *account) set(h processID, x usage) {
	old := a.usages[h]
	a.used += x.used - old.used
	a.credited += x.credited - old.credited
	a.demand += x.demand - old.demand
	a.usages[h] = x
}

// Renew processes a report and returns the new credits of its process.
func (l *Ledger) Renew(r Report, maxFor MaxFunc, now time.Duration) []Credit {
	l.sweep(now)
	h := processID{r.VM, r.Incarnation}
	p := l.process(h, now)
	p.reportedAt, p.expiresAt, p.settled = now, now+l.o.FallbackTimeout+l.o.window(), false
	workspaces := make(map[model.WorkspaceID]bool, len(r.Uses))
	var out []Credit
	for _, u := range r.Uses {
		n, limited := maxFor(u.Workspace)
		if !limited {
			continue
		}
		workspaces[u.Workspace] = true
		a, ok := l.accounts[u.Workspace]
		if !ok {
			a = &account{usages: map[processID]usage{}}
			l.accounts[u.Workspace] = a
		}
		x := usage{used: max(0, u.Used), credited: max(0, u.Left), demand: max(0, u.Wanted)}
		a.set(h, x)
		c := l.credit(a, x, n, now)
		if now < l.o.StartedAt+gatherPeriod {
			c.Credit, c.Level = max(0, u.Level-x.used), u.Level
		}
		x.credited, x.fallbackShare = max(x.credited, c.Credit), c.Level
		a.set(h, x)
		c.Workspace = u.Workspace
		out = append(out, c)
	}
	for id := range p.workspaces {
		switch {
		case workspaces[id]:
		case r.Partial:
			workspaces[id] = true
		default:
			// The window of the process includes no request of this workspace any more.
			l.removeUsage(id, h)
		}
	}
	p.workspaces = workspaces
	return out
}

// process returns the process of a report. A new process replaces the previous ones of its VM.
func (l *Ledger) process(h processID, now time.Duration) *process {
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
	// busyFraction is the fraction of its maximum from which a workspace is busy. VMs that
	// need more credit then wait for their next renewal; otherwise they report at once.
	busyFraction = 0.8
	// creditFraction is the fraction of the unallocated requests that is credited. The rest is for
	// VMs whose demand rises.
	creditFraction = 0.7
	// maxDemandFactor times its demand is the maximum credit of a VM.
	maxDemandFactor = 4
	// fallbackFraction is the fraction of the maximum that is divided into fallback shares.
	fallbackFraction = 0.9
	// gatherPeriod is how long a new ledger credits VMs only up to their previous fallback
	// shares. All VMs report within it.
	gatherPeriod = time.Second
	// startupFraction is the fraction of the maximum that a new ledger credits while VMs that
	// have not reported to it may still use their fallback shares.
	startupFraction = 0.7
	// reportTimeout is how long after its last report a VM is assumed to use its fallback
	// share. It is shorter than responseTimeout, after which the VM itself switches to it.
	reportTimeout = time.Second
)

// credit computes a VM's credit from the unallocated requests and the demand of all VMs.
func (l *Ledger) credit(a *account, x usage, maxRequests int, now time.Duration) Credit {
	age := now - l.o.StartedAt
	if age < l.o.FallbackTimeout+l.o.window() {
		maxRequests = int(startupFraction * float64(maxRequests))
	}
	unallocated := max(0, maxRequests-a.used-(a.credited-x.credited))
	factor := min(maxDemandFactor, creditFraction*float64(unallocated)/float64(max(1, a.demand)))
	c := min(unallocated, int(math.Ceil(float64(x.demand)*factor)))
	return Credit{
		Credit: max(c, min(x.credited, x.demand)), Busy: c < x.demand && float64(a.used) >= busyFraction*float64(maxRequests),
		Level: int(fallbackFraction * float64(maxRequests) * float64(x.used) / float64(max(1, a.used))),
	}
}

// EndProcess records that a process admits no more requests. Its used requests, and its
// outstanding credit, which it may have used, still count for one window.
func (l *Ledger) EndProcess(vm model.VMID, incarnation uint64, now time.Duration) {
	h := processID{vm, incarnation}
	p, ok := l.processes[h]
	if !ok {
		return
	}
	p.expiresAt = min(p.expiresAt, now+l.o.window())
	l.updateUsages(h, p, func(x usage) usage { return usage{used: x.used + x.credited} })
	p.settled = true
}

// updateUsages changes all usages of a process.
func (l *Ledger) updateUsages(h processID, p *process, change func(usage) usage) {
	for id := range p.workspaces {
		if a, ok := l.accounts[id]; ok {
			a.set(h, change(a.usages[h]))
		}
	}
}

// removeUsage removes the usage of a workspace by a process.
func (l *Ledger) removeUsage(id model.WorkspaceID, h processID) {
	a, ok := l.accounts[id]
	if !ok {
		return
	}
	a.set(h, usage{})
	delete(a.usages, h)
	if len(a.usages) == 0 {
		delete(l.accounts, id)
	}
}

// sweep counts the fallback shares of processes that did not report in time as used, and removes
// processes whose requests the windows no longer include.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.sweptAt < slotLength {
		return
	}
	l.sweptAt = now
	for h, p := range l.processes {
		if now >= p.expiresAt {
			for id := range p.workspaces {
				l.removeUsage(id, h)
			}
			delete(l.processes, h)
			continue
		}
		if !p.settled && now-p.reportedAt > reportTimeout {
			p.settled = true
			l.updateUsages(h, p, func(x usage) usage { return usage{used: max(x.used+x.credited, x.fallbackShare)} })
		}
	}
}

// Account is the state of a workspace as shown to operators.
type Account struct {
	Workspace model.WorkspaceID `json:"workspace"`
	// Used is the number of requests in the last window, and Credited the number that VMs
	// may admit by their outstanding credit.
	Used     int `json:"used"`
	Credited int `json:"credited"`
	// VMs is the number of processes with recent use.
	VMs int `json:"vms"`
}

// Accounts returns the workspaces with recent use.
func (l *Ledger) Accounts() []Account {
	out := make([]Account, 0, len(l.accounts))
	for id, a := range l.accounts {
		out = append(out, Account{Workspace: id, Used: a.used, Credited: a.credited, VMs: len(a.usages)})
	}
	return out
}
