package proc

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

func shell(t *testing.T, script string) *Process {
	t.Helper()
	p := &Process{Path: "/bin/sh", Args: []string{"-c", script}, Env: []string{"WORD=hello"}, LogFile: filepath.Join(t.TempDir(), "log")}
	assert.NilError(t, p.Start())
	t.Cleanup(p.Kill)
	return p
}

func TestEnds(t *testing.T) {
	tests := []struct {
		name, script string
		end          func(*Process) error
		kind         Kind
	}{
		{"by itself", "echo $WORD", func(p *Process) error { return p.Wait(5 * time.Second) }, ""},
		{"by itself, badly", "exit 3", func(p *Process) error { return p.Wait(5 * time.Second) }, KindExit},
		{"as asked", "trap 'exit 0' TERM; while :; do sleep 0.05; done", func(p *Process) error {
			time.Sleep(200 * time.Millisecond) // until the shell has set its trap
			return p.Stop(5 * time.Second)
		}, ""},
		{"not as asked", "trap '' TERM; while :; do sleep 0.05; done", func(p *Process) error {
			time.Sleep(200 * time.Millisecond)
			return p.Stop(300 * time.Millisecond)
		}, KindSlow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := shell(t, tt.script)
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

func TestLogAndEnd(t *testing.T) {
	p := shell(t, "echo $WORD; exec sleep 60")
	assert.NilError(t, p.Freeze())
	assert.Assert(t, p.Frozen() && !p.Ended())
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
	assert.Assert(t, !p.Running() && !p.Ended())
}
