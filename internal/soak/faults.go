package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/relay"
	"github.com/go-kit/log/level"
)

const (
	// faultPhase and recoveryPeriod alternate: time limits apply after settleTime of a
	// recovery period. Then a target leaves as planned, which takes the rest of the period.
	faultPhase     = 6 * time.Second
	recoveryPeriod = settleTime + maxDrainDelay + postDrainServeTime + time.Second
	// meanFaultInterval is the mean time between two faults; faults overlap.
	meanFaultInterval = 500 * time.Millisecond
	// maxFaultDuration limits the duration of one fault.
	maxFaultDuration = 4 * time.Second
	// minSettledBeforeWipe is how long all replicas must be without faults before a disk
	// is lost: the group tolerates one lost disk at a time.
	minSettledBeforeWipe = 2 * settleTime
	// baseDelay is the one-way delay between hosts.
	baseDelay = 5 * time.Millisecond
	// spareReplicas is how many replicas may be replaced by empty ones at other addresses.
	spareReplicas = 3
	// successorDelay is the time from the loss of a replica to the start of its successor.
	successorDelay = 100 * time.Millisecond
	// maxTornBytes is the maximum length of a torn write at the end of the log.
	maxTornBytes = 200
)

// fault is one kind of fault; do returns when the fault is over.
type fault struct {
	name   string
	weight int
	do     func(s *soak, ctx context.Context, rnd *rand.Rand)
}

var faults = []fault{
	{"kill entry", 4, entryFault((*soak).kill)},
	{"stop entry", 6, entryFault((*soak).stop)},
	{"freeze entry", 3, entryFault((*soak).freeze)},
	{"cut entry", 3, entryFault((*soak).partition)},
	{"kill replica", 3, replicaFault((*soak).kill)},
	{"stop replica", 3, replicaFault((*soak).stop)},
	{"freeze replica", 2, replicaFault((*soak).freeze)},
	{"cut replica", 2, replicaFault((*soak).partition)},
	{"tear log", 1, replicaFault((*soak).tearLog)},
	{"lose disk", 3, replicaFault((*soak).wipeDisk)},
	{"reload", 2, entryFault((*soak).reload)},
	{"reset connections", 3, connFault((*relay.Network).Reset)},
	{"silence connections", 2, connFault((*relay.Network).Silence)},
	{"delay", 2, (*soak).delayTraffic},
	{"herd", 1, (*soak).killGroup},
	{"rush", 3, (*soak).burstTraffic},
	{"target mood", 6, (*soak).changeBehavior},
	{"target crash", 3, (*soak).crashTarget},
	{"target leaves", 5, (*soak).replaceTarget},
}

func pickFault(rnd *rand.Rand) fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	n := rnd.IntN(sum)
	for _, f := range faults {
		if n < f.weight {
			return f
		}
		n -= f.weight
	}
	return faults[0]
}

// injectFaults injects faults for the length of the run, with recovery periods between.
func (s *soak) injectFaults(ctx context.Context) {
	rnd, replaceRnd := s.newRand(5), s.newRand(7)
	var wg sync.WaitGroup
	end := s.mon.now() + s.o.Length
	for s.mon.now() < end && ctx.Err() == nil {
		wg.Go(func() { s.replaceReplica(replaceRnd) })
		for phase := s.mon.now() + faultPhase; s.mon.now() < phase && ctx.Err() == nil; {
			f, own := pickFault(rnd), rand.New(rand.NewPCG(rnd.Uint64(), 0))
			s.faultCount.Add(1)
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.do(s, ctx, own)
			}()
			time.Sleep(time.Duration(rnd.ExpFloat64() * float64(meanFaultInterval)))
		}
		wg.Wait()
		s.net.HealAll()
		s.checkAlive()
		s.recoverAndReplace(ctx, rnd, min(recoveryPeriod, max(0, end-s.mon.now())))
	}
}

// recoverAndReplace replaces a target once the deployment had no fault for settleTime.
func (s *soak) recoverAndReplace(ctx context.Context, rnd *rand.Rand, length time.Duration) {
	time.Sleep(min(settleTime, length))
	if length < recoveryPeriod {
		return
	}
	own := rand.New(rand.NewPCG(rnd.Uint64(), 0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.replaceTarget(ctx, own)
	}()
	time.Sleep(length - settleTime)
	<-done
}

// checkAlive restarts processes that ended by themselves, which is a violation.
func (s *soak) checkAlive() {
	for _, m := range slices.Concat(inUse(s.replicas), s.entries) {
		if m.p.Exited() {
			s.mon.check(StaysUp, false, "%s ended by itself: %v", m.name, m.p.State())
			s.restart(m)
			continue
		}
		s.mon.check(StaysUp, true, "")
	}
}

func (s *soak) restart(m *vm) {
	if err := m.start(); err != nil {
		s.mon.check(StaysUp, false, "%s does not start: %v", m.name, err)
	}
}

func entryFault(f func(*soak, *vm, *rand.Rand)) func(*soak, context.Context, *rand.Rand) {
	return func(s *soak, _ context.Context, rnd *rand.Rand) {
		s.applyTo(s.entries, rnd, func(m *vm) { f(s, m, rnd) })
	}
}

func replicaFault(f func(*soak, *vm, *rand.Rand)) func(*soak, context.Context, *rand.Rand) {
	return func(s *soak, _ context.Context, rnd *rand.Rand) {
		s.applyTo(s.replicas, rnd, func(m *vm) { f(s, m, rnd) })
	}
}

// applyTo applies a fault to one random VM, unless another fault is active there.
func (s *soak) applyTo(list []*vm, rnd *rand.Rand, f func(*vm)) {
	m := list[rnd.IntN(len(list))]
	if !m.busy.CompareAndSwap(false, true) {
		return
	}
	defer m.busy.Store(false)
	f(m)
}

// beginFault records a fault of a VM, and of the core too where the VM is a replica.
func (s *soak) beginFault(m *vm, what string) func() {
	ends := []func(){s.mon.recordFault(m.ip, m.name+": "+what)}
	if m.settings.Control != "" {
		ends = append(ends, s.mon.recordFault(core, m.name+": "+what))
	}
	return func() {
		for _, f := range ends {
			f()
		}
	}
}

func sleepRandom(rnd *rand.Rand) { time.Sleep(time.Duration(rnd.Int64N(int64(maxFaultDuration)))) }

func (s *soak) kill(m *vm, rnd *rand.Rand) {
	defer s.beginFault(m, "killed")()
	m.p.Kill()
	sleepRandom(rnd)
	s.restart(m)
}

// stop stops a process as planned; no request may fail because of it.
func (s *soak) stop(m *vm, rnd *rand.Rand) {
	host := plannedKey(m.ip)
	if m.settings.Control != "" {
		host = core
	}
	defer s.mon.recordFault(host, m.name+": planned stop")()
	m.stopStartedAt.Store(int64(s.mon.now()))
	err := m.p.Stop(terminationGrace)
	s.mon.check(StopsInTime, err == nil, "%s after a planned stop: %v", m.name, err)
	s.mon.check(GracefulStop, true, "")
	m.p.Kill()
	sleepRandom(rnd)
	s.restart(m)
}

func (s *soak) freeze(m *vm, rnd *rand.Rand) {
	defer s.beginFault(m, "frozen")()
	s.logSignalError(m, m.p.Freeze())
	sleepRandom(rnd)
	s.logSignalError(m, m.p.Thaw())
}

// logSignalError logs that a signal did not reach a process; checkAlive finds one that ended.
func (s *soak) logSignalError(m *vm, err error) {
	if err != nil {
		level.Warn(s.l).Log("msg", "signal not sent", "to", m.name, "err", err)
	}
}

// partition cuts a VM off from some or all replicas, in both directions or one.
func (s *soak) partition(m *vm, rnd *rand.Rand) {
	defer s.beginFault(m, "cut off")()
	direction, all := rnd.IntN(3), rnd.IntN(2) == 0
	for _, r := range s.replicas {
		if r == m || !all && rnd.IntN(2) == 0 {
			continue
		}
		switch direction {
		case 0:
			s.net.Cut(m.ip, r.ip)
		case 1:
			s.net.CutOneWay(m.ip, r.ip)
		case 2:
			s.net.CutOneWay(r.ip, m.ip)
		}
	}
	sleepRandom(rnd)
	for _, r := range s.replicas {
		s.net.Heal(m.ip, r.ip)
	}
}

// tearLog appends a torn write to a killed replica's log.
func (s *soak) tearLog(m *vm, rnd *rand.Rand) {
	defer s.beginFault(m, "killed in a write")()
	m.p.Kill()
	logs, err := filepath.Glob(filepath.Join(m.settings.DataDir, "log-*"))
	if err == nil && len(logs) > 0 {
		slices.Sort(logs)
		err = appendTo(logs[len(logs)-1], 1+rnd.IntN(maxTornBytes), rnd)
	}
	if err != nil {
		level.Warn(s.l).Log("msg", "torn write not appended", "of", m.name, "err", err)
	}
	s.restart(m)
}

func appendTo(name string, n int, rnd *rand.Rand) error {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rnd.Uint32())
	}
	_, err = f.Write(b)
	return err
}

// wipeDisk deletes a replica's data if no replica had a fault for minSettledBeforeWipe;
// otherwise it only kills the replica.
func (s *soak) wipeDisk(m *vm, rnd *rand.Rand) {
	if !s.mon.undisturbed(s.mon.now()-minSettledBeforeWipe+settleTime, core) {
		s.kill(m, rnd)
		return
	}
	defer s.beginFault(m, "disk lost")()
	m.p.Kill()
	if err := os.RemoveAll(m.settings.DataDir); err != nil {
		level.Warn(s.l).Log("msg", "data directory removal failed", "of", m.name, "err", err)
	}
	sleepRandom(rnd)
	s.restart(m)
}

// replaceReplica ends a replica for good and starts an empty one at another address, if no replica had a fault for
// minSettledBeforeWipe and there is a spare one.
func (s *soak) replaceReplica(rnd *rand.Rand) {
	if rnd.IntN(2) == 0 || !s.mon.undisturbed(s.mon.now()-minSettledBeforeWipe+settleTime, core) {
		return
	}
	i := slices.IndexFunc(s.replicas, func(m *vm) bool { return m.unused.Load() && m.starts.Load() == 0 })
	old := inUse(s.replicas)[rnd.IntN(len(inUse(s.replicas)))]
	if i < 0 || !old.busy.CompareAndSwap(false, true) {
		return
	}
	defer s.beginFault(old, "gone for good")()
	old.p.Kill()
	old.unused.Store(true)
	time.Sleep(successorDelay)
	m := s.replicas[i]
	m.settings.Domain, m.settings.FirstStart, m.settings.Seeds = old.settings.Domain, false, nil
	for _, x := range inUse(s.replicas)[:2] {
		m.settings.Seeds = append(m.settings.Seeds, hostPort(x.ip, controlPort))
	}
	s.restart(m)
	m.unused.Store(false)
	m.busy.Store(false)
}

// reload reverses the seeds in a settings file, with or without a signal.
func (s *soak) reload(m *vm, rnd *rand.Rand) {
	defer s.mon.recordFault(plannedKey(m.ip), m.name+": settings changed")()
	slices.Reverse(m.settings.Seeds)
	if err := m.writeSettings(); err != nil {
		level.Warn(s.l).Log("msg", "settings write failed", "of", m.name, "err", err)
	}
	if rnd.IntN(2) == 0 {
		s.logSignalError(m, m.p.Signal(syscall.SIGHUP))
	}
}

func connFault(f func(*relay.Network, string)) func(*soak, context.Context, *rand.Rand) {
	return func(s *soak, _ context.Context, rnd *rand.Rand) {
		list := slices.Concat(s.entries, inUse(s.replicas))
		m := list[rnd.IntN(len(list))]
		defer s.beginFault(m, "connections harmed")()
		f(s.net, m.ip)
	}
}

// delayTraffic delays all that a VM sends.
func (s *soak) delayTraffic(_ context.Context, rnd *rand.Rand) {
	list := slices.Concat(s.entries, inUse(s.replicas))
	m := list[rnd.IntN(len(list))]
	defer s.beginFault(m, "delayed")()
	s.delays.Store(m.ip, time.Duration(rnd.Int64N(int64(maxFaultDuration/8))))
	sleepRandom(rnd)
	s.delays.Delete(m.ip)
}

// burstTraffic multiplies the callers' request rate.
func (s *soak) burstTraffic(_ context.Context, rnd *rand.Rand) {
	if s.burst.CompareAndSwap(false, true) {
		level.Info(s.l).Log("msg", "rush", "atMillis", s.mon.now().Milliseconds())
		sleepRandom(rnd)
		s.burst.Store(false)
	}
}

// killGroup kills all replicas, or all entries, at once.
func (s *soak) killGroup(_ context.Context, rnd *rand.Rand) {
	list := s.replicas
	if rnd.IntN(2) == 0 {
		list = s.entries
	}
	var wg sync.WaitGroup
	for _, m := range list {
		if !m.busy.CompareAndSwap(false, true) {
			continue
		}
		own := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer m.busy.Store(false)
			s.kill(m, own)
		}()
	}
	wg.Wait()
}

// plannedKey is the key under which a host's planned stops and reloads are recorded.
func plannedKey(host string) string { return host + " planned" }
