// Package probe notices that the other side of a call is gone although the
// connection stays open, as behind a silent network partition.
//
// # Usage
//
//	a, err := probe.Do(ctx, probe.Options{After: d, Probe: probe}, call)
//	if errors.Is(err, probe.ErrSilent) { ... }
//
// A call that is merely slow goes on: it is given up only when the other side
// does not answer a probe either.
package probe

import (
	"context"
	"errors"
	"time"
)

// ErrUnresponsive says that the other side answered neither the call nor a probe.
var ErrUnresponsive = errors.New("other side is silent")

// Options are the settings of a watched call.
type Options struct {
	// Interval is how long a call goes on before the other side is probed, and
	// then how long lies between two probes.
	Interval time.Duration
	// Probe asks for a sign of life; its context ends after ProbeTimeout.
	Probe        func(context.Context) error
	ProbeTimeout time.Duration
}

type result[T any] struct {
	value T
	err   error
}

// Do makes a call, and gives it up with ErrSilent when a probe fails before it returns.
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
		var probed chan error
		select {
		case r := <-done:
			return r.value, r.err
		case <-t.C:
			probed = o.start(ctx)
		}
		select {
		case r := <-done:
			return r.value, r.err
		case err := <-probed:
			if err != nil && ctx.Err() == nil {
				var none T
				return none, ErrUnresponsive
			}
		}
		t.Reset(o.Interval)
	}
}

// start probes the other side, and returns where the result will be.
func (o Options) start(ctx context.Context) chan error {
	c := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, o.ProbeTimeout)
		defer cancel()
		c <- o.Probe(ctx)
	}()
	return c
}
