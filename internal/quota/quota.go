// Package quota enforces the allowance of a workspace over any window of time, across all VMs
// that its callers use.
//
// The leader keeps a Ledger: the requests that each VM has used in the last window, and its
// outstanding credit. Used requests and outstanding credits together never exceed the maximum
// of requests in a window. A VM's Meter admits requests against its credit, reports its use with
// each renewal of the lease, and gets a new credit in proportion to its expected demand. A VM
// whose credit is exhausted reports at once. So no request is denied while the workspace as a
// whole is within its allowance, and VMs need not communicate with each other.
//
// A VM whose reports get no response continues with its fallback share. The ledger divides the
// allowance into fallback shares in proportion to the use of each VM, and counts a share as used
// until the VM reports again or can no longer admit requests. A new leader collects reports
// before it credits more than the previous fallback shares.
//
// # Usage
//
//	m := quota.NewMeter(bounds)
//	switch m.Acquire("w1", bounds.Most(allowance), vms, now) { ... }
//	uses := m.Report(now, false)
//	credits := ledger.Renew(quota.Report{VM: "vm1", Incarnation: n, Uses: uses}, maxFor, now)
//	m.Credit(credits)
//
// The package performs no I/O and reads no clock: its inputs are times and requests, its outputs
// are decisions. It follows the leases of Gray and Cheriton (1989) with counts in place of locks.
package quota

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Bounds defines how allowances are counted.
type Bounds struct {
	// Window is the duration over which requests are counted.
	Window time.Duration
	// OverageFactor times the allowance, plus Tolerance requests, may run in a window.
	OverageFactor, Tolerance float64
}

// DefaultWindow is the window that is used where Bounds sets none.
const DefaultWindow = 5 * time.Second

func (b Bounds) window() time.Duration {
	if b.Window == 0 {
		return DefaultWindow
	}
	return b.Window
}

// creditedToleranceFraction is the fraction of the tolerance that is credited. The rest covers the
// requests that VMs admit before their first credit for a workspace.
const creditedToleranceFraction = 0.5

// Most returns the maximum number of requests in a window that the ledger enforces.
func (b Bounds) Most(a model.Allowance) int {
	return int((a.PerSecond*b.window().Seconds()+a.Burst)*b.OverageFactor + b.Tolerance*creditedToleranceFraction)
}

// Use is a VM's use of the allowance of a workspace.
type Use struct {
	Workspace model.WorkspaceID
	// Used is the number of requests in the last window.
	Used int
	// Left is the remaining part of the last credit.
	Left int
	// Wanted is the demand: the number of requests expected until the renewal after the next.
	Wanted int
	// Level is the fallback share that came with the last credit.
	Level int
}

// Report is the report of one process of a VM about its use.
type Report struct {
	VM          model.VMID
	Incarnation uint64
	Uses        []Use
	// Partial means that Uses holds only the workspaces that need more credit.
	Partial bool
}

// MaxFunc returns the maximum number of requests of a workspace in a window, and whether the
// workspace is limited at all.
type MaxFunc func(model.WorkspaceID) (int, bool)

// Credit is the number of requests of a workspace that a VM may admit after its report.
type Credit struct {
	Workspace model.WorkspaceID
	// Credit is the new credit. What remains of it is the Left of the next report.
	Credit int
	// Busy means that the workspace is near its allowance and that less was credited than
	// was wanted.
	Busy bool
	// Level is the fallback share: the number of requests that the VM may admit in a window
	// while it gets no response from the leader.
	Level int
}

// slotLength is the resolution of sliding windows.
const slotLength = 250 * time.Millisecond

// counter counts events in a sliding window.
type counter struct {
	slots []int
	head  int64
	sum   int
}

// newCounter returns a counter over a window. It has two more slots than fit into the window,
// since the window covers the first and the last only partly.
func newCounter(window time.Duration) counter {
	return counter{slots: make([]int, int((window+slotLength-1)/slotLength)+2)}
}

func (c *counter) advance(now time.Duration) {
	at, n := int64(now/slotLength), int64(len(c.slots))
	if at-c.head >= n {
		clear(c.slots)
		c.sum, c.head = 0, at
		return
	}
	for c.head < at {
		c.head++
		c.sum -= c.slots[c.head%n]
		c.slots[c.head%n] = 0
	}
}

func (c *counter) add(now time.Duration) {
	c.advance(now)
	c.slots[c.head%int64(len(c.slots))]++
	c.sum++
}

// remove removes an event of an earlier time, if the window still includes it.
func (c *counter) remove(at, now time.Duration) {
	c.advance(now)
	n := int64(len(c.slots))
	slot := int64(at / slotLength)
	if c.head-slot >= n || c.slots[slot%n] == 0 {
		return
	}
	c.slots[slot%n]--
	c.sum--
}

// countWithin returns the number of events within d before now; d is shorter than the window.
func (c *counter) countWithin(d, now time.Duration) int {
	c.advance(now)
	n, sum := int64(len(c.slots)), 0
	for i := int64(0); i <= int64(d/slotLength) && i < n; i++ {
		sum += c.slots[((c.head-i)%n+n)%n]
	}
	return sum
}
