package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sharers are VMs that share a limit, in a simulated time.
type sharers struct {
	rnd     *rand.Rand
	domains int
	list    []*Shared
	sends   []time.Duration
}

func newSharers(seed uint64, domains int) *sharers {
	return &sharers{rnd: rand.New(rand.NewPCG(seed, 7)), domains: domains}
}

// join adds a VM.
func (s *sharers) join() {
	x := NewShared()
	x.random = func(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d))) }
	s.list = append(s.list, x)
}

// set sets the limit at all VMs, each in its position.
func (s *sharers) set(perSecond float64, now time.Duration) {
	for i, x := range s.list {
		x.Set(perSecond, Position{Rank: i, VMs: len(s.list), DomainRank: i / s.domains, Domains: min(s.domains, len(s.list))}, now)
	}
}

// run lets VMs try to send in turn, all together perSecond times a second.
func (s *sharers) run(from, to time.Duration, perSecond float64) {
	for now := from; now < to; now += time.Duration(s.rnd.ExpFloat64() / perSecond * float64(time.Second)) {
		x := s.list[s.rnd.IntN(len(s.list))]
		if !x.Reserve(now) {
			continue
		}
		// Some requests are not sent after all.
		sent := s.rnd.IntN(4) > 0
		x.Release(sent, now)
		if sent {
			s.sends = append(s.sends, now)
		}
	}
}

// most returns the highest number of sends in any ruleSpan.
func (s *sharers) most() int {
	most, first := 0, 0
	for i, at := range s.sends {
		for s.sends[first] <= at-ruleSpan {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

const ruleSpan = 4 * time.Second

// allowed is what a target may get in ruleSpan by the platform's rules.
func allowed(perSecond float64) int { return int(1.5*perSecond*ruleSpan.Seconds()) + 5 }

// Load pattern: many times the requests that a target in need accepts. All VMs together must stay
// within the limit, also if there are more VMs than requests, and the target must get a good part of
// what it accepts.
func TestSharedLimit(t *testing.T) {
	for _, vms := range []int{1, 2, 9, 11, 78, 185} {
		for _, rate := range []float64{0.05, 0.4, 1.9, 2.3, 40, 700} {
			t.Run(fmt.Sprintf("%d VMs, %g a second", vms, rate), func(t *testing.T) {
				s := newSharers(uint64(vms), 6)
				for range vms {
					s.join()
				}
				s.set(rate, 0)
				const length = 120 * time.Second
				s.run(0, length, 50+20*rate+2*float64(vms))
				assert.Assert(t, s.most() <= allowed(rate), "%d requests in %s", s.most(), ruleSpan)
				got := float64(len(s.sends)) / length.Seconds()
				assert.Assert(t, got <= rate+1/ruleSpan.Seconds(), "%.2f requests a second", got)
				assert.Assert(t, len(s.sends) > 0 && got >= 0.5*rate-0.25, "only %.2f requests a second", got)
			})
		}
	}
}

// VMs join and leave, and the target names another limit every few seconds, while all VMs press.
func TestSharedLimitUnderChange(t *testing.T) {
	for seed := range uint64(20) {
		s := newSharers(seed, 3)
		for range 9 {
			s.join()
		}
		var highest float64
		rates := []float64{1.9, 2.3, 6, 0.3, 20}
		for now := time.Duration(0); now < 100*time.Second; now += 5 * time.Second {
			rate := rates[s.rnd.IntN(len(rates))]
			highest = max(highest, rate)
			s.set(rate, now)
			s.sends = nil
			s.run(now, now+2*time.Second, 200)
			if s.rnd.IntN(2) == 0 {
				s.join()
			} else if len(s.list) > 2 {
				s.list = s.list[1:]
			}
			s.set(rate, now+2*time.Second)
			s.run(now+2*time.Second, now+5*time.Second, 200)
			assert.Assert(t, s.most() <= allowed(rate), "seed %d at %s: %d requests at a limit of %g", seed, now, s.most(), rate)
		}
	}
}

// A VM without a part says so with a wait, and one with a part waits no longer than its window.
func TestSharedWait(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		at        Position
		taken     int
		min, max  time.Duration
	}{
		{"unused part", 2, Position{Rank: 0, VMs: 1, Domains: 1}, 0, 0, 0},
		{"used part", 2, Position{Rank: 0, VMs: 1, Domains: 1}, 8, 3900 * time.Millisecond, 4200 * time.Millisecond},
		{"no part", 1, Position{Rank: 20, VMs: 100, DomainRank: 3, Domains: 6}, 0, 4 * time.Second, 4200 * time.Millisecond},
		{"a limit of one in ten seconds", 0.1, Position{Rank: 0, VMs: 1, Domains: 1}, 1, 9900 * time.Millisecond, 10500 * time.Millisecond},
		{"a limit of almost nothing", 0.0001, Position{Rank: 0, VMs: 1, Domains: 1}, 1, 59 * time.Second, 63 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewShared()
			s.Set(tt.perSecond, tt.at, 0)
			for range tt.taken {
				assert.Assert(t, s.Reserve(0))
				s.Release(true, 0)
			}
			w := s.Wait(0)
			assert.Assert(t, w >= tt.min && w <= tt.max, "waits %s", w)
		})
	}
}

// A request may wait between its reservation and its send. The reservation counts in every window
// until then, also if the limit changes meanwhile.
func TestSharedReservation(t *testing.T) {
	const now = 10 * time.Second
	alone := Position{VMs: 1, Domains: 1}
	s := NewShared()
	s.Set(0.5, alone, 0)
	for range 2 {
		assert.Assert(t, s.Reserve(0))
	}
	assert.Assert(t, !s.Reserve(now), "a reservation expired")
	s.Set(0.1, alone, now)
	s.Set(0.5, alone, now)
	assert.Assert(t, !s.Reserve(now), "a change of the limit lost a reservation")
	s.Release(false, now)
	s.Release(true, now)
	assert.Assert(t, s.Reserve(now))
	assert.Assert(t, !s.Reserve(now))
	assert.Assert(t, s.Wait(now) > 3*time.Second)
}
