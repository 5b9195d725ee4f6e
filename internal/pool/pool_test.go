package pool

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"gotest.tools/v3/assert"
)

// clock is a clock that the test sets.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

// newPool returns a pool with one owned target that was announced just now.
func newPool(slots int) (*Pool, *clock, Target) {
	c := &clock{now: time.Hour}
	p := New(Options{Service: "registry", Clock: c.read})
	t := Target{ID: "t1", Domain: "attiki-a", Slots: slots, Incarnation: 1, Ready: true, AnnouncedAt: c.now}
	p.SetOwned([]Target{t})
	p.Update(t)
	c.now += takeoverRamp
	t.AnnouncedAt = c.now
	p.Update(t)
	return p, c, t
}

func newRequest(c *clock, d time.Duration) Request {
	return Request{Deadline: c.now + d, MaxQueued: 2}
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name  string
		setup func(p *Pool, c *clock, x Target, r *Request)
		kind  Kind
	}{
		{"free slot", func(*Pool, *clock, Target, *Request) {}, ""},
		{"announcement too old", func(_ *Pool, c *clock, _ Target, r *Request) {
			c.now += readyTTL
			r.Deadline = c.now + time.Second
		}, KindNoTarget},
		{"draining", func(p *Pool, _ *clock, x Target, _ *Request) {
			x.Ready, x.Draining = false, true
			p.Update(x)
		}, KindNoTarget},
		{"not owned", func(p *Pool, _ *clock, _ Target, _ *Request) { p.SetOwned(nil) }, KindNoTarget},
		{"another failure domain", func(_ *Pool, _ *clock, _ Target, r *Request) { r.Domain = "kriti-a" }, KindNoTarget},
		{"queue full", func(p *Pool, c *clock, _ Target, r *Request) {
			acquire(p, c, 2)
			r.MaxQueued = 0
		}, KindQueueFull},
		{"expected wait exceeds the deadline", func(p *Pool, c *clock, _ Target, r *Request) {
			acquire(p, c, 2)
			r.Deadline = c.now + time.Millisecond
		}, KindTooLate},
		{"expected wait exceeds AdmitWait", func(p *Pool, c *clock, _ Target, r *Request) {
			acquire(p, c, 2)
			r.AdmitWait = time.Millisecond
		}, KindTooLate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c, x := newPool(2)
			r := newRequest(c, time.Second)
			tt.setup(p, c, x, &r)
			_, err := p.Admit(r)
			if tt.kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errs.Is(err, tt.kind), "%v", err)
		})
	}
}

// acquire acquires n slots.
func acquire(p *Pool, c *clock, n int) []*Slot {
	var out []*Slot
	for range n {
		s, err := p.Acquire(context.Background(), newRequest(c, time.Second))
		if err == nil {
			out = append(out, s)
		}
	}
	return out
}

func TestPromptBeforeDeferred(t *testing.T) {
	p, c, _ := newPool(1)
	s := acquire(p, c, 1)[0]
	deferred := newRequest(c, time.Minute)
	deferred.Priority = Deferred
	second, err := p.Admit(deferred)
	assert.NilError(t, err)
	first, err := p.Admit(newRequest(c, time.Minute))
	assert.NilError(t, err)
	s.Done(Succeeded, time.Millisecond)
	got, err := first.Wait(context.Background())
	assert.NilError(t, err)
	got.Done(Succeeded, time.Millisecond)
	_, err = second.Wait(context.Background())
	assert.NilError(t, err)
}

func TestUsable(t *testing.T) {
	tests := []struct {
		name  string
		setup func(p *Pool, c *clock, x Target)
	}{
		{"draining", func(p *Pool, _ *clock, x Target) {
			x.Ready, x.Draining = false, true
			p.Update(x)
		}},
		{"no announcements", func(_ *Pool, c *clock, _ Target) { c.now += readyTTL }},
		{"no longer owned", func(p *Pool, _ *clock, _ Target) { p.SetOwned(nil) }},
		{"restarted", func(p *Pool, _ *clock, x Target) {
			x.Incarnation++
			p.Update(x)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c, x := newPool(1)
			s := acquire(p, c, 1)[0]
			assert.Assert(t, s.Usable())
			tt.setup(p, c, x)
			assert.Assert(t, !s.Usable())
		})
	}
}

func TestWarmUpRamp(t *testing.T) {
	p, c, x := newPool(4)
	p.SetWarmUp(8 * time.Second)
	x.Incarnation++
	p.Update(x)
	for _, tt := range []struct {
		after time.Duration
		slots int
	}{{0, 1}, {2 * time.Second, 2}, {4 * time.Second, 3}, {6 * time.Second, 4}, {9 * time.Second, 4}} {
		c.now = x.AnnouncedAt + tt.after
		y := x
		y.AnnouncedAt = c.now
		p.Update(y)
		assert.Equal(t, p.Loads()[0].Slots, tt.slots, "after %s", tt.after)
	}
}

func TestHeldUntilWorkIsDone(t *testing.T) {
	p, c, x := newPool(2)
	s := acquire(p, c, 1)[0]
	p.SetOwned(nil)
	assert.Equal(t, len(p.Held()), 1, "a target with a request in progress was dropped")
	s.Done(Succeeded, time.Millisecond)
	p.SetOwned(nil)
	assert.Equal(t, len(p.Held()), 0)
	p.SetOwned([]Target{x})
	assert.Equal(t, p.Loads()[0].Slots, 0, "a grant without an announcement made the target ready")
}

func TestDrainTime(t *testing.T) {
	p, c, x := newPool(2)
	s := acquire(p, c, 1)[0]
	x.Ready, x.Draining = false, true
	p.Update(x)
	_, ok := p.DrainTime("t1")
	assert.Assert(t, !ok)
	c.now += 700 * time.Millisecond
	s.Done(Succeeded, time.Millisecond)
	d, ok := p.DrainTime("t1")
	assert.Assert(t, ok)
	assert.Equal(t, d, 700*time.Millisecond)
}
