package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// Targets with numbers, ports and states out of range, which another writer announced to an earlier
// build, are in the catalogue. Neither they nor their numbers keep other targets from being used.
func TestOddTargetsInCatalogue(t *testing.T) {
	tests := []struct{ name, spec string }{
		{"port out of range", `{"service":"s","failureDomain":"a-1","addr":"127.0.0.1:99999","slots":3,"state":"ready"}`},
		{"no port", `{"service":"s","failureDomain":"a-1","addr":"127.0.0.1:","slots":3,"state":"ready"}`},
		{"too many slots", `{"service":"s","failureDomain":"a-1","addr":"127.0.0.1:1","slots":9223372036854775807,"state":"ready"}`},
		{"negative slots", `{"service":"s","failureDomain":"a-1","addr":"127.0.0.1:1","slots":-9223372036854775807,"state":"ready"}`},
		{"slots beyond an integer", `{"service":"s","failureDomain":"a-1","addr":"127.0.0.1:1","slots":1e400,"state":"ready"}`},
		{"cold for too long", `{"service":"s","failureDomain":"a-1","addr":"127.0.0.1:1","slots":3,"state":"ready","coldMillis":9223372036854775807}`},
		{"incarnation out of range", `{"service":"s","failureDomain":"a-1","addr":"127.0.0.1:1","slots":3,"state":"ready","incarnation":18446744073709551615}`},
		{"unknown state", `{"service":"s","failureDomain":"zz","addr":"127.0.0.1:1","slots":3,"state":"odd"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeTarget(t, okResponse)
			w := clusterOf(t, s)
			w.setRoutes(func(r *model.Route) { r.Affinity = true })
			w.c = w.c.Apply(2, []model.Object{{Kind: model.ObjectTarget, Name: "odd", Owner: "o", Spec: []byte(tt.spec)}}, nil)
			p := newProxy(w)
			for i := range 40 {
				x := doRequestWith(p, "/once/x", DefaultHeaders.Object, fmt.Sprint(i))
				assert.Equal(t, x.Code, http.StatusOK, x.Body)
			}
			assert.Assert(t, w.c.HasInvalid(model.ObjectTarget))
		})
	}
}

// A load report with numbers that overflow when they are added counts as a long queue.
func TestOddLoadReport(t *testing.T) {
	for _, v := range []string{"9223372036854775807,9223372036854775807,1", "9223372036854775807,1,9223372036854775807"} {
		h := http.Header{}
		h.Set(DefaultHeaders.Load, v)
		l, ok := DefaultHeaders.parseLoad(h)
		assert.Assert(t, ok)
		assert.Assert(t, l.Running+l.Waiting > 0, "%s: %+v", v, l)
	}
}
