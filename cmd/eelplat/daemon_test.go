package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

const testSettings = `node_name=core-a-1
ip=127.0.0.1
zone=a-1
region=a
zones.a-1=a
listen_addrs.control=127.0.0.1:8161
internal_ports=7720
seed_nodes=127.0.0.1:8161
data_dir=/nowhere
heartbeat=1s
`

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
	assert.NilError(t, os.WriteFile(path, []byte(testSettings), 0o600))
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
