package opctl

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"gotest.tools/v3/assert"
)

func TestHeld(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"eelplat":{"front":{"held":[{"id":"i-1","why":"leaves","sinceMillis":1500},{"id":"i-2","why":"pauses","sinceMillis":200,"forMillis":1800},{"id":"i-3","why":"limits","sinceMillis":700,"limitPerSecond":2.3}]}}}`)
	}))
	defer s.Close()
	up, down := strings.TrimPrefix(s.URL, "http://"), "127.0.0.1:1"
	tests := []struct {
		name string
		args []string
		exit int
		want []string
	}{
		{"text", []string{"held", up}, setup.ExitOK, []string{"i-1", "leaves", "1.5s", "i-2", "pauses", "1.8s", "i-3", "limits", "2.3"}},
		{"json", []string{"-o", "json", "held", up}, setup.ExitOK, []string{`"why": "leaves"`, `"forMillis": 1800`}},
		{"one entry unreachable", []string{"held", up, down}, setup.ExitOK, []string{"i-1", "refused"}},
		{"no address", []string{"held"}, setup.ExitUsage, nil},
		{"invalid address", []string{"held", "nowhere"}, setup.ExitUsage, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			assert.Equal(t, Run(tt.args, strings.NewReader(""), &out, &errOut), tt.exit, errOut.String())
			for _, w := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), w), "%q is not in %q", w, out.String())
			}
		})
	}
}
