// Package entry is the daemon of an entry VM: it answers callers, takes the
// announcements of targets, steers and forwards requests, and enforces the
// limits of its lease.
//
// # Usage
//
//	e, err := entry.New(entry.Options{ID: "a1", Addr: addr, Domain: "attiki-a", Replicas: r, Key: k, Log: l})
//	http.Serve(listener, e.Handler())
//	e.Leave(ctx) // serves until no caller holds a list that names this VM
//	e.Close()
//
// A request has a front, the entry that the caller asked, and an owner, the
// entry that dispatches to the target. They may be the same VM.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/burn"
	"github.com/eelgrassroad/eelgrassroad/internal/clock"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/quota"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
)

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindNoState Kind = "noState"
	KindSetting Kind = "badSetting"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	renewEvery   = 500 * time.Millisecond
	renewTimeout = 400 * time.Millisecond
	// renewPatience is how many times that longer a renewal is waited for after others
	// have failed: the VM's own link may be full.
	renewPatience = 2
	pullWait      = 20 * time.Second
	retryPause    = 50 * time.Millisecond
	// maxRetryPause is what the pauses grow to, half of a renewal interval, so that
	// the entries do not keep replicas busy that are about to elect a leader.
	maxRetryPause = 400 * time.Millisecond
	// DefaultListLife is how long callers may use a list of entries.
	DefaultListLife = 5 * time.Second
	// listSlack is how much longer than that a leaving entry serves.
	listSlack   = 500 * time.Millisecond
	retryRatio  = 0.1
	retrySaved  = 20
	idlePerHost = 64
)

// Options are the settings of an entry.
type Options struct {
	ID       model.VMID
	Addr     string
	Domain   model.FailureDomainID
	Replicas []string
	Key      *auth.Key
	ListLife time.Duration
	// Dial overrides how connections are made.
	Dial setup.Dialer
	// Sole says that no two processes ever run with this id, so that a restarted
	// one need not wait for the former one's lease.
	Sole bool
	// RenewEvery is the time between two renewals of the lease.
	RenewEvery time.Duration
	// PullPause is the least time between two pulls of the catalogue, so that
	// many small changes come in one reply.
	PullPause time.Duration
	// PullWait is how long a pull waits for news.
	PullWait time.Duration
	// Allowances say how those of workspaces are counted.
	Allowances quota.Bounds
	Log        log.Logger
}

// view is the catalogue in force with the table of sites that follows from it.
type view struct {
	catalogue *model.Catalogue
	table     *steer.Table
}

// Entry is one running entry.
type Entry struct {
	o     Options
	g     *group.Group
	now   func() time.Duration
	e     *echo.Echo
	state *stateClient
	hop   *http.Client
	back  *http.Client

	leaving   atomic.Bool
	compared  atomic.Bool
	renewNow  chan struct{}
	refused   chan error
	lease     leaseHold
	view      atomic.Pointer[view]
	config    configStore
	directory directory
	heard     announcements
	pools     pools
	limits    limits
	gauges    gauges
	sizes     answerSizes
	budget    *limit.RetryBudget
	book      *burn.Book
	turn      atomic.Uint64
	shifts    shiftMeters
	rests     rests
	refusals  refusals
	last      lastRenewal
	meter     *quota.Meter
	asks      asks
}

// New starts an entry.
func New(o Options) (*Entry, error) {
	if o.ListLife == 0 {
		o.ListLife = DefaultListLife
	}
	if o.RenewEvery == 0 {
		o.RenewEvery = renewEvery
	}
	if o.PullWait == 0 {
		o.PullWait = pullWait
	}
	x := &Entry{
		o: o, now: clock.Since(), e: echo.New(), state: newStateClient(o),
		renewNow: make(chan struct{}, 1), refused: make(chan error, 1), budget: limit.NewRetryBudget(retryRatio, retrySaved),
		hop:  &http.Client{Transport: o.Key.Transport(newTransport(o.Dial))},
		back: &http.Client{Transport: newTransport(o.Dial), CheckRedirect: keepRedirects},
	}
	x.book = burn.New(x.now)
	x.meter = quota.NewMeter(o.Allowances)
	x.lease.incarnation = rand.Uint64()
	x.lease.granted = make(chan struct{})
	x.pools.init(x.now)
	x.routes()
	x.g = group.New(context.Background())
	x.g.Go(x.renewLoop)
	x.g.Go(x.pullLoop)
	return x, nil
}

// keepRedirects hands a target's redirect to the caller, whose answer it is.
func keepRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// backoff returns the pause after a number of failures in a row before this one.
// A part of it is random, since entries that start together fail together.
func backoff(failures int) time.Duration {
	d := min(maxRetryPause, retryPause<<min(failures, 8))
	return d/2 + rand.N(d/2)
}

func newTransport(d setup.Dialer) *http.Transport {
	return &http.Transport{DialContext: d, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true, IdleConnTimeout: time.Minute}
}

// Handler returns the HTTP handler.
func (x *Entry) Handler() http.Handler { return x.e }

// Leave takes the entry out of service: it is no longer named to callers, hands
// over its targets, and serves until no list that names it is valid. It returns
// how long that took.
func (x *Entry) Leave(ctx context.Context) time.Duration {
	from := x.now()
	x.leaving.Store(true)
	x.kick()
	sleep(ctx, x.o.ListLife+listSlack)
	for x.pools.held() > 0 && ctx.Err() == nil {
		sleep(ctx, retryPause)
	}
	// By then every other entry has a directory without this one, or no lease.
	sleep(ctx, x.leaseLength()+listSlack)
	return x.now() - from
}

// Close stops the entry and gives its lease back.
func (x *Entry) Close() error {
	err := x.g.Close()
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	x.pools.own(nil)
	if x.pools.inFlight() == 0 {
		q := x.renewal()
		q.Closing = true
		// A lease that cannot be given back expires.
		_, _ = x.state.renew(ctx, q)
	}
	x.hop.CloseIdleConnections()
	x.back.CloseIdleConnections()
	return err
}

// Refused returns a channel with the reason why the entry can never hold a lease.
func (x *Entry) Refused() <-chan error { return x.refused }

func (x *Entry) leaseLength() time.Duration {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.lease.length
}

// kick makes the entry renew its lease now.
func (x *Entry) kick() {
	select {
	case x.renewNow <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// leaseHold is what the entry may rely on, until when.
type leaseHold struct {
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	until       time.Duration
	length      time.Duration
	grant       uint64
	// provedAt is when the last renewal was sent by which the leader confirmed that
	// the catalogue is the newest, where proved.
	provedAt time.Duration
	proved   bool
	// granted is closed when the next grant is in force.
	granted chan struct{}
}

// next returns a channel that is closed when the next grant is in force.
func (l *leaseHold) next() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted
}

// valid tells whether the lease holds at this moment.
func (x *Entry) valid() bool {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.now() < x.lease.until
}

// pools are the pools by service.
type pools struct {
	mu    sync.RWMutex
	clock func() time.Duration
	m     map[model.ServiceID]*pool.Pool
}

func (p *pools) init(clock func() time.Duration) {
	p.clock, p.m = clock, map[model.ServiceID]*pool.Pool{}
}

func (p *pools) get(s model.ServiceID) *pool.Pool {
	p.mu.RLock()
	x, ok := p.m[s]
	p.mu.RUnlock()
	if ok {
		return x
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if x, ok := p.m[s]; ok {
		return x
	}
	x = pool.New(pool.Options{Service: s, Clock: p.clock})
	p.m[s] = x
	return x
}

func (p *pools) each(f func(model.ServiceID, *pool.Pool)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for s, x := range p.m {
		f(s, x)
	}
}

// own replaces the targets that the entry may dispatch to.
func (p *pools) own(owned map[model.ServiceID][]pool.Target) {
	for s := range owned {
		p.get(s)
	}
	p.each(func(s model.ServiceID, x *pool.Pool) { x.SetOwned(owned[s]) })
}

// held returns how many targets the entry owns or still has requests at.
func (p *pools) held() int {
	n := 0
	p.each(func(_ model.ServiceID, x *pool.Pool) { n += len(x.Held()) })
	return n
}

func (p *pools) inFlight() int {
	n := 0
	p.each(func(_ model.ServiceID, x *pool.Pool) { n += x.InFlight() })
	return n
}

// gauges are what this VM sees of owners, by VM and service.
type gauges struct {
	m sync.Map
}

type gaugeKey struct {
	vm      model.VMID
	service model.ServiceID
}

func (g *gauges) get(v model.VMID, s model.ServiceID) *steer.Gauge {
	k := gaugeKey{v, s}
	if x, ok := g.m.Load(k); ok {
		return x.(*steer.Gauge)
	}
	x, _ := g.m.LoadOrStore(k, &steer.Gauge{})
	return x.(*steer.Gauge)
}
