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
	// changeEvery is the mean time between two changes of the routing.
	changeEvery = 2 * time.Second
	// resendAfter is the pause before an order without an answer is sent again.
	resendAfter  = 300 * time.Millisecond
	orderTimeout = time.Second
	// drainTime is how long a failure domain stays drained.
	drainTime  = 7 * time.Second
	probeEvery = 400 * time.Millisecond
	readEvery  = 700 * time.Millisecond
)

// operator changes the deployment and reads back what it changed.
type operator struct {
	s      *soak
	client platform.Client

	mu sync.Mutex
	// sent, acked are the highest revisions; ackedAt is when.
	sent, acked model.Revision
	ackedAt     time.Duration
	// drained is the domain that is drained, and since when that was acknowledged.
	drained   model.FailureDomainID
	drainedAt time.Duration
	history   history
}

// routing returns the routing of a revision: a route that only it has tells
// which revision an entry uses.
func routing(n model.Revision) *model.Routing {
	route := func(name, prefix string, d model.Delivery, s model.ServiceID) model.Route {
		return model.Route{
			Name: model.RouteID(name), Prefix: prefix, Delivery: d, ObjectiveMillis: 300, TimeoutMillis: 2500, Affinity: true,
			MaxAttempts: 2, Split: []model.SplitPart{{Service: s, Weight: 1}},
		}
	}
	service := func(s model.ServiceID) model.RoutedService {
		return model.RoutedService{Name: s, HealthPath: "/health", MaxConnections: 300, ColdMillis: model.Millis(coldTime.Milliseconds()), ColdPerSecond: coldPerSecond}
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
	o.history.send(n)
	o.insist(ctx, rnd, func(c context.Context, addr string) error { return o.client.Put(c, addr, routing(n), spaces(n)) })
	if ctx.Err() != nil {
		return
	}
	o.history.acknowledge(n, o.s.w.now())
	o.mu.Lock()
	defer o.mu.Unlock()
	if n > o.acked {
		o.acked, o.ackedAt = n, o.s.w.now()
	}
}

// insist sends an order to one replica after the other until one acknowledges it.
func (o *operator) insist(ctx context.Context, rnd *rand.Rand, f func(context.Context, string) error) {
	for ctx.Err() == nil {
		addrs := o.s.control()
		c, cancel := context.WithTimeout(ctx, orderTimeout)
		err := f(c, addrs[rnd.IntN(len(addrs))])
		cancel()
		if err == nil {
			return
		}
		o.s.w.check(Checked, !errs.Is(err, platform.KindRejected), "a valid order was refused: %v", err)
		select {
		case <-ctx.Done():
		case <-time.After(resendAfter):
		}
	}
}

// changes changes the routing now and then, at times twice at once or in a wrong way.
func (o *operator) changes(ctx context.Context) error {
	rnd := o.s.chance(1)
	for ctx.Err() == nil {
		switch rnd.IntN(5) {
		case 0:
			done := make(chan struct{})
			go func() { o.change(ctx, o.s.chance(2)); close(done) }()
			o.change(ctx, rnd)
			<-done
		case 1:
			o.wrong(ctx, rnd)
		default:
			o.change(ctx, rnd)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(changeEvery))):
		}
	}
	return nil
}

// wrong sends an invalid routing, which must be refused.
func (o *operator) wrong(ctx context.Context, rnd *rand.Rand) {
	o.mu.Lock()
	n := o.sent + 1000
	o.mu.Unlock()
	r := routing(n)
	r.Hosts[0].Routes[0].Split[0].Service = "unknown"
	addrs := o.s.control()
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.client.Put(c, addrs[rnd.IntN(len(addrs))], r, spaces(n))
	o.s.w.check(Checked, err != nil, "routing %d names an unknown service and was acknowledged", n)
	shared := append(spaces(n), platform.Workspace{Name: "thief", Keys: []string{clubKey}})
	err = o.client.Put(c, addrs[rnd.IntN(len(addrs))], routing(n), shared)
	o.s.w.check(Checked, err != nil, "routing %d has two workspaces with one key and was acknowledged", n)
}

// drains empties one failure domain after the other.
func (o *operator) drains(ctx context.Context) error {
	rnd := o.s.chance(3)
	for ctx.Err() == nil {
		d := o.s.domain(rnd.IntN(domains))
		o.insist(ctx, rnd, func(c context.Context, addr string) error { return o.client.Drain(c, addr, d, true) })
		select {
		case <-ctx.Done():
			return nil
		default:
		}
		o.setDrained(d)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(drainTime + time.Duration(rnd.Int64N(int64(drainTime)))):
		}
		o.setDrained("")
		o.s.w.check(Emptied, true, "")
		o.insist(ctx, rnd, func(c context.Context, addr string) error { return o.client.Drain(c, addr, d, false) })
	}
	return nil
}

func (o *operator) setDrained(d model.FailureDomainID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drained, o.drainedAt = d, o.s.w.now()
}

// emptied tells whether a failure domain must get nothing new at a time.
func (o *operator) emptied(d model.FailureDomainID) func(time.Duration) bool {
	return func(at time.Duration) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.drained == d && at > o.drainedAt+domainBound
	}
}

// reads reads the routing back from any replica.
func (o *operator) reads(ctx context.Context) error {
	rnd := o.s.chance(4)
	for ctx.Err() == nil {
		o.read(ctx, rnd, configBound)
		select {
		case <-ctx.Done():
		case <-time.After(readEvery):
		}
	}
	return nil
}

// read reads the routing once; it tells whether there was an answer.
func (o *operator) read(ctx context.Context, rnd *rand.Rand, after time.Duration) bool {
	o.mu.Lock()
	least, due := o.acked, o.ackedAt+after
	o.mu.Unlock()
	asked := o.s.w.now()
	addrs := o.s.control()
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a := addrs[rnd.IntN(len(addrs))]
	r, err := o.client.Get(c, a)
	if err != nil {
		return false
	}
	if asked >= due {
		o.s.w.check(Read, r.Revision >= least, "%s reads revision %d; %d was acknowledged", a, r.Revision, least)
	}
	return true
}

// probe asks one entry for the routes of the newest and of an older revision.
func (o *operator) probe(ctx context.Context, e *machine) error {
	rnd := o.s.chance(hash(e.name))
	client := clientFrom(o.s.ip(callerHosts, 250))
	client.Timeout = orderTimeout
	n := 0
	var shown model.Revision
	var shownAt time.Duration
	life := -1
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(probeEvery):
		}
		if l := int(e.starts.Load()); l != life {
			life, shown = l, 0
		}
		o.mu.Lock()
		acked, ackedAt, sent := o.acked, o.ackedAt, o.sent
		o.mu.Unlock()
		if acked == 0 {
			continue
		}
		n++
		asked := o.s.w.now()
		if shown > 0 && asked > shownAt+rollbackSlack && rnd.IntN(2) == 0 {
			old := shown - 1
			back := o.ask(ctx, client, e, old, n) == http.StatusOK && int(e.starts.Load()) == life
			o.s.w.check(Forward, !back, "%s used revision %d at %s after it had shown %d at %s", e.name, old, asked, shown, shownAt)
			continue
		}
		status := o.ask(ctx, client, e, acked, n)
		switch {
		case status == http.StatusOK:
			if acked > shown {
				shown, shownAt = acked, o.s.w.now()
			}
		case status == http.StatusNotFound && acked == sent && asked > ackedAt+configBound && o.s.w.calm(ackedAt, e.ip, core):
			o.mu.Lock()
			overtaken := o.sent != sent
			o.mu.Unlock()
			o.s.w.check(InForce, overtaken, "%s does not know revision %d, acknowledged at %s", e.name, acked, ackedAt)
		}
		if status == http.StatusOK && asked > ackedAt+configBound {
			o.s.w.check(InForce, true, "")
		}
	}
	return nil
}

// ask sends a request on the route that only one revision has, and returns the status.
func (o *operator) ask(ctx context.Context, client *http.Client, e *machine, n model.Revision, k int) int {
	id := fmt.Sprintf("p%d-%s-%d", o.s.o.Seed, e.name, k)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s%d/x", e.settings.Proxy, revisionPrefix, n), nil)
	if err != nil {
		return 0
	}
	q.Host = host
	q.Header.Set(platform.Headers.RequestID, id)
	q.Header.Set(platform.Headers.Deadline, strconv.FormatInt(orderTimeout.Milliseconds(), 10))
	q.Header.Set(platform.Headers.Authorization, "Bearer "+crewKey)
	o.s.w.sent(id, attempt{service: lookupService, space: crew})
	r, err := client.Do(q)
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}
