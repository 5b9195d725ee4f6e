package quota

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// LedgerOptions are the settings of a ledger.
type LedgerOptions struct {
	Bounds
	// Lease is how long a VM may rely on a credit after its report, by any clock.
	Lease time.Duration
	// Beyond is how long after that a VM goes on at its pace.
	Beyond time.Duration
}

// Ledger is what the leader knows of the use of allowances. It is not safe for
// concurrent use.
type Ledger struct {
	o        LedgerOptions
	accounts map[model.WorkspaceID]*account
	// named are the workspaces of the last report of each process.
	named   map[holder]map[model.WorkspaceID]bool
	sweptAt time.Duration
}

// holder is one process of a VM.
type holder struct {
	vm          model.VMID
	incarnation uint64
}

// account is one workspace with the sums over its holds.
type account struct {
	holds              map[holder]*hold
	used, left, wanted int
}

// hold is what one process has used and was credited.
type hold struct {
	used, left, wanted int
	// at is when it reported, and end when what it used is out of every window.
	at, end time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger(o LedgerOptions) *Ledger {
	return &Ledger{o: o, accounts: map[model.WorkspaceID]*account{}, named: map[holder]map[model.WorkspaceID]bool{}}
}

func (a *account) set(h holder, x hold) {
	old, ok := a.holds[h]
	if !ok {
		old = &hold{}
		a.holds[h] = old
	}
	a.used += x.used - old.used
	a.left += x.left - old.left
	a.wanted += x.wanted - old.wanted
	*old = x
}

func (a *account) drop(h holder) {
	if _, ok := a.holds[h]; ok {
		a.set(h, hold{})
		delete(a.holds, h)
	}
}

// Renew takes a report of a process and returns its credits. Most tells how many
// requests of a workspace may run in a window, or that it has no limit. While quiet,
// another ledger's credits may be in use: each VM keeps its pace, and gets no more.
func (l *Ledger) Renew(vm model.VMID, incarnation uint64, uses []Use, most func(model.WorkspaceID) (int, bool), now time.Duration, quiet bool) []Credit {
	l.sweep(now)
	h := holder{vm, incarnation}
	l.replace(h, now)
	named := make(map[model.WorkspaceID]bool, len(uses))
	var out []Credit
	for _, u := range uses {
		n, limited := most(u.Workspace)
		if !limited {
			continue
		}
		named[u.Workspace] = true
		a, ok := l.accounts[u.Workspace]
		if !ok {
			a = &account{holds: map[holder]*hold{}}
			l.accounts[u.Workspace] = a
		}
		x := hold{
			used: max(0, u.Used), left: max(0, u.Left), wanted: max(0, u.Wanted),
			at: now, end: now + l.o.Lease + l.o.Beyond + l.o.window(),
		}
		a.set(h, x)
		c := a.credit(x, n)
		if quiet {
			c = l.pace(x, u)
		}
		x.left = max(x.left, c.Credit)
		a.set(h, x)
		c.Workspace = u.Workspace
		out = append(out, c)
	}
	// What a process no longer names has left its window.
	for id := range l.named[h] {
		if !named[id] {
			l.release(id, h)
		}
	}
	l.named[h] = named
	return out
}

// busyPart is the part of its most from which a workspace is busy: its VMs then wait
// for their renewals, where otherwise one that needs more asks at once.
const busyPart = 0.8

// credit divides what is free among those who want it.
func (a *account) credit(x hold, most int) Credit {
	free := max(0, most-a.used-(a.left-x.left))
	c := min(x.wanted, free)
	if a.wanted > free {
		c = min(c, (free*x.wanted+a.wanted-1)/a.wanted)
	}
	return Credit{Credit: c, Busy: c < x.wanted && float64(a.used) >= busyPart*float64(most)}
}

// pace lets a VM go on as it did.
func (l *Ledger) pace(x hold, u Use) Credit {
	return Credit{Credit: max(u.Left, min(x.wanted, int(float64(x.used)*horizon.Seconds()/l.o.window().Seconds())))}
}

// replace ends the former process of a VM.
func (l *Ledger) replace(h holder, now time.Duration) {
	if _, ok := l.named[h]; ok {
		return
	}
	for other := range l.named {
		if other.vm == h.vm {
			l.End(other.vm, other.incarnation, now)
		}
	}
}

// End says that a process takes no more requests. What it used, and what it may have
// used of its credits, counts for a window.
func (l *Ledger) End(vm model.VMID, incarnation uint64, now time.Duration) {
	h := holder{vm, incarnation}
	for id := range l.named[h] {
		if a, ok := l.accounts[id]; ok && a.holds[h] != nil {
			x := *a.holds[h]
			a.set(h, hold{used: x.used + x.left, at: x.at, end: min(x.end, now+l.o.window())})
		}
	}
	delete(l.named, h)
}

// release forgets a process at a workspace.
func (l *Ledger) release(id model.WorkspaceID, h holder) {
	a, ok := l.accounts[id]
	if !ok {
		return
	}
	a.drop(h)
	if len(a.holds) == 0 {
		delete(l.accounts, id)
	}
}

// sweep forgets processes that have been silent for so long that what they used, and
// what they may have used since, is out of the window.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.sweptAt < slotLength {
		return
	}
	l.sweptAt = now
	for id, a := range l.accounts {
		for h, x := range a.holds {
			if now-x.at > l.o.Lease && x.left+x.wanted > 0 {
				// Its credit is over, and may have been used; its pace counts on.
				a.set(h, hold{used: x.used + x.left, at: x.at, end: x.end})
			}
			if now >= x.end {
				l.release(id, h)
				delete(l.named, h)
			}
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
