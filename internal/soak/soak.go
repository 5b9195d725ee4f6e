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
	// startLimit is how long a deployment may take to serve its first request.
	startTimeout = 30 * time.Second
	// allDown is how long everything is down in the last harm.
	restartAll = time.Second
	// lastWords is how long late work is waited for: the longest deadline and more.
	lateWorkWait = 3 * time.Second
	// leastServed is the part of requests that must be served after the last harm.
	minServedFraction = 0.25
	// addrReuse is how long an address rests before a target of another service has it.
	addrReuseDelay = 2 * time.Second
)

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Length is how long the deployment is harmed.
	Length time.Duration
	// Replicas, Entries, Targets and Callers are the sizes of the deployment.
	Replicas, Entries, Targets, Callers int
	// Rate is the requests a second of all callers together.
	Rate float64
	// Program is the path of eelplat.
	Program string
	// Dir gets the logs and data of the processes.
	Dir string
}

func (o *Options) check() error {
	const op = "soak.Run"
	switch {
	case o.Replicas < 3 || o.Replicas > 11:
		return errs.Newf(op, KindOptions, "%d replicas are not 3 to 11", o.Replicas)
	case o.Entries < 2 || o.Entries > 200:
		return errs.Newf(op, KindOptions, "%d entries are not 2 to 200", o.Entries)
	case o.Targets < 4 || o.Targets > 200:
		return errs.Newf(op, KindOptions, "%d targets are not 4 to 200", o.Targets)
	case o.Callers < 1 || o.Callers > 200 || o.Rate <= 0:
		return errs.Newf(op, KindOptions, "%d callers with %.1f requests a second are not 1 to 200 with more than 0", o.Callers, o.Rate)
	}
	return nil
}

// Report is what a run found.
type Report struct {
	Seed     uint64
	Faults   int64
	Requests int
	// Served, Refused and Failed count how requests ended for their callers.
	Served, Refused, Failed int
	// Checks are how often each promise was checked.
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
	// rush says that callers send several times as often.
	burst atomic.Bool
}

// firstOctet and octets are the loopback networks that runs use.
const (
	firstNetworkByte = 20
	networkCount     = 200
)

// chance returns numbers for one purpose; each has its own, so that one that
// draws more changes nothing for the others.
func (s *soak) newRand(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(s.o.Seed, purpose)) }

// Run runs one deployment and harms it.
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

// takeNetwork takes a loopback network that no other run uses, until the guard is closed.
func (s *soak) acquireNetwork() (io.Closer, error) {
	first := rand.IntN(networkCount)
	for i := range networkCount {
		s.networkByte = firstNetworkByte + (first+i)%networkCount
		if l, err := net.Listen("tcp", hostPort(s.ip(0, 1), internalPort)); err == nil {
			return l, nil
		}
	}
	return nil, errs.Newf("soak.Run", KindStart, "%d runs use all loopback networks", networkCount)
}

// delayOf returns how long what one host sends to another is on its way.
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

// begins starts everything and waits until the first request is served.
func (s *soak) startAll(ctx context.Context) error {
	for i := range s.o.Replicas {
		m, err := s.addVM("state", replicaSubnet, i)
		if err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
		s.replicas = append(s.replicas, m)
	}
	for i := range s.o.Entries {
		m, err := s.addVM("entry", entrySubnet, i)
		if err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
		s.entries = append(s.entries, m)
	}
	for _, m := range slices.Concat(s.replicas, s.entries) {
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

// play harms the deployment while it is used, and checks that it recovers.
func (s *soak) runWorkload(ctx context.Context) {
	traffic := group.New(ctx)
	for i := range s.o.Callers {
		traffic.Go(newCaller(s, i).run)
	}
	for _, e := range s.entries {
		traffic.Go(func(ctx context.Context) error { return s.op.probe(ctx, e) })
	}
	traffic.Go(s.op.readLoop)
	orders := group.New(ctx)
	orders.Go(s.op.changeLoop)
	orders.Go(s.op.drainLoop)
	s.injectFaults(ctx)
	_ = orders.Close() // Its members return no errors.
	s.restartAll()
	back := s.mon.now()
	served := s.waitUntilServed(ctx, recoveryTimeout, s.o.Callers+2)
	s.mon.check(Recovers, served, "no request was served within %s after all were back", recoveryTimeout)
	s.verifyDurability(ctx)
	time.Sleep(max(0, back+recoveryTimeout-s.mon.now()))
	allBefore, okBefore := s.mon.counts()
	time.Sleep(lateWorkWait)
	allAfter, okAfter := s.mon.counts()
	_ = traffic.Close() // As above.
	time.Sleep(lateWorkWait)
	all, ok := allAfter-allBefore, okAfter-okBefore
	s.mon.check(Recovers, float64(ok) >= minServedFraction*float64(all), "%d of %d requests were served after the last harm", ok, all)
	s.mon.checkBudget([]model.ServiceID{lookupService, issueService})
	s.mon.checkAllowance()
	s.checkAlive()
}

// allDown kills all processes at once and starts them again.
func (s *soak) restartAll() {
	list := slices.Concat(s.replicas, s.entries)
	for _, m := range list {
		defer s.beginFault(m, "all are killed")()
		m.p.Kill()
	}
	time.Sleep(restartAll)
	for _, m := range list {
		s.restart(m)
	}
}

// readBack checks that what was acknowledged is still there.
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

// end ends all that the run started.
func (s *soak) cleanup() {
	for _, m := range slices.Concat(s.replicas, s.entries) {
		m.p.Kill()
	}
	for _, x := range s.targets {
		x.crash()
	}
	if err := s.net.Close(); err != nil {
		level.Warn(s.l).Log("msg", "relay not closed", "err", err)
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

// String sums a report up in one line.
func (r *Report) String() string {
	n := 0
	for _, k := range r.Checks {
		n += k
	}
	return fmt.Sprintf("seed %d: %d harms, %d requests, %d served, %d refusals, %d failed, %d checks, %d broken",
		r.Seed, r.Faults, r.Requests, r.Served, r.Refused, r.Failed, n, len(r.Violations))
}
