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
	// crew is the workspace of most callers, and club one with a small allowance.
	crew    model.WorkspaceID = "crew"
	club    model.WorkspaceID = "club"
	crewKey                   = "crew-key"
	clubKey                   = "club-key"
	// clubPart is the part of the requests that come with the club's key, several
	// times what it may.
	clubPart = 0.15
	// withdrawnPart is the part of the requests that come with a key that was withdrawn.
	withdrawnPart = 0.02
	clubRate      = 10
	clubBurst     = 10
	// keyLife is how soon after its acknowledgement a withdrawal binds every entry.
	keyLife = 5 * time.Second
	// The club's callers may exceed its allowance by so much in a window.
	allowanceWindow = 5 * time.Second
	allowanceExcess = 1.1
	allowanceSlack  = 20
)

// turningKey is a key that only one revision has.
func turningKey(n model.Revision) string { return fmt.Sprintf("turning-key-%d", n) }

// spaces returns the workspaces of a revision.
func spaces(n model.Revision) []platform.Workspace {
	return []platform.Workspace{
		{Name: crew, Keys: []string{crewKey, turningKey(n)}},
		{Name: club, Keys: []string{clubKey}, Allowance: model.Allowance{PerSecond: clubRate, Burst: clubBurst}},
	}
}

// history is when the revisions of the routing were acknowledged.
type history struct {
	mu   sync.Mutex
	sent []model.Revision
	at   map[model.Revision]time.Duration
}

func (h *history) send(n model.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, n)
}

func (h *history) acknowledge(n model.Revision, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[model.Revision]time.Duration{}
	}
	h.at[n] = now
}

// withdrawn returns a revision whose key must not be used any more, since a later one
// was acknowledged long enough ago.
func (h *history) withdrawn(rnd *rand.Rand, now time.Duration) (model.Revision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var newest model.Revision
	for n, at := range h.at {
		if now > at+keyLife {
			newest = max(newest, n)
		}
	}
	old := slices.DeleteFunc(slices.Clone(h.sent), func(n model.Revision) bool { return n >= newest })
	if len(old) == 0 {
		return 0, false
	}
	return old[rnd.IntN(len(old))], true
}

// key returns the key for a caller's next request, its workspace, and whether it was
// withdrawn.
func (c *caller) key() (key string, space model.WorkspaceID, withdrawn bool) {
	x := c.rnd.Float64()
	if x < withdrawnPart {
		if n, ok := c.s.op.history.withdrawn(c.rnd, c.s.w.now()); ok {
			return turningKey(n), crew, true
		}
	}
	if x < withdrawnPart+clubPart {
		return clubKey, club, false
	}
	return crewKey, crew, false
}

// checkAllowance checks in each window how many requests of the club ran.
func (w *watch) checkAllowance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	const step = 250 * time.Millisecond
	most := (clubRate*allowanceWindow.Seconds()+clubBurst)*allowanceExcess + allowanceSlack
	for from, end := time.Duration(0), w.now(); from < end; from += step {
		ran := 0
		for _, a := range w.attempts {
			if a.space != club || a.sentAt < from {
				continue
			}
			for _, r := range a.runs {
				if r.at < from+allowanceWindow {
					ran++
				}
			}
		}
		w.checkLocked(Allowed, float64(ran) <= most, "%d requests of workspace %s ran from %s on", ran, club, from)
	}
}
