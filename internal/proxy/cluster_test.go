package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// fixedCluster is a cluster with a fixed catalogue.
type fixedCluster struct {
	c     *model.Catalogue
	fresh bool
	vms   int
	// rank is the place of this VM among all VMs.
	rank int
	// majorityRead means that other replicas had nothing newer.
	majorityRead bool
	// entries are the active VMs.
	entries []wire.Entry
	// peerAddrs holds the addresses of other VMs.
	peerAddrs []string
	// confirmedAgo is the confirmation age of the catalogue; below 0 it was never confirmed.
	confirmedAgo time.Duration
	// mu guards c and confirmedAgo.
	mu sync.Mutex
	// allowed is how many requests of each workspace may still run; nil means no limit.
	allowed map[model.WorkspaceID]int
}

func (w *fixedCluster) Catalogue() *model.Catalogue {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.c
}

func (w *fixedCluster) setCatalogue(c *model.Catalogue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c = c
}

func (w *fixedCluster) Fresh() bool                { return w.fresh }
func (w *fixedCluster) VMCount(model.RegionID) int { return w.vms }
func (w *fixedCluster) Position(string) limit.Position {
	return limit.Position{Rank: w.rank, VMs: w.vms, DomainRank: w.rank, Domains: 1}
}
func (w *fixedCluster) MajorityRead() bool                  { return w.majorityRead }
func (w *fixedCluster) Entries(model.RegionID) []wire.Entry { return w.entries }
func (w *fixedCluster) PeerAddrs() []string                 { return w.peerAddrs }
func (w *fixedCluster) ConfirmationAge() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, w.confirmedAgo), w.confirmedAgo >= 0
}

func (w *fixedCluster) setConfirmed(ago time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAgo = ago
}

func (w *fixedCluster) Allow(_ context.Context, x model.Workspace) bool {
	if w.allowed == nil {
		return true
	}
	w.allowed[x.Name]--
	return w.allowed[x.Name] >= 0
}

func (w *fixedCluster) Refund(x model.Workspace, _ time.Duration) {
	if w.allowed != nil {
		w.allowed[x.Name]++
	}
}

func (w *fixedCluster) AllowedFraction(model.WorkspaceID) float64 { return 0.5 }
