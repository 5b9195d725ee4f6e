package probe

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const step = 20 * time.Millisecond

func TestDo(t *testing.T) {
	bad := errors.New("refused")
	tests := []struct {
		name     string
		duration time.Duration
		callErr  error
		probe    error
		want     error
	}{
		{"quick", 0, nil, bad, nil},
		{"quick failure", 0, bad, nil, bad},
		{"slow with responsive peer", 10 * step, nil, nil, nil},
		{"slow failure", 10 * step, bad, nil, bad},
		{"unresponsive", time.Hour, nil, bad, ErrUnresponsive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			returned := make(chan struct{})
			call := func(ctx context.Context) (int, error) {
				defer close(returned)
				select {
				case <-ctx.Done():
					return 0, ctx.Err()
				case <-time.After(tt.duration):
					return 7, tt.callErr
				}
			}
			o := Options{Interval: step, ProbeTimeout: step, Probe: func(context.Context) error { return tt.probe }}
			n, err := Do(t.Context(), o, call)
			<-returned
			assert.Equal(t, err, tt.want)
			if err == nil {
				assert.Equal(t, n, 7)
			}
		})
	}
}

// A probe that hangs is aborted after ProbeTimeout.
func TestProbeTimeout(t *testing.T) {
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	o := Options{Interval: step, ProbeTimeout: step, Probe: hang}
	_, err := Do(t.Context(), o, func(ctx context.Context) (int, error) { return 0, hang(ctx) })
	assert.Equal(t, err, ErrUnresponsive)
	ctx, cancel := context.WithTimeout(t.Context(), step/2)
	defer cancel()
	_, err = Do(ctx, o, func(ctx context.Context) (int, error) { return 0, hang(ctx) })
	assert.Equal(t, err, context.DeadlineExceeded)
}
