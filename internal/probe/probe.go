// Package probe detects that the peer of a call is unreachable although the connection
// stays open, as behind a network partition that drops packets.
//
// # Usage
//
//	a, err := probe.Do(ctx, probe.Options{Interval: d, Probe: probe}, call)
//	if errors.Is(err, probe.ErrUnresponsive) { ... }
//
// A call that is merely slow continues: it is aborted only if the peer does not answer a
// probe either.
package probe

import (
	"context"
	"errors"
	"time"
)

// ErrUnresponsive means that the peer answered neither the call nor a probe.
var ErrUnresponsive = errors.New("other side is silent")

// Options are the settings of a call with probes.
type Options struct {
	// Interval is the time from the start of a call, or from the end of a probe, to the next
	// probe.
	Interval time.Duration
	// Probe checks whether the peer responds; its context ends after ProbeTimeout.
	Probe        func(context.Context) error
	ProbeTimeout time.Duration
}

type result[T any] struct {
	value T
	err   error
}

// Do makes a call, and aborts it with ErrUnresponsive if a probe fails before it returns.
func Do[T any](ctx context.Context, o Options, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan result[T], 1)
	go func() {
		v, err := call(ctx)
		done <- result[T]{v, err}
	}()
	t := time.NewTimer(o.Interval)
	defer t.Stop()
	for {
		var probeResult chan error
		select {
		case r := <-done:
			return r.value, r.err
		case <-t.C:
			probeResult = o.startProbe(ctx)
		}
		select {
		case r := <-done:
			return r.value, r.err
		case err := <-probeResult:
			if err != nil && ctx.Err() == nil {
				var none T
				return none, ErrUnresponsive
			}
		}
		t.Reset(o.Interval)
	}
}

// startProbe starts a probe of the peer, and returns a channel that receives its result.
func (o Options) startProbe(ctx context.Context) chan error {
	c := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, o.ProbeTimeout)
		defer cancel()
		c <- o.Probe(ctx)
	}()
	return c
}
