package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
)

const (
	// meanChangeInterval is the mean time between two changes of the routing.
	meanChangeInterval = 2 * time.Second
	// retryDelay is the delay before an unacknowledged order is sent again.
	retryDelay   = 300 * time.Millisecond
	orderTimeout = time.Second
	// drainDuration is how long a failure domain stays drained.
	drainDuration = 7 * time.Second
	probeInterval = 400 * time.Millisecond
	readInterval  = 700 * time.Millisecond
)

// operator changes the deployment and reads the changes back.
type operator struct {
	s      *soak
	client platform.Client

	mu sync.Mutex
	// sent and acked are the highest revisions; ackedAt is when acked was acknowledged.
	sent, acked model.Revision
	ackedAt     time.Duration
	// drained is the drained domain; drainedAt is when the drain was acknowledged.
	drained         model.FailureDomainID
	drainedAt       time.Duration
	revisionHistory revisionHistory
}

// routing returns the routing of a revision. One of its routes exists only in this
// revision and so shows which revision an entry uses.
func routing(n model.Revision) *model.Routing {
	route := func(name, prefix string, d model.Delivery, s model.ServiceID) model.Route {
		return model.Route{
			Name: model.RouteID(name), Prefix: prefix, Delivery: d, ObjectiveMillis: 300, TimeoutMillis: 2500, Affinity: true,
			MaxAttempts: 2, Split: []model.SplitPart{{Service: s, Weight: 1}},
		}
	}
	service := func(s model.ServiceID) model.RoutedService {
		return model.RoutedService{Name: s, HealthPath: "/health", MaxConnections: 300, ColdMillis: model.Millis(coldDuration.Milliseconds()), ColdPerSecond: coldPerSecond}
	}
	return &model.Routing{
		Revision: n, Limits: model.RequestLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000},
		Hosts: []model.VirtualHost{{Host: host, Routes: []model.Route{
			route("lookup", lookupPrefix, model.Idempotent, lookupService), route("issue", issuePrefix, model.AtMostOnce, issueService),
			route("revision", fmt.Sprintf("%s%d/", revisionPrefix, n), model.Idempotent, lookupService),
		}}},
		Services: []model.RoutedService{service(lookupService), service(issueService)},
	}
}

// change sends the next revision until it is acknowledged.
func (o *operator) change(ctx context.Context, rnd *rand.Rand) {
	o.mu.Lock()
	o.sent += model.Revision(1 + rnd.IntN(3))
	n := o.sent
	o.mu.Unlock()
	o.revisionHistory.send(n)
	o.retryUntilAcked(ctx, rnd, func(c context.Context, addr string) error { return o.client.Put(c, addr, routing(n), workspaces(n)) })
	if ctx.Err() != nil {
		return
	}
	o.revisionHistory.acknowledge(n, o.s.mon.now())
	o.mu.Lock()
	defer o.mu.Unlock()
	if n > o.acked {
		o.acked, o.ackedAt = n, o.s.mon.now()
	}
}

// retryUntilAcked sends an order to random replicas until one acknowledges it.
func (o *operator) retryUntilAcked(ctx context.Context, rnd *rand.Rand, f func(context.Context, string) error) {
	for ctx.Err() == nil {
		addrs := o.s.controlAddrs()
		c, cancel := context.WithTimeout(ctx, orderTimeout)
		err := f(c, addrs[rnd.IntN(len(addrs))])
		cancel()
		if err == nil {
			return
		}
		o.s.mon.check(Validated, !errs.Is(err, platform.KindRejected), "a valid order was refused: %v", err)
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// changeLoop changes the routing repeatedly, at times twice concurrently or invalidly.
func (o *operator) changeLoop(ctx context.Context) error {
	rnd := o.s.newRand(1)
	for ctx.Err() == nil {
		switch rnd.IntN(5) {
		case 0:
			done := make(chan struct{})
			go func() { o.change(ctx, o.s.newRand(2)); close(done) }()
			o.change(ctx, rnd)
			<-done
		case 1:
			o.sendInvalid(ctx, rnd)
		default:
			o.change(ctx, rnd)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(meanChangeInterval))):
		}
	}
	return nil
}

// sendInvalid sends an invalid routing, which must be rejected.
func (o *operator) sendInvalid(ctx context.Context, rnd *rand.Rand) {
	o.mu.Lock()
	n := o.sent + 1000
	o.mu.Unlock()
	r := routing(n)
	r.Hosts[0].Routes[0].Split[0].Service = "unknown"
	addrs := o.s.controlAddrs()
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.client.Put(c, addrs[rnd.IntN(len(addrs))], r, workspaces(n))
	o.s.mon.check(Validated, err != nil, "routing %d names an unknown service and was acknowledged", n)
	shared := append(workspaces(n), platform.Workspace{Name: "thief", Keys: []string{limitedKey}})
	err = o.client.Put(c, addrs[rnd.IntN(len(addrs))], routing(n), shared)
	o.s.mon.check(Validated, err != nil, "routing %d has two workspaces with one key and was acknowledged", n)
}

// drainLoop drains one failure domain after the other.
func (o *operator) drainLoop(ctx context.Context) error {
	rnd, overtakeRnd := o.s.newRand(3), o.s.newRand(8)
	for ctx.Err() == nil {
		d := o.s.domain(rnd.IntN(domainCount))
		o.retryUntilAcked(ctx, rnd, func(c context.Context, addr string) error { return o.client.Drain(c, addr, d, true) })
		select {
		case <-ctx.Done():
			return nil
		default:
		}
		o.setDrained(d)
		if overtakeRnd.IntN(2) == 0 {
			o.overtake(ctx, overtakeRnd, d)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(drainDuration + time.Duration(rnd.Int64N(int64(drainDuration)))):
		}
		o.setDrained("")
		o.s.mon.check(DomainDrained, true, "")
		o.retryUntilAcked(ctx, rnd, func(c context.Context, addr string) error { return o.client.Drain(c, addr, d, false) })
	}
	return nil
}

// overtake sends the end of a drain to a replica that freezes, moves on to others, and drains the domain again
// before the replica wakes. The first order must not take effect after the last one is confirmed.
func (o *operator) overtake(ctx context.Context, rnd *rand.Rand, d model.FailureDomainID) {
	o.s.applyTo(o.s.replicas, rnd, func(m *vm) {
		o.setDrained("")
		defer o.s.beginFault(m, "frozen with an order")()
		o.s.logSignalError(m, m.p.Freeze())
		c, cancel := context.WithTimeout(ctx, orderTimeout)
		_ = o.client.Drain(c, m.settings.Control, d, false) // It is not answered.
		cancel()
		for _, on := range []bool{false, true} {
			o.retryUntilAcked(ctx, rnd, func(c context.Context, addr string) error { return o.client.Drain(c, addr, d, on) })
		}
		if ctx.Err() == nil {
			o.setDrained(d)
		}
		o.s.logSignalError(m, m.p.Thaw())
	})
}

func (o *operator) setDrained(d model.FailureDomainID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drained, o.drainedAt = d, o.s.mon.now()
}

// domainDrained returns a function that reports whether the failure domain must get no new
// requests at a time.
func (o *operator) domainDrained(d model.FailureDomainID) func(time.Duration) bool {
	return func(at time.Duration) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.drained == d && at > o.drainedAt+maxDomainDrainDelay
	}
}

// readLoop reads the routing back from random replicas.
func (o *operator) readLoop(ctx context.Context) error {
	rnd := o.s.newRand(4)
	for ctx.Err() == nil {
		o.read(ctx, rnd, maxConfigDelay)
		select {
		case <-ctx.Done():
		case <-time.After(readInterval):
		}
	}
	return nil
}

// read reads the routing once and reports whether there was a response.
func (o *operator) read(ctx context.Context, rnd *rand.Rand, after time.Duration) bool {
	o.mu.Lock()
	minRevision, due := o.acked, o.ackedAt+after
	o.mu.Unlock()
	startedAt := o.s.mon.now()
	addrs := o.s.controlAddrs()
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a := addrs[rnd.IntN(len(addrs))]
	r, err := o.client.Get(c, a)
	if err != nil {
		return false
	}
	if startedAt >= due {
		o.s.mon.check(FreshRead, r.Revision >= minRevision, "%s reads revision %d; %d was acknowledged", a, r.Revision, minRevision)
	}
	return true
}

// probe requests the routes of the newest and of an older revision from one entry.
func (o *operator) probe(ctx context.Context, e *vm) error {
	rnd := o.s.newRand(hash(e.name))
	client := clientFrom(o.s.ip(callerSubnet, 250))
	client.Timeout = orderTimeout
	n := 0
	var observed model.Revision
	var observedAt time.Duration
	incarnation := -1
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(probeInterval):
		}
		if l := int(e.starts.Load()); l != incarnation {
			incarnation, observed = l, 0
		}
		o.mu.Lock()
		acked, ackedAt, sent := o.acked, o.ackedAt, o.sent
		o.mu.Unlock()
		if acked == 0 {
			continue
		}
		n++
		startedAt := o.s.mon.now()
		if observed > 0 && startedAt > observedAt+rollbackTolerance && rnd.IntN(2) == 0 {
			old := observed - 1
			back := o.probeRevision(ctx, client, e, old, n) == http.StatusOK && int(e.starts.Load()) == incarnation
			o.s.mon.check(NoRollback, !back, "%s used revision %d at %s after it had shown %d at %s", e.name, old, startedAt, observed, observedAt)
			continue
		}
		status := o.probeRevision(ctx, client, e, acked, n)
		switch {
		case status == http.StatusOK:
			if acked > observed {
				observed, observedAt = acked, o.s.mon.now()
			}
		case status == http.StatusNotFound && acked == sent && startedAt > ackedAt+maxConfigDelay && o.s.mon.undisturbed(ackedAt, e.ip, core):
			o.mu.Lock()
			superseded := o.sent != sent
			o.mu.Unlock()
			o.s.mon.check(ConfigInForce, superseded, "%s does not know revision %d, acknowledged at %s", e.name, acked, ackedAt)
		}
		if status == http.StatusOK && startedAt > ackedAt+maxConfigDelay {
			o.s.mon.check(ConfigInForce, true, "")
		}
	}
	return nil
}

// probeRevision requests the route that only one revision has, and returns the status.
func (o *operator) probeRevision(ctx context.Context, client *http.Client, e *vm, n model.Revision, k int) int {
	id := fmt.Sprintf("p%d-%s-%d", o.s.o.Seed, e.name, k)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s%d/x", e.settings.Proxy, revisionPrefix, n), nil)
	if err != nil {
		return 0
	}
	q.Host = host
	q.Header.Set(platform.Headers.RequestID, id)
	q.Header.Set(platform.Headers.Deadline, strconv.FormatInt(orderTimeout.Milliseconds(), 10))
	q.Header.Set(platform.Headers.Authorization, "Bearer "+unlimitedKey)
	o.s.mon.sent(id, attempt{service: lookupService, workspace: unlimitedWorkspace})
	r, err := client.Do(q)
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}
