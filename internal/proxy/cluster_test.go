package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// fixedCluster is a catalogue that does not change.
type fixedCluster struct {
	c     *model.Catalogue
	fresh bool
	vms   int
	// compared says that other replicas had nothing newer.
	compared bool
	// neighbours are the addresses of other VMs.
	neighbours []string
	// provedAgo is how long ago the catalogue was proved the newest; below 0 it never was.
	provedAgo time.Duration
	mu        sync.Mutex
	// allowed are how many requests of each workspace may still run; without it all may.
	allowed map[model.WorkspaceID]int
}

func (w *fixedCluster) Catalogue() *model.Catalogue { return w.c }
func (w *fixedCluster) Fresh() bool                 { return w.fresh }
func (w *fixedCluster) VMs(model.RegionID) int      { return w.vms }
func (w *fixedCluster) Compared() bool              { return w.compared }
func (w *fixedCluster) Neighbours() []string        { return w.neighbours }
func (w *fixedCluster) ConfirmationAge() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, w.provedAgo), w.provedAgo >= 0
}

func (w *fixedCluster) setProved(ago time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.provedAgo = ago
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
