package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
)

const (
	// unlimitedWorkspace is the workspace of most callers; limitedWorkspace has a small allowance.
	unlimitedWorkspace model.WorkspaceID = "crew"
	limitedWorkspace   model.WorkspaceID = "club"
	unlimitedKey                         = "crew-key"
	limitedKey                           = "club-key"
	// limitedFraction is the fraction of requests with limitedKey, several times the allowance
	// of its workspace.
	limitedFraction = 0.15
	// withdrawnFraction is the fraction of requests with a withdrawn key.
	withdrawnFraction = 0.02
	limitedRate       = 10
	limitedBurst      = 10
	// keyTTL is how soon after its acknowledgement every entry enforces a withdrawal.
	keyTTL = 5 * time.Second
	// The callers of limitedWorkspace may exceed its allowance by this much in a window.
	allowanceWindow        = 5 * time.Second
	allowanceOverageFactor = 1.1
	allowanceTolerance     = 20
)

// revisionKey returns a key that only one revision has.
func revisionKey(n model.Revision) string { return fmt.Sprintf("turning-key-%d", n) }

// workspaces returns the workspaces of a revision.
func workspaces(n model.Revision) []platform.Workspace {
	return []platform.Workspace{
		{Name: unlimitedWorkspace, Keys: []string{unlimitedKey, revisionKey(n)}},
		{Name: limitedWorkspace, Keys: []string{limitedKey}, Allowance: model.Allowance{PerSecond: limitedRate, Burst: limitedBurst}},
	}
}

// revisionHistory records when the revisions of the routing were acknowledged.
type revisionHistory struct {
	mu   sync.Mutex
	sent []model.Revision
	at   map[model.Revision]time.Duration
}

func (h *revisionHistory) send(n model.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, n)
}

func (h *revisionHistory) acknowledge(n model.Revision, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[model.Revision]time.Duration{}
	}
	h.at[n] = now
}

// withdrawn returns a revision whose key must not work any more, since a later revision
// was acknowledged more than keyTTL ago.
func (h *revisionHistory) withdrawn(rnd *rand.Rand, now time.Duration) (model.Revision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var newest model.Revision
	for n, at := range h.at {
		if now > at+keyTTL {
			newest = max(newest, n)
		}
	}
	old := slices.DeleteFunc(slices.Clone(h.sent), func(n model.Revision) bool { return n >= newest })
	if len(old) == 0 {
		return 0, false
	}
	return old[rnd.IntN(len(old))], true
}

// key returns the key for a caller's next request, its workspace, and whether the key
// was withdrawn.
func (c *caller) key() (key string, workspace model.WorkspaceID, withdrawn bool) {
	x := c.rnd.Float64()
	if x < withdrawnFraction {
		if n, ok := c.s.op.revisionHistory.withdrawn(c.rnd, c.s.mon.now()); ok {
			return revisionKey(n), unlimitedWorkspace, true
		}
	}
	if x < withdrawnFraction+limitedFraction {
		return limitedKey, limitedWorkspace, false
	}
	return unlimitedKey, unlimitedWorkspace, false
}

// checkAllowance checks for each window how many requests of limitedWorkspace ran.
func (m *monitor) checkAllowance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	const step = 250 * time.Millisecond
	maxRuns := (limitedRate*allowanceWindow.Seconds()+limitedBurst)*allowanceOverageFactor + allowanceTolerance
	for from, end := time.Duration(0), m.now(); from < end; from += step {
		ran := 0
		for _, a := range m.attempts {
			if a.workspace != limitedWorkspace || a.sentAt < from {
				continue
			}
			for _, r := range a.runs {
				if r.at < from+allowanceWindow {
					ran++
				}
			}
		}
		m.checkLocked(WithinAllowance, float64(ran) <= maxRuns, "%d requests of workspace %s ran from %s on", ran, limitedWorkspace, from)
	}
}
