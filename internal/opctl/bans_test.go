package opctl

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"gotest.tools/v3/assert"
)

// An operator sees which requests are banned, for which ends of which targets, and lifts a ban by its
// digest. Other changes that are committed at the same time do not get in the way.
func TestBans(t *testing.T) {
	const digest = "000102030405060708090a0b0c0d0e0f"
	conflicts, removed := 2, ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.PathCatalogue {
			fmt.Fprintf(w, `{"version": 9, "objects": [{"kind": "region", "name": "a", "owner": "o", "spec": {}},
				{"kind": "quarantine", "name": %q, "owner": "system", "spec": {"state": "banned", "route": "r-1", "service": "s", "sinceMillis": 1000,
				"ends": [{"target": "t-1", "incarnation": 5, "vms": ["v-1", "v-2"]}, {"target": "t-2", "incarnation": 6, "vms": ["v-2"]}]}}]}`, digest)
			return
		}
		b, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil)
		if conflicts--; conflicts >= 0 {
			w.WriteHeader(http.StatusConflict)
			fmt.Fprint(w, `{"changeId": "c", "version": 10, "winnerChangeId": "d"}`)
			return
		}
		removed = string(b)
		fmt.Fprint(w, `{"changeId": "c", "accepted": true, "version": 11}`)
	}))
	defer s.Close()
	addr := []string{"--addr", strings.TrimPrefix(s.URL, "http://"), "--token", "k"}
	tests := []struct {
		name string
		args []string
		exit int
		want []string
	}{
		{"list", []string{"bans"}, setup.ExitOK, []string{digest, "banned", "r-1", "1970-01-01T00:00:01Z", "t-1,t-2", "v-1,v-2"}},
		{"list in JSON", []string{"-o", "json", "bans"}, setup.ExitOK, []string{`"digest": "` + digest, `"incarnation": 6`}},
		{"lift", []string{"lift", digest}, setup.ExitOK, []string{"version 11"}},
		{"lift one that is not banned", []string{"lift", strings.Repeat("f", 32)}, setup.ExitUsage, nil},
		{"lift what is no digest", []string{"lift", "abc"}, setup.ExitUsage, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			assert.Equal(t, Run(append(addr, tt.args...), strings.NewReader(""), &out, &errOut), tt.exit, errOut.String())
			for _, w := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), w), "%q is not in %q", w, out.String())
			}
		})
	}
	assert.Assert(t, strings.Contains(removed, `"remove":["quarantine/`+digest), removed)
}
