package opctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassroad/eelgrassroad/internal/setup"
)

const entryLog = `{"id":"e1","level":"info","msg":"lease changed","ts":"2026-12-04T10:00:01.5Z","held":false}
{"id":"e1","level":"info","msg":"lease changed","ts":"2026-12-04T09:59:01.5Z","held":true}
not a JSON log line
{"id":"e1","level":"info","msg":"sent again","request":"r1","target":"t1","outcome":"refused","ts":"2026-12-04T10:00:02.1Z"}
{"id":"e1","level":"info","msg":"answered","request":"r2","target":"t1","outcome":"refused","status":503,"ts":"2026-12-04T10:00:02.2Z"}
{"id":"e1","level":"info","msg":"answered","request":"r1","target":"t2","outcome":"refused","status":503,"ts":"2026-12-04T10:00:02.3Z"}
{"id":"e1","level":"info","msg":"answered","request":"r3","target":"t1","outcome":"answered","status":200,"ts":"2026-12-04T10:00:02.4Z"}
`

const replicaLog = `{"id":"s1","level":"info","msg":"target fell silent","target":"t3","ts":"2026-12-04T10:00:00Z"}
`

func TestWhy(t *testing.T) {
	dir := t.TempDir()
	entry, replica := filepath.Join(dir, "e1.log"), filepath.Join(dir, "s1.log")
	assert.NilError(t, os.WriteFile(entry, []byte(entryLog), 0o600))
	assert.NilError(t, os.WriteFile(replica, []byte(replicaLog), 0o600))
	tests := []struct {
		name string
		args []string
		code int
		want []string
		not  []string
	}{
		{
			"refused request", []string{"why", "r1", entry, replica}, setup.ExitOK,
			[]string{"sent again", "status=503", "target fell silent", "held=false", "target t1: refused  1", "1 lines could not be read"},
			[]string{"held=true", "request=r2", "request=r3"},
		},
		{"JSON output", []string{"-o", "json", "why", "r1", entry}, setup.ExitOK, []string{`"skipped": 1`, `"target t1: refused": 1`}, nil},
		{"unknown request", []string{"why", "r9", entry}, setup.ExitUsage, []string{`no line of the 1 files names request "r9"`}, nil},
		{"missing file", []string{"why", "r1", filepath.Join(dir, "none")}, setup.ExitUsage, []string{"no such file"}, nil},
		{"no files", []string{"why", "r1"}, setup.ExitUsage, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, Run(tt.args, strings.NewReader(""), &out, &out), tt.code, out.String())
			for _, w := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), w), "no %q in:\n%s", w, out.String())
			}
			for _, w := range tt.not {
				assert.Assert(t, !strings.Contains(out.String(), w), "%q in:\n%s", w, out.String())
			}
		})
	}
}
