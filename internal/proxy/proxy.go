// Package proxy serves the requests that a routing sends to services: it finds
// the route by host and path, chooses a target, passes the request on unchanged
// and returns the target's whole answer.
//
// The entry that a caller connected to sends to the target itself, once for an
// at-most-once request, so that "not run" is known without asking anyone: either
// nothing was sent, or the target said that it did not run it.
//
// # Usage
//
//	f := proxy.New(proxy.Options{World: entry, Dialect: proxy.Native, Log: l})
//	http.Serve(listener, f)
//	f.Drain()
//	err := f.Close()
//
// Decisions about targets, retries and budgets are in files of their own and
// need no network.
package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/clock"
	"github.com/eelgrassroad/eelgrassroad/internal/gossip"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/limit"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"golang.org/x/sync/semaphore"
)

// World is what the proxy knows of the rest of the system.
type World interface {
	// Catalogue returns the catalogue in force, or nil before the first.
	Catalogue() *model.Catalogue
	// Fresh tells whether the catalogue is known to be the newest.
	Fresh() bool
	// MajorityRead tells whether the catalogue was compared with those of most replicas.
	MajorityRead() bool
	// VMCount returns how many VMs serve requests, this one too, in a region or in all.
	VMCount(model.RegionID) int
	// PeerAddrs returns the addresses of the other VMs of this failure domain.
	PeerAddrs() []string
	// ConfirmationAge tells how long ago it was certain that the catalogue is the newest,
	// and whether it ever was.
	ConfirmationAge() (time.Duration, bool)
}

// Allowances bound the requests of workspaces over all VMs.
type Allowances interface {
	// Allow takes one request out of the allowance of a workspace, or tells that it
	// may not run.
	Allow(context.Context, model.Workspace) bool
	// Refund gives back a request that was allowed some time ago and did not run.
	Refund(w model.Workspace, ago time.Duration)
	// AllowedFraction returns which part of the requests of a workspace were allowed of late.
	AllowedFraction(model.WorkspaceID) float64
}

// Options are the settings of a proxy.
type Options struct {
	// Domain is where this VM is.
	Domain  model.FailureDomainID
	World   World
	Dialect Dialect
	Log     log.Logger
	// Allowances hold workspaces to theirs; without it nothing does.
	Allowances Allowances
	// Dial makes connections to targets. It should give up soon on a target that
	// does not answer, and break connections that fall silent.
	Dial setup.Dialer
	// Budget bounds the requests that are sent to a second target.
	Budget BudgetOptions
	// StaleFor is how long requests are served by a catalogue that may have been
	// replaced; 0 means forever.
	StaleFor time.Duration
	// KeyLife is how long after it was certain that the catalogue is the newest the keys
	// of workspaces count, on this VM's clock; 0 means forever.
	KeyLife time.Duration
	// AllowanceWindow is the time over which the requests of a workspace are counted.
	AllowanceWindow time.Duration
	// FirstFresh is how long after its start a proxy waits until its catalogue is
	// known to be the newest, or was compared, before it serves by one that may not
	// be: what it gets first may come from a replica that is behind.
	FirstFresh time.Duration
	// BeatEvery is the time between two announcements of a target.
	BeatEvery time.Duration
	// Gossip is where the VMs of the failure domain tell each other what they see of
	// targets; without a connection they do not.
	Gossip GossipOptions
	// AnswerBytes bounds the large answers that are held at a time, all together;
	// 0 means DefaultAnswerBytes.
	AnswerBytes int64
}

// DefaultAnswerBytes bounds the large answers of all requests.
const DefaultAnswerBytes = 64 << 20

// sweepEvery is how often idle connections are looked at.
const sweepEvery = time.Second

// GossipOptions are the settings of what VMs tell each other.
type GossipOptions struct {
	Conn net.PacketConn
	Key  *auth.Key
	Self model.VMID
}

// BudgetOptions bound the second sends of one VM to a service.
type BudgetOptions struct {
	// Ratio is the most second sends for each request.
	Ratio float64
	// Burst is what may come on top, of all VMs together.
	Burst float64
	// Window is the time over which requests and second sends are counted.
	Window time.Duration
}

// Proxy serves routed requests.
type Proxy struct {
	o        Options
	now      func() time.Duration
	tables   tables
	budgets  budgets
	works    works
	metrics  *metrics
	answers  *semaphore.Weighted
	share    *gossip.Agent
	credits  credits
	g        *group.Group
	draining atomic.Bool
	closed   atomic.Bool
	// flushed is closed when no more requests are sent to targets.
	flushed   chan struct{}
	flushOnce sync.Once
	// freshAt is when the catalogue was last known to be the newest.
	freshAt atomic.Int64
}

// New returns a proxy. Close stops what it does by itself.
func New(o Options) *Proxy {
	if o.AnswerBytes == 0 {
		o.AnswerBytes = DefaultAnswerBytes
	}
	f := &Proxy{
		o: o, now: clock.Stopwatch(), metrics: newMetrics(), answers: semaphore.NewWeighted(o.AnswerBytes),
		g: group.New(context.Background()), flushed: make(chan struct{}),
	}
	f.tables.init(o, f.now)
	f.budgets = budgets{o: o.Budget, m: map[model.ServiceID]*limit.Ratio{}}
	f.g.Every(sweepEvery, func(context.Context) { f.tables.sweep(time.Now()) })
	if o.Gossip.Conn != nil {
		f.share = gossip.New(gossip.Options{
			Conn: o.Gossip.Conn, Key: o.Gossip.Key, Self: o.Gossip.Self, Peers: o.World.PeerAddrs, Receive: f.hear, Log: o.Log,
		})
	}
	return f
}

// Close stops what the proxy does by itself and closes its idle connections.
func (f *Proxy) Close() error {
	err := f.g.Close()
	if f.share != nil {
		err = errors.Join(err, f.share.Close())
	}
	f.tables.close()
	return err
}

// Drain makes callers close their connections after the next answer.
func (f *Proxy) Drain() { f.draining.Store(true) }

// Refuse refuses all requests from now on: they have not run and never will.
func (f *Proxy) Refuse() { f.closed.Store(true) }

// Flush refuses those who wait for a target, and all that would be sent to one from
// now on. What targets have begun goes on.
func (f *Proxy) Flush() { f.flushOnce.Do(func() { close(f.flushed) }) }

// InFlight returns how many requests are in progress.
func (f *Proxy) InFlight() int { return int(f.metrics.inFlight.Load()) }

// Ready tells whether the proxy can serve.
func (f *Proxy) Ready() bool {
	c := f.o.World.Catalogue()
	return c != nil && c.Routing != nil && !f.draining.Load() && f.known()
}

// known tells whether the catalogue may still be used.
func (f *Proxy) known() bool {
	now := f.now()
	if f.o.World.Fresh() {
		f.freshAt.Store(int64(now))
		return true
	}
	at := time.Duration(f.freshAt.Load())
	if at == 0 && now < f.o.FirstFresh && !f.o.World.MajorityRead() {
		return false
	}
	return f.o.StaleFor == 0 || now-at < f.o.StaleFor
}

// ServeHTTP answers one request of a caller.
func (f *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.metrics.inFlight.Add(1)
	defer f.metrics.inFlight.Add(-1)
	q := f.newRequest(r)
	defer q.hold.release()
	a := f.handle(q)
	f.finish(w, q, a)
}
