// Package quota holds the callers of a workspace to its allowance, however many VMs
// they ask, in any window of time.
//
// The leader keeps a Ledger: what each VM has used in the last window, and the credits
// that it was given. What was used and what is still credited never exceed the most
// that may run in a window. A VM's Meter takes requests against its credit, reports
// with each renewal of the lease, and is credited anew by what it expects to need; a
// VM whose credit is used up asks at once. So nothing is refused while the workspace
// as a whole is within its allowance, and no VM needs to know of another.
//
// A VM whose reports are not answered goes on with its part of the allowance: the ledger divides
// it by what each VM used, and counts the part as used until the VM reports again or
// can act no more. A new leader gathers reports before it credits much.
//
// # Usage
//
//	m := quota.NewMeter(bounds)
//	switch m.Take("w1", bounds.Most(allowance), now) { ... }
//	uses := m.Report(now, false)
//	credits := ledger.Renew(quota.Report{VM: "vm1", Incarnation: n, Uses: uses}, most, now)
//	m.Credit(credits)
//
// The package is pure: times and requests in, decisions out. It follows the leases
// of Gray and Cheriton (1989) with counts in place of locks.
package quota

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Bounds say how allowances are counted.
type Bounds struct {
	// Window is the time over which requests are counted.
	Window time.Duration
	// OverageFactor times the allowance, and Tolerance requests more, may run in a window.
	OverageFactor, Tolerance float64
}

// DefaultWindow is the time over which requests are counted where nothing else is said.
const DefaultWindow = 5 * time.Second

func (b Bounds) window() time.Duration {
	if b.Window == 0 {
		return DefaultWindow
	}
	return b.Window
}

// slackPart is the part of the slack that is credited. The rest covers the requests
// that VMs take before they have heard of a workspace.
const slackPart = 0.5

// Most returns how many requests may run in a window.
func (b Bounds) Most(a model.Allowance) int {
	return int((a.PerSecond*b.window().Seconds()+a.Burst)*b.OverageFactor + b.Tolerance*slackPart)
}

// Use is what a VM has used of the allowance of a workspace.
type Use struct {
	Workspace model.WorkspaceID
	// Used counts the requests of the last window.
	Used int
	// Left is what remains of the last credit.
	Left int
	// Wanted is how many requests are expected until the renewal after the next.
	Wanted int
	// Level is that of the last credit.
	Level int
}

// Report is what a process of a VM tells of its use.
type Report struct {
	VM          model.VMID
	Incarnation uint64
	Uses        []Use
	// Partial says that uses holds only the workspaces that need more credit.
	Partial bool
}

// MaxFunc tells how many requests of a workspace may run in a window, or that it has no
// limit.
type MaxFunc func(model.WorkspaceID) (int, bool)

// Credit is how many requests of a workspace a VM may take after its report.
type Credit struct {
	Workspace model.WorkspaceID
	Credit    int
	// Busy says that the workspace is near its allowance and that less was granted
	// than was wanted.
	Busy bool
	// Level is how many requests the VM may take in a window while it has no answer.
	Level int
}

// slotLength is how finely windows slide.
const slotLength = 250 * time.Millisecond

// count counts events in a sliding window.
type count struct {
	slots []int
	head  int64
	sum   int
}

// newCount returns a count over a window. It has two more slots than fit into the
// window, since the first and the last are only partly over.
func newCount(window time.Duration) count {
	return count{slots: make([]int, int((window+slotLength-1)/slotLength)+2)}
}

func (c *count) advance(now time.Duration) {
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

func (c *count) add(now time.Duration) {
	c.advance(now)
	c.slots[c.head%int64(len(c.slots))]++
	c.sum++
}

// takeBack takes an event of an earlier time out again, if the window has it.
func (c *count) takeBack(at, now time.Duration) {
	c.advance(now)
	n := int64(len(c.slots))
	slot := int64(at / slotLength)
	if c.head-slot >= n || c.slots[slot%n] == 0 {
		return
	}
	c.slots[slot%n]--
	c.sum--
}

// last returns the events of a time before now that is shorter than the window.
func (c *count) last(d, now time.Duration) int {
	c.advance(now)
	n, sum := int64(len(c.slots)), 0
	for i := int64(0); i <= int64(d/slotLength) && i < n; i++ {
		sum += c.slots[((c.head-i)%n+n)%n]
	}
	return sum
}
