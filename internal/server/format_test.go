package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

// An entry of a build that refuses a catalogue with an object of an unknown kind must not get one: no later change would take
// effect there. A ban is committed once no such entry is left.
func TestBanAwaitsFormerEntries(t *testing.T) {
	relays := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte(`{"code":"invalid_argument","msg":"uri"}`))
	})
	tests := []struct {
		name string
		// handler is that of the other entry, format what it tells.
		handler http.Handler
		format  uint32
		// upgraded is whether it is replaced by the present build.
		upgraded, banned bool
	}{
		{"present build", http.NotFoundHandler(), model.CatalogueFormat, false, true},
		{"build that leaves out unknown kinds", relays, 0, false, true},
		{"build that refuses them", http.NotFoundHandler(), 0, false, false},
		{"build that refuses them, replaced", http.NotFoundHandler(), 0, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			x := httptest.NewServer(tt.handler)
			defer x.Close()
			d := model.RequestDigest{1}
			renewEnd(t, s, 1, "", d)
			other := &eelpb.RenewRequest{Vm: "w", Incarnation: 1, Addr: x.Listener.Addr().String(), FailureDomain: "a-1", Sequence: 1, Sole: true, Format: tt.format}
			_, err := stateService{s}.Renew(context.Background(), other)
			assert.NilError(t, err)
			for i := range 3 {
				renewEnd(t, s, uint64(i+2), fmt.Sprint("t", i), d)
			}
			if tt.upgraded {
				time.Sleep(gatherTime + idleDecideInterval)
				assert.Assert(t, !s.isQuarantined(d))
				other = &eelpb.RenewRequest{Vm: "w", Incarnation: 2, Addr: other.Addr, FailureDomain: "a-1", Sequence: 1, Sole: true, Format: model.CatalogueFormat}
				_, err := stateService{s}.Renew(context.Background(), other)
				assert.NilError(t, err)
			}
			if tt.banned {
				awaitState(t, s, d, model.QuarantineBanned)
				return
			}
			time.Sleep(gatherTime + 2*idleDecideInterval)
			assert.Assert(t, !s.isQuarantined(d), "the ban was committed")
		})
	}
}
