package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// A process is told to reload and to stop while it starts. It starts, reloads and stops in order, in
// place of ending by the signal.
func TestSignalsDuringStart(t *testing.T) {
	sig := receiveSignals()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, syscall.Kill(os.Getpid(), s))
	}
	for end := time.Now().Add(5 * time.Second); len(sig.stop)+len(sig.reload) < 2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the signals did not arrive")
	}
	path := filepath.Join(t.TempDir(), "settings")
	text := (&platform.Settings{
		Name: "state1", IP: "127.0.0.1", Domain: "a-1", DomainRegions: map[model.FailureDomainID]model.RegionID{"a-1": "a"},
		Internal: "127.0.0.1:7720", Seeds: []string{"127.0.0.1:7720"}, Control: "127.0.0.1:8161", DataDir: "/nowhere", Heartbeat: time.Second,
	}).Format()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := platform.Load(path)
	assert.NilError(t, err)
	d, err := newDaemon(options{Settings: path}, s, log.NewNopLogger(), sig)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- d.wait(nil, func(*platform.Settings) {}) }()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the stop signal was lost")
	}
}
