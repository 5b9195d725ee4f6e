package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/relay"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// startTimeout is the time within which a new deployment must serve its first request.
	startTimeout = 30 * time.Second
	// restartAll is how long all processes are down in the last fault.
	restartAll = time.Second
	// lateWorkWait is how long to wait for late work: longer than the longest deadline.
	lateWorkWait = 3 * time.Second
	// minServedFraction is the minimum fraction of requests served after the last fault.
	minServedFraction = 0.25
	// addrReuseDelay is the delay before a target of another service reuses an address.
	addrReuseDelay = 2 * time.Second
)

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Replicas, Entries, Targets and Callers are the sizes of the deployment.
	Replicas, Entries, Targets, Callers int
	// Rate is the number of requests per second of all callers together.
	Rate float64
	// Program is the path of eelplat.
	Program string
	// Dir is the directory for the logs and data of the processes.
	Dir string
}

func (o *Options) check() error {
	const op = "soak.Run"
	switch {
	case o.Replicas < 3 || o.Replicas > 11:
		return errs.Newf(op, KindOptions, "got %d replicas, want 3 to 11", o.Replicas)
	case o.Entries < 2 || o.Entries > 200:
		return errs.Newf(op, KindOptions, "got %d entries, want 2 to 200", o.Entries)
	case o.Targets < 4 || o.Targets > 200:
		return errs.Newf(op, KindOptions, "got %d targets, want 4 to 200", o.Targets)
	case o.Callers < 1 || o.Callers > 200 || o.Rate <= 0:
		return errs.Newf(op, KindOptions, "got %d callers with %.1f requests a second, want 1 to 200 with more than 0", o.Callers, o.Rate)
	}
	return nil
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Faults   int64
	Requests int
	// Served, Refused and Failed count the requests by their outcome for the callers.
	Served, Refused, Failed int
	// Checks counts the checks of each invariant.
	Checks     map[Invariant]int
	Violations []Violation
}

// soak is one run.
type soak struct {
	o           Options
	l           log.Logger
	mon         *monitor
	net         *relay.Network
	networkByte int
	op          *operator

	replicas, entries []*vm
	targetsMu         sync.Mutex
	targets           []*target
	relayed           map[int]bool
	instances         int
	delays            sync.Map
	faultCount        atomic.Int64
	// burst reports whether a traffic burst is active.
	burst atomic.Bool
}

// firstNetworkByte and networkCount are the range of the second byte of runs' loopback networks.
const (
	firstNetworkByte = 20
	networkCount     = 200
)

// newRand returns a random generator for one purpose. Each purpose has its own, so that
// more draws for one do not change the others.
func (s *soak) newRand(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(s.o.Seed, purpose)) }

// Run runs one deployment and injects faults into it.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return nil, errs.New("soak.Run", KindStart, err)
	}
	defer f.Close()
	s := &soak{o: o, l: log.NewSyncLogger(log.NewJSONLogger(f)), net: relay.New(), relayed: map[int]bool{}}
	s.mon = newMonitor(s.l)
	reservation, err := s.acquireNetwork()
	if err != nil {
		return nil, err
	}
	defer reservation.Close()
	s.op = &operator{s: s, client: platform.Client{HTTP: clientFrom(s.ip(callerSubnet, 251))}}
	s.net.SetDelay(s.delayOf)
	defer s.cleanup()
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	s.runWorkload(ctx)
	return s.report(), nil
}

// acquireNetwork acquires an unused loopback network until the returned closer is closed.
func (s *soak) acquireNetwork() (io.Closer, error) {
	first := rand.IntN(networkCount)
	for i := range networkCount {
		s.networkByte = firstNetworkByte + (first+i)%networkCount
		if l, err := net.Listen("tcp", hostPort(s.ip(0, 1), internalPort)); err == nil {
			return l, nil
		}
	}
	return nil, errs.Newf("soak.Run", KindStart, "all %d loopback networks are in use", networkCount)
}

// delayOf returns the one-way delay from one host to another.
func (s *soak) delayOf(from, to string) time.Duration {
	d := time.Duration(0)
	if from != to {
		d = baseDelay
	}
	if x, ok := s.delays.Load(from); ok {
		d += x.(time.Duration)
	}
	return d
}

// startAll starts the deployment and waits until the first request is served.
func (s *soak) startAll(ctx context.Context) error {
	for i := range s.o.Replicas {
		m, err := s.addVM("state", replicaSubnet, i)
		if err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
		s.replicas = append(s.replicas, m)
	}
	for i := range spareReplicas {
		m, err := s.addVM("state", replicaSubnet, s.o.Replicas+i)
		if err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
		m.busy.Store(true)
		m.unused.Store(true)
		s.replicas = append(s.replicas, m)
	}
	for i := range s.o.Entries {
		m, err := s.addVM("entry", entrySubnet, i)
		if err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
		s.entries = append(s.entries, m)
	}
	for _, m := range slices.Concat(inUse(s.replicas), s.entries) {
		if err := m.start(); err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
	}
	for i := range s.o.Targets {
		x, err := s.addTarget(i, []model.ServiceID{lookupService, issueService}[i%2], true)
		if err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
		s.targets = append(s.targets, x)
	}
	s.op.change(ctx, s.newRand(0))
	if !s.waitUntilServed(ctx, startTimeout, s.o.Callers+1) {
		return errs.Newf("soak.Run", KindStart, "no request was served in %s", startTimeout)
	}
	return nil
}

// runWorkload injects faults under load and checks that the deployment recovers.
func (s *soak) runWorkload(ctx context.Context) {
	traffic := group.New(ctx)
	for i := range s.o.Callers {
		traffic.Go(newCaller(s, i).run)
	}
	for _, e := range s.entries {
		traffic.Go(func(ctx context.Context) error { return s.op.probe(ctx, e) })
	}
	traffic.Go(s.op.readLoop)
	traffic.Go(s.limitLoop)
	orders := group.New(ctx)
	orders.Go(s.op.changeLoop)
	orders.Go(s.op.drainLoop)
	s.injectFaults(ctx)
	_ = orders.Close() // Its members return no errors.
	s.restartAll()
	restartedAt := s.mon.now()
	served := s.waitUntilServed(ctx, recoveryTimeout, s.o.Callers+2)
	s.mon.check(Recovers, served, "no request was served within %s after all were back", recoveryTimeout)
	s.verifyDurability(ctx)
	time.Sleep(max(0, restartedAt+recoveryTimeout-s.mon.now()))
	allBefore, okBefore := s.mon.counts()
	time.Sleep(lateWorkWait)
	allAfter, okAfter := s.mon.counts()
	_ = traffic.Close() // Its members return no errors.
	time.Sleep(lateWorkWait)
	all, ok := allAfter-allBefore, okAfter-okBefore
	s.mon.check(Recovers, float64(ok) >= minServedFraction*float64(all), "%d of %d requests were served after the last harm", ok, all)
	s.mon.checkBudget([]model.ServiceID{lookupService, issueService})
	s.mon.checkAllowance()
	s.checkAlive()
}

// restartAll kills all processes at once and starts them again.
func (s *soak) restartAll() {
	list := slices.Concat(inUse(s.replicas), s.entries)
	for _, m := range list {
		defer s.beginFault(m, "all are killed")()
		m.p.Kill()
	}
	time.Sleep(restartAll)
	for _, m := range list {
		s.restart(m)
	}
}

// verifyDurability checks that acknowledged changes are still there.
func (s *soak) verifyDurability(ctx context.Context) {
	rnd := s.newRand(6)
	for end := s.mon.now() + recoveryTimeout; s.mon.now() < end; time.Sleep(heartbeatInterval / 4) {
		if s.op.read(ctx, rnd, 0) {
			s.mon.check(Durable, true, "")
			return
		}
	}
	s.mon.check(Durable, false, "the configuration was not read within %s after all were back", recoveryTimeout)
}

// cleanup ends everything that the run started.
func (s *soak) cleanup() {
	for _, m := range slices.Concat(inUse(s.replicas), s.entries) {
		m.p.Kill()
	}
	for _, x := range s.targets {
		x.crash()
	}
	if err := s.net.Close(); err != nil {
		level.Warn(s.l).Log("msg", "relay close failed", "err", err)
	}
}

func (s *soak) report() *Report {
	s.mon.mu.Lock()
	defer s.mon.mu.Unlock()
	return &Report{
		Seed: s.o.Seed, Faults: s.faultCount.Load(), Requests: len(s.mon.attempts), Served: s.mon.served,
		Refused: s.mon.refused, Failed: s.mon.failed, Checks: s.mon.checks, Violations: s.mon.violations,
	}
}

// String summarizes the report in one line.
func (r *Report) String() string {
	n := 0
	for _, k := range r.Checks {
		n += k
	}
	return fmt.Sprintf("seed %d: %d harms, %d requests, %d served, %d refusals, %d failed, %d checks, %d broken",
		r.Seed, r.Faults, r.Requests, r.Served, r.Refused, r.Failed, n, len(r.Violations))
}
