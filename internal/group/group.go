// Package group runs goroutines that stop together.
//
// # Usage
//
//	g := group.New(ctx)
//	g.Go(func(ctx context.Context) error { return serve(ctx) })
//	defer g.Close()
//
// The first goroutine that returns an error stops the others. Close stops
// all of them and waits.
package group

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines that run and stop together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	g      *errgroup.Group
}

// New returns an empty group that stops when the context ends.
func New(ctx context.Context) *Group {
	c, cancel := context.WithCancel(ctx)
	g, c := errgroup.WithContext(c)
	return &Group{ctx: c, cancel: cancel, g: g}
}

// Go runs the function in a goroutine of the group.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.g.Go(func() error { return f(g.ctx) })
}

// Every calls the function at each interval until the group stops.
func (g *Group) Every(d time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) error {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				f(ctx)
			}
		}
	})
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Wait waits for all goroutines and returns the first error; a cancelled context is none.
func (g *Group) Wait() error {
	err := g.g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Close stops all goroutines and waits for them.
func (g *Group) Close() error {
	g.cancel()
	return g.Wait()
}
