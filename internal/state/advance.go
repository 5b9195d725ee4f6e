package state

import (
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// ApplyDelta returns the catalogue that a reply of Delta leads to, from the one at the
// version that was asked for; nil is the empty catalogue at version 0.
func ApplyDelta(c *model.Catalogue, r *eelpb.PullReply) (*model.Catalogue, error) {
	var put []model.Object
	var removed []string
	for _, o := range r.Objects {
		if o.Removed {
			removed = append(removed, o.Kind+"/"+o.Name)
			continue
		}
		put = append(put, ToModel(o))
	}
	if c == nil || r.Snapshot {
		return model.NewCatalogue(model.Version(r.Version), put)
	}
	return c.With(model.Version(r.Version), put, removed)
}
