package state

import (
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// ApplyDelta returns the catalogue that results from applying a reply of Delta to the one
// at the requested version; nil is the empty catalogue at version 0. An object that is not
// valid is left out and listed in the catalogue, and all others take effect.
func ApplyDelta(c *model.Catalogue, r *eelpb.PullReply) *model.Catalogue {
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
		return model.Build(model.Version(r.Version), updated)
	}
	return c.Apply(model.Version(r.Version), updated, removed)
}

// LogInvalid logs the objects that a catalogue leaves out and the earlier one did not.
func LogInvalid(l log.Logger, earlier, c *model.Catalogue) {
	for _, x := range c.NewlyInvalid(earlier) {
		level.Error(l).Log("msg", "invalid object left out", "object", x.Key(), "objectVersion", x.Version, "version", c.Version, "err", x.Err)
	}
}
