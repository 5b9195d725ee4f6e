package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log/level"
)

// randomTarget returns a random target and its index.
func (s *soak) randomTarget(rnd *rand.Rand) (int, *target) {
	s.targetsMu.Lock()
	defer s.targetsMu.Unlock()
	n := rnd.IntN(len(s.targets))
	return n, s.targets[n]
}

func (s *soak) changeBehavior(_ context.Context, rnd *rand.Rand) {
	_, x := s.randomTarget(rnd)
	m := behavior(1 + rnd.IntN(int(behaviorCount)-1))
	level.Info(s.l).Log("msg", "target turns", "atMillis", s.mon.now().Milliseconds(), "target", x.t.ID, "mood", m)
	x.behavior.Store(int32(m))
	sleepRandom(rnd)
	x.behavior.Store(int32(healthy))
}

// crashTarget crashes a target; a new instance starts at its address, at times for the
// other service.
func (s *soak) crashTarget(_ context.Context, rnd *rand.Rand) {
	s.replaceInstance(rnd, func(x *target) { x.crash() })
}

// replaceTarget drains a target, then starts a new instance at its address.
func (s *soak) replaceTarget(ctx context.Context, rnd *rand.Rand) {
	s.replaceInstance(rnd, func(x *target) { x.leave(ctx) })
}

func (s *soak) replaceInstance(rnd *rand.Rand, end func(*target)) {
	n, x := s.randomTarget(rnd)
	if x.behavior.Load() != int32(healthy) || !x.busy.CompareAndSwap(false, true) {
		return
	}
	level.Info(s.l).Log("msg", "target ends", "atMillis", s.mon.now().Milliseconds(), "target", x.t.ID)
	end(x)
	s.mon.check(TargetDrained, true, "")
	sleepRandom(rnd)
	service := x.t.Service
	if rnd.IntN(4) == 0 && s.countTargets(service) > len(s.targets)/4 {
		time.Sleep(addrReuseDelay)
		service = map[model.ServiceID]model.ServiceID{lookupService: issueService, issueService: lookupService}[service]
	}
	s.targetsMu.Lock()
	defer s.targetsMu.Unlock()
	y, err := s.addTarget(n, service, false)
	if err != nil {
		level.Error(s.l).Log("msg", "target start failed", "err", err)
		return
	}
	s.targets[n] = y
	s.mon.check(SlowStart, true, "")
	level.Info(s.l).Log("msg", "target begins", "atMillis", s.mon.now().Milliseconds(), "target", y.t.ID, "service", service)
}

// countTargets returns the number of targets of a service.
func (s *soak) countTargets(service model.ServiceID) int {
	s.targetsMu.Lock()
	defer s.targetsMu.Unlock()
	n := 0
	for _, x := range s.targets {
		if x.t.Service == service && !x.busy.Load() {
			n++
		}
	}
	return n
}
