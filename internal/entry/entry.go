// Package entry is the daemon of an entry VM: it serves callers, receives the
// announcements of targets, steers and forwards requests, and enforces the
// limits of its lease.
//
// # Usage
//
//	e, err := entry.New(entry.Options{ID: "a1", Addr: addr, Domain: "attiki-a", Replicas: r, Key: k, Log: l})
//	http.Serve(listener, e.Handler())
//	e.Leave(ctx) // serves until no caller has a valid list that names this VM
//	e.Close()
//
// A request has an ingress entry, which receives it from the caller, and an
// owner, the entry that dispatches it to the target. They may be the same VM.
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

// Kind is the kind of an error of this package.
type Kind string

// The kinds of errors.
const (
	KindNoState Kind = "noState"
	KindSetting Kind = "badSetting"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	// defaultRenewInterval is the value of Options.RenewInterval where that is 0. It is also
	// the minimum time between two early renewals for an unchanged share.
	defaultRenewInterval = 500 * time.Millisecond
	renewTimeout         = 400 * time.Millisecond
	// maxRenewExtensions is by how many further renewTimeouts a renewal may be extended
	// after others have failed, since the VM's own link may be full.
	maxRenewExtensions = 2
	longPollTimeout    = 20 * time.Second
	retryInterval      = 50 * time.Millisecond
	// maxRetryInterval bounds the backoff. It is half of eelplat's renewal interval of
	// 800 ms, so that entries do not keep replicas busy that are about to elect a leader.
	maxRetryInterval = 400 * time.Millisecond
	// DefaultListLife is the default time for which callers may use a list of entries.
	DefaultListLife = 5 * time.Second
	// leaveMargin is how much longer than the life of a list, or of a lease, a leaving
	// entry serves.
	leaveMargin         = 500 * time.Millisecond
	retryBudgetRatio    = 0.1
	retryBudgetBurst    = 20
	maxIdleConnsPerHost = 64
)

// Options are the settings of an entry.
type Options struct {
	ID       model.VMID
	Addr     string
	Domain   model.FailureDomainID
	Replicas []string
	Key      *auth.Key
	ListLife time.Duration
	// Dial makes the entry's connections; nil means the net package's dialer.
	Dial setup.Dialer
	// Sole states that no two processes ever run with this id, so that a restarted process
	// need not wait for the lease of its predecessor to expire.
	Sole bool
	// RenewInterval is the time between two renewals of the lease; 0 means 500 ms.
	RenewInterval time.Duration
	// MinPullInterval is the minimum time between two pulls of the catalogue, so that many
	// small changes come in one reply.
	MinPullInterval time.Duration
	// LongPollTimeout is how long a replica holds a pull open for a change; 0 means 20 s.
	LongPollTimeout time.Duration
	// Allowances are the bounds by which the allowances of workspaces are counted.
	Allowances quota.Bounds
	Log        log.Logger
}

// view is the catalogue in force, and the table of sites that is computed from it.
type view struct {
	catalogue *model.Catalogue
	table     *steer.Table
}

// Entry is a running entry.
type Entry struct {
	o            Options
	g            *group.Group
	now          func() time.Duration
	e            *echo.Echo
	state        *stateClient
	peerClient   *http.Client
	targetClient *http.Client

	leaving          atomic.Bool
	majorityRead     atomic.Bool
	renewNow         chan struct{}
	rejected         chan error
	lease            leaseState
	view             atomic.Pointer[view]
	store            catalogueStore
	leaderPull       *leaderPull
	directory        directory
	announced        announcements
	pools            pools
	limits           limits
	gauges           gauges
	sizes            answerSizes
	budget           *limit.RetryBudget
	recorder         *burn.Recorder
	roundRobin       atomic.Uint64
	shifts           shiftCounters
	remainders       remainders
	refusalLatencies refusalLatencies
	last             lastRenewal
	meter            *quota.Meter
	creditRequests   creditRequests
	evidence         evidence
}

// New starts an entry.
func New(o Options) (*Entry, error) {
	if o.ListLife == 0 {
		o.ListLife = DefaultListLife
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = defaultRenewInterval
	}
	if o.LongPollTimeout == 0 {
		o.LongPollTimeout = longPollTimeout
	}
	x := &Entry{
		o: o, now: clock.Stopwatch(), e: echo.New(), state: newStateClient(o),
		renewNow: make(chan struct{}, 1), rejected: make(chan error, 1), budget: limit.NewRetryBudget(retryBudgetRatio, retryBudgetBurst),
		peerClient:   &http.Client{Transport: o.Key.Transport(newTransport(o.Dial))},
		targetClient: &http.Client{Transport: newTransport(guardedDialer(o.Dial)), CheckRedirect: passRedirect},
	}
	x.recorder = burn.New(x.now)
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

// passRedirect keeps the HTTP client from following a target's redirect, which is a
// response to the caller.
func passRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// backoff returns the delay before the next retry; failures is the number of consecutive
// failures before this one. Half of the delay is jitter, since entries that start together
// fail together.
func backoff(failures int) time.Duration {
	d := min(maxRetryInterval, retryInterval<<min(failures, 8))
	return d/2 + rand.N(d/2)
}

// maxHeadBytes is the maximum size of a response's head, including interim responses.
const maxHeadBytes = 64 << 10

func newTransport(d setup.Dialer) *http.Transport {
	return &http.Transport{DialContext: d, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
}

// Handler returns the HTTP handler of the entry.
func (x *Entry) Handler() http.Handler { return x.e }

// Leave takes the entry out of service: it is removed from the lists that callers get, its
// targets go to other owners, and it serves until no list that names it is valid. Leave
// returns how long that took.
func (x *Entry) Leave(ctx context.Context) time.Duration {
	start := x.now()
	x.leaving.Store(true)
	x.triggerRenewal()
	sleep(ctx, x.o.ListLife+leaveMargin)
	for x.pools.held() > 0 && ctx.Err() == nil {
		sleep(ctx, retryInterval)
	}
	// After this wait every other entry has a directory without this one, or no lease.
	sleep(ctx, x.leaseDuration()+leaveMargin)
	return x.now() - start
}

// Close stops the entry and, if no request is in flight, releases its lease.
func (x *Entry) Close() error {
	err := x.g.Close()
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	x.pools.setOwned(nil)
	if x.pools.inFlight() == 0 {
		q := x.newRenewRequest()
		q.Closing = true
		// A lease that cannot be released expires.
		_, _ = x.state.renew(ctx, q)
	}
	x.peerClient.CloseIdleConnections()
	x.targetClient.CloseIdleConnections()
	return err
}

// Rejected returns a channel that receives the reason when the entry can never hold a lease.
func (x *Entry) Rejected() <-chan error { return x.rejected }

func (x *Entry) leaseDuration() time.Duration {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.lease.duration
}

// triggerRenewal makes the entry renew its lease now.
func (x *Entry) triggerRenewal() {
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

// leaseState is the lease of the entry and the last grant under it.
type leaseState struct {
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	expiresAt   time.Duration
	duration    time.Duration
	grant       uint64
	// confirmedAt is when the last renewal was sent by which the leader confirmed that
	// the catalogue is the newest; it is valid where confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// granted is closed when the next grant comes into force.
	granted chan struct{}
}

// nextGrant returns a channel that is closed when the next grant comes into force.
func (l *leaseState) nextGrant() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted
}

// leaseValid reports whether the lease is valid now.
func (x *Entry) leaseValid() bool {
	x.lease.mu.Lock()
	defer x.lease.mu.Unlock()
	return x.now() < x.lease.expiresAt
}

// pools holds the pool of each service.
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

// setOwned replaces the targets that the entry owns and may dispatch to.
func (p *pools) setOwned(owned map[model.ServiceID][]pool.Target) {
	for s := range owned {
		p.get(s)
	}
	p.each(func(s model.ServiceID, x *pool.Pool) { x.SetOwned(owned[s]) })
}

// held returns how many targets the entry owns or still has requests in progress at.
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

// gauges holds the load of owners as this VM observes it, by VM and service.
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
