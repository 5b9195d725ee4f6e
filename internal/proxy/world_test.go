package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// fixedWorld is a catalogue that does not change.
type fixedWorld struct {
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

func (w *fixedWorld) Catalogue() *model.Catalogue { return w.c }
func (w *fixedWorld) Fresh() bool                 { return w.fresh }
func (w *fixedWorld) VMs(model.RegionID) int      { return w.vms }
func (w *fixedWorld) Compared() bool              { return w.compared }
func (w *fixedWorld) Neighbours() []string        { return w.neighbours }
func (w *fixedWorld) ConfirmationAge() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, w.provedAgo), w.provedAgo >= 0
}

func (w *fixedWorld) setProved(ago time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.provedAgo = ago
}

func (w *fixedWorld) Allow(_ context.Context, x model.Workspace) bool {
	if w.allowed == nil {
		return true
	}
	w.allowed[x.Name]--
	return w.allowed[x.Name] >= 0
}

func (w *fixedWorld) Refund(x model.Workspace, _ time.Duration) {
	if w.allowed != nil {
		w.allowed[x.Name]++
	}
}

func (w *fixedWorld) AllowedFraction(model.WorkspaceID) float64 { return 0.5 }
