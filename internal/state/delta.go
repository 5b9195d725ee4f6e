package state

import (
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// ApplyDelta returns the catalogue that results from applying a reply of Delta to the one
// at the requested version; nil is the empty catalogue at version 0.
func ApplyDelta(c *model.Catalogue, r *eelpb.PullReply) (*model.Catalogue, error) {
	var updated []model.Object
	var removed []string
	for _, o := range r.Objects {
		if o.Removed {
			removed = append(removed, o.Kind+"/"+o.Name)
			continue
		}
		updated = append(updated, ToModel(o))
	}
	if c == nil || r.Snapshot {
		return model.NewCatalogue(model.Version(r.Version), updated)
	}
	return c.With(model.Version(r.Version), updated, removed)
}
