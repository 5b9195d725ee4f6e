package state

import (
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// routingChange returns a change that replaces the routing and its workspaces, given as name
// and spec.
func routingChange(revision uint64, workspaces ...[2]string) *eelpb.Change {
	c := &eelpb.Change{AnyBase: true, Whole: []string{string(model.ObjectWorkspace)}, Objects: []*eelpb.Object{
		{Kind: string(model.ObjectRouting), Name: model.RoutingName, Spec: []byte("r"), Revision: revision},
	}}
	for _, s := range workspaces {
		c.Objects = append(c.Objects, &eelpb.Object{Kind: string(model.ObjectWorkspace), Name: s[0], Spec: []byte(s[1])})
	}
	return c
}

// The workspaces of the routing with the highest revision are in force, in whatever order
// routings arrive.
func TestReplaceKinds(t *testing.T) {
	one := routingChange(1, [2]string{"w1", "a"}, [2]string{"w2", "b"})
	two := routingChange(2, [2]string{"w1", "a"})
	three := routingChange(3, [2]string{"w1", "a"}, [2]string{"w2", "c"})
	tests := []struct {
		name    string
		changes []*eelpb.Change
		want    map[string]string
		// version is the expected version of w1.
		version uint64
	}{
		{"first", []*eelpb.Change{one}, map[string]string{"w1": "a", "w2": "b"}, 1},
		{"workspace removed", []*eelpb.Change{one, two}, map[string]string{"w1": "a"}, 1},
		{"older routing arrives late", []*eelpb.Change{two, one}, map[string]string{"w1": "a"}, 1},
		{"workspace added again with another spec", []*eelpb.Change{one, two, three}, map[string]string{"w1": "a", "w2": "c"}, 1},
		{"routing that lacked a workspace arrives late", []*eelpb.Change{one, three, two}, map[string]string{"w1": "a", "w2": "c"}, 1},
		{"sent again", []*eelpb.Change{one, three, three, one}, map[string]string{"w1": "a", "w2": "c"}, 1},
		{"all workspaces removed", []*eelpb.Change{one, routingChange(4)}, map[string]string{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(Limits{})
			for _, c := range tt.changes {
				m.Apply(&eelpb.Command{Change: c})
			}
			got := map[string]string{}
			for _, o := range m.Find(model.ObjectWorkspace, func(*eelpb.Object) bool { return true }) {
				got[o.Name] = string(o.Spec)
			}
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, m.Object(model.ObjectWorkspace, "w1").GetVersion(), tt.version, "unchanged workspace got a new version")
		})
	}
}

// A delta contains only the workspaces that changed or were removed.
func TestDeltaAfterReplace(t *testing.T) {
	m := New(Limits{})
	m.Apply(&eelpb.Command{Change: routingChange(1, [2]string{"w1", "a"}, [2]string{"w2", "b"}, [2]string{"w3", "c"})})
	m.Apply(&eelpb.Command{Change: routingChange(2, [2]string{"w1", "a"}, [2]string{"w2", "x"})})
	var got []string
	for _, o := range m.Delta(1).Objects {
		if o.Removed {
			got = append(got, "-"+o.Name)
		} else {
			got = append(got, o.Name)
		}
	}
	assert.DeepEqual(t, got, []string{model.RoutingName, "w2", "-w3"})
}
