package model

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func workspaceObject(name string, rate float64, keys ...string) Object {
	w := Workspace{Allowance: Allowance{PerSecond: rate, Burst: rate}}
	for _, k := range keys {
		w.Keys = append(w.Keys, DigestOf(k))
	}
	return objectOf(ObjectWorkspace, name, w)
}

// A change of workspaces updates which workspace holds each key, and leaves the earlier
// catalogue unchanged.
func TestWorkspaceChanges(t *testing.T) {
	tests := []struct {
		name    string
		put     []Object
		removed []string
		// holders are the workspaces that hold keys a, b and c; "" means none.
		holders [3]WorkspaceID
		err     string
	}{
		{"no change", nil, nil, [3]WorkspaceID{"w1", "w1", "w2"}, ""},
		{"key removed", []Object{workspaceObject("w1", 1, "b")}, nil, [3]WorkspaceID{"", "w1", "w2"}, ""},
		{"last key removed", []Object{workspaceObject("w2", 1)}, nil, [3]WorkspaceID{"w1", "w1", ""}, ""},
		{"workspace removed", nil, []string{"workspace/w1"}, [3]WorkspaceID{"", "", "w2"}, ""},
		{"key moved to a later workspace", []Object{workspaceObject("w1", 1, "b"), workspaceObject("w2", 1, "a", "c")}, nil, [3]WorkspaceID{"w2", "w1", "w2"}, ""},
		{"key moved to an earlier workspace", []Object{workspaceObject("w1", 1, "a", "b", "c"), workspaceObject("w2", 1)}, nil, [3]WorkspaceID{"w1", "w1", "w1"}, ""},
		{"keys moved to a new workspace", []Object{workspaceObject("w3", 1, "a", "b")}, []string{"workspace/w1"}, [3]WorkspaceID{"w3", "w3", "w2"}, ""},
		{"key shared by two workspaces", []Object{workspaceObject("w2", 1, "a")}, nil, [3]WorkspaceID{}, "share a key"},
		{"key listed twice", []Object{workspaceObject("w2", 1, "c", "c")}, nil, [3]WorkspaceID{"w1", "w1", "w2"}, ""},
		{"negative rate", []Object{workspaceObject("w2", -1, "c")}, nil, [3]WorkspaceID{}, "below 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := NewCatalogue(1, append(topologyObjects(), workspaceObject("w1", 5, "a", "b"), workspaceObject("w2", 5, "c")))
			assert.NilError(t, err)
			n, err := c.With(2, tt.put, tt.removed)
			if tt.err != "" {
				assert.ErrorContains(t, err, tt.err)
				return
			}
			assert.NilError(t, err)
			for i, k := range []string{"a", "b", "c"} {
				w, ok := n.Workspaces.Of(DigestOf(k))
				assert.Equal(t, w.Name, tt.holders[i], "key %s", k)
				assert.Equal(t, ok, tt.holders[i] != "")
			}
			w, _ := c.Workspaces.Of(DigestOf("a"))
			assert.Equal(t, w.Name, WorkspaceID("w1"), "the earlier catalogue has changed")
		})
	}
}

// A key that was removed from a workspace is accepted again once it is restored.
func TestKeyRestored(t *testing.T) {
	c, err := NewCatalogue(1, []Object{workspaceObject("w", 1, "a")})
	assert.NilError(t, err)
	for v, keys := range [][]string{{}, {"a"}, {"b"}, {"a", "b"}} {
		c, err = c.With(Version(v+2), []Object{workspaceObject("w", 1, keys...)}, nil)
		assert.NilError(t, err)
		for _, k := range []string{"a", "b"} {
			_, ok := c.Workspaces.Of(DigestOf(k))
			want := false
			for _, x := range keys {
				want = want || x == k
			}
			assert.Equal(t, ok, want, "version %d, key %s", v+2, k)
		}
	}
}

// A digest survives marshalling and unmarshalling, and malformed digests are rejected.
func TestKeyDigestText(t *testing.T) {
	d := DigestOf("key")
	b, err := json.Marshal(d)
	assert.NilError(t, err)
	var again KeyDigest
	assert.NilError(t, json.Unmarshal(b, &again))
	assert.Equal(t, again, d)
	for _, bad := range []string{`""`, `"00"`, `"` + fmt.Sprintf("%0*d", 31, 0) + `"`, `"zz` + fmt.Sprintf("%0*d", 30, 0) + `"`} {
		assert.Assert(t, json.Unmarshal([]byte(bad), &again) != nil, bad)
	}
}

// A catalogue whose workspaces changed by deltas equals one built from the remaining
// objects.
func TestWorkspaceDeltasEqualAFullBuild(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		held := map[string]Object{}
		c, err := NewCatalogue(1, topologyObjects())
		assert.NilError(t, err)
		for v := Version(2); v < 60; v++ {
			name := fmt.Sprintf("w%d", r.IntN(8))
			o := workspaceObject(name, float64(r.IntN(9)), name+"-"+fmt.Sprint(r.IntN(3)))
			if r.IntN(3) == 0 {
				delete(held, o.Key())
				c, err = c.With(v, nil, []string{o.Key()})
			} else {
				held[o.Key()] = o
				c, err = c.With(v, []Object{o}, nil)
			}
			assert.NilError(t, err)
		}
		list := topologyObjects()
		for _, o := range held {
			list = append(list, o)
		}
		rebuilt, err := NewCatalogue(60, list)
		assert.NilError(t, err)
		assert.Equal(t, c.Workspaces.Len(), rebuilt.Workspaces.Len())
		for id, w := range rebuilt.Workspaces.All() {
			x, ok := c.Workspaces.Get(id)
			assert.Assert(t, ok)
			assert.DeepEqual(t, x, w)
			for _, k := range w.Keys {
				y, _ := c.Workspaces.Of(k)
				assert.Equal(t, y.Name, id)
			}
		}
	}
}

func catalogueWithWorkspaces(b *testing.B, n int) *Catalogue {
	o := topologyObjects()
	for i := range n {
		o = append(o, workspaceObject(fmt.Sprintf("w%d", i), 10, fmt.Sprintf("key-%d-a", i), fmt.Sprintf("key-%d-b", i)))
	}
	c, err := NewCatalogue(1, o)
	assert.NilError(b, err)
	return c
}

// BenchmarkWorkspaceChange shows that the cost of changing a workspace does not depend on
// the number of workspaces.
func BenchmarkWorkspaceChange(b *testing.B) {
	for _, n := range []int{85, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := catalogueWithWorkspaces(b, n)
			o := []Object{workspaceObject("w7", 20, "key-7-a", "key-7-c")}
			for b.Loop() {
				if _, err := c.With(2, o, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkKeyLookup measures the key look-up that each request with a key needs.
func BenchmarkKeyLookup(b *testing.B) {
	for _, n := range []int{85, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := catalogueWithWorkspaces(b, n)
			for b.Loop() {
				if _, ok := c.Workspaces.Of(DigestOf("key-7-a")); !ok {
					b.Fatal("key not found")
				}
			}
		})
	}
}
