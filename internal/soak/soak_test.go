package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/platform"
	"gotest.tools/v3/assert"
)

// seeds are run by CI. A seed that ever failed is kept here with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "never failed"},
	{2, "never failed"},
	{3416, "a replica that was told to stop 34 ms after its start ended by the signal"},
}

// TestSoak makes a short run with the real program for each seed.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "eelplat")
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/eelplat").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, tt := range seeds {
		t.Run(fmt.Sprintf("seed=%d", tt.seed), func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), Options{
				Seed: tt.seed, Length: 14 * time.Second, Replicas: 3, Entries: 4, Targets: 8, Callers: 8, Rate: 60,
				Program: bin, Dir: t.TempDir(),
			})
			assert.NilError(t, err)
			t.Log(r)
			for _, v := range r.Violations {
				t.Errorf("%s (%s)", v, tt.cause)
			}
			assert.Assert(t, r.Served > 0 && r.Checks[AtMostOnce] > 0 && r.Checks[Intact] > 0 && r.Checks[FreshRead] > 0, "too little was checked: %v", r.Checks)
		})
	}
}

func TestOptions(t *testing.T) {
	good := Options{Replicas: 3, Entries: 6, Targets: 12, Callers: 24, Rate: 100}
	tests := []struct {
		name   string
		change func(*Options)
		err    string
	}{
		{"good", func(*Options) {}, ""},
		{"too few replicas", func(o *Options) { o.Replicas = 2 }, "replicas"},
		{"too many entries", func(o *Options) { o.Entries = 300 }, "entries"},
		{"too few targets", func(o *Options) { o.Targets = 1 }, "targets"},
		{"no requests", func(o *Options) { o.Rate = 0 }, "requests a second"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := good
			tt.change(&o)
			err := o.check()
			if tt.err == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.err)
		})
	}
}

// A target that doubles its responses still names its limit in them: else entries take the limit for taken back, while the
// check goes on counting by it (seed 42119).
func TestRawResponseHeaders(t *testing.T) {
	h := http.Header{}
	(&limiter{perSecond: 1.5, toldAt: map[string]time.Duration{}}).announce(h, "e", time.Second, time.Second)
	var b bytes.Buffer
	writeRawResponse(&b, h, "id-1", "body", 4)
	r, err := http.ReadResponse(bufio.NewReader(&b), nil)
	assert.NilError(t, err)
	defer r.Body.Close()
	assert.Equal(t, r.Header.Get(platform.Headers.Limit), "1.5")
	assert.Equal(t, r.Header.Get(platform.Headers.RequestID), "id-1")
}
