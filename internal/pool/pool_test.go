package pool

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"gotest.tools/v3/assert"
)

// clock is set by the test.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

// one returns a pool with one owned target that was heard just now.
func one(slots int) (*Pool, *clock, Target) {
	c := &clock{now: time.Hour}
	p := New(Options{Service: "registry", Clock: c.read})
	t := Target{ID: "t1", Domain: "attiki-a", Slots: slots, Incarnation: 1, Ready: true, AnnouncedAt: c.now}
	p.SetOwned([]Target{t})
	p.Update(t)
	c.now += takeOverRamp
	t.AnnouncedAt = c.now
	p.Update(t)
	return p, c, t
}

func ask(c *clock, d time.Duration) Request {
	return Request{Deadline: c.now + d, MaxQueued: 2}
}

func TestEnter(t *testing.T) {
	tests := []struct {
		name string
		edit func(p *Pool, c *clock, x Target, a *Request)
		kind Kind
	}{
		{"free", func(*Pool, *clock, Target, *Request) {}, ""},
		{"announcement too old", func(_ *Pool, c *clock, _ Target, a *Request) {
			c.now += announcementLife
			a.Deadline = c.now + time.Second
		}, KindNoTarget},
		{"draining", func(p *Pool, _ *clock, x Target, _ *Request) {
			x.Ready, x.Draining = false, true
			p.Update(x)
		}, KindNoTarget},
		{"not owned", func(p *Pool, _ *clock, _ Target, _ *Request) { p.SetOwned(nil) }, KindNoTarget},
		{"another failure domain", func(_ *Pool, _ *clock, _ Target, a *Request) { a.Domain = "kriti-a" }, KindNoTarget},
		{"no place in the queue", func(p *Pool, c *clock, _ Target, a *Request) {
			take(p, c, 2)
			a.MaxQueued = 0
		}, KindQueueFull},
		{"deadline too near", func(p *Pool, c *clock, _ Target, a *Request) {
			take(p, c, 2)
			a.Deadline = c.now + time.Millisecond
		}, KindTooLate},
		{"wait too long to be admitted", func(p *Pool, c *clock, _ Target, a *Request) {
			take(p, c, 2)
			a.AdmitWait = time.Millisecond
		}, KindTooLate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c, x := one(2)
			a := ask(c, time.Second)
			tt.edit(p, c, x, &a)
			_, err := p.Admit(a)
			if tt.kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errs.Is(err, tt.kind), "%v", err)
		})
	}
}

// take takes n slots.
func take(p *Pool, c *clock, n int) []*Slot {
	var out []*Slot
	for range n {
		s, err := p.Acquire(context.Background(), ask(c, time.Second))
		if err == nil {
			out = append(out, s)
		}
	}
	return out
}

func TestPromptGoesFirst(t *testing.T) {
	p, c, _ := one(1)
	s := take(p, c, 1)[0]
	deferred := ask(c, time.Minute)
	deferred.Priority = Deferred
	second, err := p.Admit(deferred)
	assert.NilError(t, err)
	first, err := p.Admit(ask(c, time.Minute))
	assert.NilError(t, err)
	s.Done(Succeeded, time.Millisecond)
	got, err := first.Wait(context.Background())
	assert.NilError(t, err)
	got.Done(Succeeded, time.Millisecond)
	_, err = second.Wait(context.Background())
	assert.NilError(t, err)
}

func TestSlotIsNotUsableOnceItsTargetLeaves(t *testing.T) {
	tests := []struct {
		name string
		edit func(p *Pool, c *clock, x Target)
	}{
		{"draining", func(p *Pool, _ *clock, x Target) {
			x.Ready, x.Draining = false, true
			p.Update(x)
		}},
		{"silent", func(_ *Pool, c *clock, _ Target) { c.now += announcementLife }},
		{"taken away", func(p *Pool, _ *clock, _ Target) { p.SetOwned(nil) }},
		{"restarted", func(p *Pool, _ *clock, x Target) {
			x.Incarnation++
			p.Update(x)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c, x := one(1)
			s := take(p, c, 1)[0]
			assert.Assert(t, s.Usable())
			tt.edit(p, c, x)
			assert.Assert(t, !s.Usable())
		})
	}
}

func TestRamp(t *testing.T) {
	p, c, x := one(4)
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
	p, c, x := one(2)
	s := take(p, c, 1)[0]
	p.SetOwned(nil)
	assert.Equal(t, len(p.Held()), 1, "a request is in progress")
	s.Done(Succeeded, time.Millisecond)
	p.SetOwned(nil)
	assert.Equal(t, len(p.Held()), 0)
	p.SetOwned([]Target{x})
	assert.Equal(t, p.Loads()[0].Slots, 0, "the grant alone does not make a target ready")
}

func TestDrainTime(t *testing.T) {
	p, c, x := one(2)
	s := take(p, c, 1)[0]
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
