package opctl

import (
	"testing"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// Targets that announce to the replicas are listed with their state and drains in the catalogue;
// gone targets are left out.
func TestAnnounced(t *testing.T) {
	target := func(id model.TargetID, d model.FailureDomainID, s model.TargetState) model.Target {
		return model.Target{ID: id, Service: "s", FailureDomain: d, Addr: "10.0.0.9:80", Slots: 3, State: s}
	}
	c := &model.Catalogue{
		Domains: map[model.FailureDomainID]model.FailureDomain{"a-1": {Name: "a-1", Region: "a"}, "b-1": {Name: "b-1", Region: "b"}},
		Regions: map[model.RegionID]model.Region{"a": {Name: "a"}, "b": {Name: "b"}},
		Drains:  []model.Drain{{FailureDomain: "b-1"}},
		Targets: model.NewTargets(
			target("ready", "a-1", model.TargetReady), target("leaving", "a-1", model.TargetDraining),
			target("gone", "a-1", model.TargetGone), target("drained", "b-1", model.TargetReady),
		),
	}
	list := announcedTargets(c)
	want := []struct {
		id              model.TargetID
		ready, draining bool
	}{{"drained", false, true}, {"leaving", false, true}, {"ready", true, false}}
	assert.Equal(t, len(list), len(want))
	for i, w := range want {
		assert.Equal(t, list[i].ID, w.id)
		assert.Equal(t, list[i].Ready, w.ready, string(w.id))
		assert.Equal(t, list[i].Draining, w.draining, string(w.id))
	}
	r := sumRegions(c, list)
	assert.Equal(t, len(r), 2)
	assert.Equal(t, r[0].Targets, 2)
	assert.Equal(t, r[0].Ready, 1)
	assert.Equal(t, r[0].Slots, 3)
	assert.Equal(t, r[1].Ready, 0)
}
