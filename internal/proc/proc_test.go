package proc

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

func startShell(t *testing.T, script string) *Process {
	t.Helper()
	p := &Process{Path: "/bin/sh", Args: []string{"-c", script}, Env: []string{"WORD=hello"}, LogFile: filepath.Join(t.TempDir(), "log")}
	assert.NilError(t, p.Start())
	t.Cleanup(p.Kill)
	return p
}

func TestExit(t *testing.T) {
	tests := []struct {
		name, script string
		end          func(*Process) error
		kind         Kind
	}{
		{"by itself", "echo $WORD", func(p *Process) error { return p.Wait(5 * time.Second) }, ""},
		{"by itself with an error", "exit 3", func(p *Process) error { return p.Wait(5 * time.Second) }, KindExit},
		{"after SIGTERM", "trap 'exit 0' TERM; while :; do sleep 0.05; done", func(p *Process) error {
			time.Sleep(200 * time.Millisecond) // until the shell has set its trap
			return p.Stop(5 * time.Second)
		}, ""},
		{"SIGTERM ignored", "trap '' TERM; while :; do sleep 0.05; done", func(p *Process) error {
			time.Sleep(200 * time.Millisecond)
			return p.Stop(300 * time.Millisecond)
		}, KindTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startShell(t, tt.script)
			err := tt.end(p)
			if tt.kind == "" {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errs.Is(err, tt.kind), "%v", err)
			}
			p.Kill()
			assert.Assert(t, !p.Running())
			assert.Assert(t, errs.Is(p.Stop(time.Second), KindNotRunning))
		})
	}
}

func TestLogAndExit(t *testing.T) {
	p := startShell(t, "echo $WORD; exec sleep 60")
	assert.NilError(t, p.Freeze())
	assert.Assert(t, p.Frozen() && !p.Exited())
	assert.NilError(t, p.Thaw())
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		b, err := os.ReadFile(p.LogFile)
		assert.NilError(t, err)
		if string(b) == "hello\n" {
			break
		}
		assert.Assert(t, time.Now().Before(end), "log is %q", b)
	}
	p.Kill()
	assert.Assert(t, !p.Running() && !p.Exited())
}
