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
	startLimit = 30 * time.Second
	// allDown is how long everything is down in the last harm.
	allDown = time.Second
	// lastWords is how long late work is waited for: the longest deadline and more.
	lastWords = 3 * time.Second
	// leastServed is the part of requests that must be served after the last harm.
	leastServed = 0.25
	// addrReuse is how long an address rests before a target of another service has it.
	addrReuse = 2 * time.Second
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
	Harms    int64
	Requests int
	// Served, Refused and Failed count how requests ended for their callers.
	Served, Refused, Failed int
	// Checks are how often each promise was checked.
	Checks map[Promise]int
	Broken []Violation
}

// soak is one run.
type soak struct {
	o     Options
	l     log.Logger
	w     *watch
	net   *relay.Network
	octet int
	op    *operator

	replicas, entries []*machine
	targetsMu         sync.Mutex
	targets           []*target
	fronted           map[int]bool
	lives             int
	delays            sync.Map
	harmed            atomic.Int64
	// rush says that callers send several times as often.
	rush atomic.Bool
}

// firstOctet and octets are the loopback networks that runs use.
const (
	firstOctet = 20
	octets     = 200
)

// chance returns numbers for one purpose; each has its own, so that one that
// draws more changes nothing for the others.
func (s *soak) chance(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(s.o.Seed, purpose)) }

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
	s := &soak{o: o, l: log.NewSyncLogger(log.NewJSONLogger(f)), net: relay.New(), fronted: map[int]bool{}}
	s.w = newWatch(s.l)
	guard, err := s.takeNetwork()
	if err != nil {
		return nil, err
	}
	defer guard.Close()
	s.op = &operator{s: s, client: platform.Client{HTTP: clientFrom(s.ip(callerHosts, 251))}}
	s.net.SetDelay(s.delayOf)
	defer s.end()
	if err := s.begins(ctx); err != nil {
		return nil, err
	}
	s.play(ctx)
	return s.report(), nil
}

// takeNetwork takes a loopback network that no other run uses, until the guard is closed.
func (s *soak) takeNetwork() (io.Closer, error) {
	first := rand.IntN(octets)
	for i := range octets {
		s.octet = firstOctet + (first+i)%octets
		if l, err := net.Listen("tcp", at(s.ip(0, 1), internalPort)); err == nil {
			return l, nil
		}
	}
	return nil, errs.Newf("soak.Run", KindStart, "%d runs use all loopback networks", octets)
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
func (s *soak) begins(ctx context.Context) error {
	for i := range s.o.Replicas {
		m, err := s.addMachine("state", replicaHosts, i)
		if err != nil {
			return errs.New("soak.Run", KindStart, err)
		}
		s.replicas = append(s.replicas, m)
	}
	for i := range s.o.Entries {
		m, err := s.addMachine("entry", entryHosts, i)
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
	s.op.change(ctx, s.chance(0))
	if !s.awaitServed(ctx, startLimit, s.o.Callers+1) {
		return errs.Newf("soak.Run", KindStart, "no request was served in %s", startLimit)
	}
	return nil
}

// play harms the deployment while it is used, and checks that it recovers.
func (s *soak) play(ctx context.Context) {
	traffic := group.New(ctx)
	for i := range s.o.Callers {
		traffic.Go(newCaller(s, i).run)
	}
	for _, e := range s.entries {
		traffic.Go(func(ctx context.Context) error { return s.op.probe(ctx, e) })
	}
	traffic.Go(s.op.reads)
	orders := group.New(ctx)
	orders.Go(s.op.changes)
	orders.Go(s.op.drains)
	s.harmAll(ctx)
	_ = orders.Close() // Its members return no errors.
	s.allDown()
	back := s.w.now()
	served := s.awaitServed(ctx, recovery, s.o.Callers+2)
	s.w.check(Recovers, served, "no request was served within %s after all were back", recovery)
	s.readBack(ctx)
	time.Sleep(max(0, back+recovery-s.w.now()))
	allBefore, okBefore := s.w.counts()
	time.Sleep(lastWords)
	allAfter, okAfter := s.w.counts()
	_ = traffic.Close() // As above.
	time.Sleep(lastWords)
	all, ok := allAfter-allBefore, okAfter-okBefore
	s.w.check(Recovers, float64(ok) >= leastServed*float64(all), "%d of %d requests were served after the last harm", ok, all)
	s.w.checkBudget([]model.ServiceID{lookupService, issueService})
	s.w.checkAllowance()
	s.checkAlive()
}

// allDown kills all processes at once and starts them again.
func (s *soak) allDown() {
	list := slices.Concat(s.replicas, s.entries)
	for _, m := range list {
		defer s.harming(m, "all are killed")()
		m.p.Kill()
	}
	time.Sleep(allDown)
	for _, m := range list {
		s.begin(m)
	}
}

// readBack checks that what was acknowledged is still there.
func (s *soak) readBack(ctx context.Context) {
	rnd := s.chance(6)
	for end := s.w.now() + recovery; s.w.now() < end; time.Sleep(heartbeat / 4) {
		if s.op.read(ctx, rnd, 0) {
			s.w.check(Kept, true, "")
			return
		}
	}
	s.w.check(Kept, false, "the configuration was not read within %s after all were back", recovery)
}

// end ends all that the run started.
func (s *soak) end() {
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
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	return &Report{
		Seed: s.o.Seed, Harms: s.harmed.Load(), Requests: len(s.w.attempts), Served: s.w.served,
		Refused: s.w.refused, Failed: s.w.failed, Checks: s.w.checks, Broken: s.w.broken,
	}
}

// String sums a report up in one line.
func (r *Report) String() string {
	n := 0
	for _, k := range r.Checks {
		n += k
	}
	return fmt.Sprintf("seed %d: %d harms, %d requests, %d served, %d refusals, %d failed, %d checks, %d broken",
		r.Seed, r.Harms, r.Requests, r.Served, r.Refused, r.Failed, n, len(r.Broken))
}
