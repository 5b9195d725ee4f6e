package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/clock"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// The entries of a failure domain whose targets are drained must keep serving. Without them
// the callers of the region fill the links of the region's other failure domain.
func TestEntriesOfADrainedDomain(t *testing.T) {
	object := func(k model.ObjectKind, name string, spec any) model.Object {
		b, err := json.Marshal(spec)
		assert.NilError(t, err)
		return model.Object{Kind: k, Name: name, Owner: "o", Spec: b}
	}
	c, err := model.NewCatalogue(1, []model.Object{
		object(model.ObjectRegion, "a", model.Region{}),
		object(model.ObjectFailureDomain, "a-1", model.FailureDomain{Region: "a"}),
		object(model.ObjectFailureDomain, "a-2", model.FailureDomain{Region: "a"}),
		object(model.ObjectDrain, "a-1", model.Drain{FailureDomain: "a-1"}),
	})
	assert.NilError(t, err)
	x := &Entry{o: Options{ID: "e1"}, now: clock.Stopwatch()}
	x.store.current = c
	x.directory.apply(&eelpb.RenewReply{DirectoryFull: true, Vms: []*eelpb.VM{
		{Id: "e1", FailureDomain: "a-1"}, {Id: "e2", FailureDomain: "a-2"}, {Id: "e3", FailureDomain: "a-1", Leaving: true},
	}}, time.Second)
	tests := []struct {
		name    string
		drained bool
		want    int
	}{{"drained domains included", true, 2}, {"drained domains excluded", false, 1}}
	for _, tt := range tests {
		assert.Equal(t, len(x.rank(c, "a", "", tt.drained)), tt.want, tt.name)
	}
	assert.Equal(t, len(x.Entries("a")), 2)
}
