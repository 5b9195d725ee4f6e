package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/proxy"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log/level"
)

const (
	// renewInterval allows for one lost renewal within a lease of 2.5 s.
	renewInterval = 800 * time.Millisecond
	// minPullInterval batches changes of the catalogue; it is a tenth of the time in which
	// a change must take effect.
	minPullInterval = 200 * time.Millisecond
	longPollTimeout = 4 * time.Second
	// maxStaleness is how long requests are served by a catalogue that no leader
	// confirms. The time bounds of changes hold only for VMs that reach the replicas, so
	// a partitioned VM serves requests rather than refuses them.
	maxStaleness = time.Minute
	// freshTimeout limits how long an entry that has just started waits until a leader or
	// a majority of the replicas confirms that its catalogue is the newest. It covers an
	// election.
	freshTimeout = 1200 * time.Millisecond
	// retryRatioFraction is the fraction of the retry ratio that is used: the ratio must
	// hold in an observer's windows too, which start at any time.
	retryRatioFraction = 0.9
	// stopMargin is the reserve before the platform kills a process that has not stopped: requests in
	// progress are cut then. dispatchMargin is the time before the kill from which nothing is sent to
	// targets.
	stopMargin     = 600 * time.Millisecond
	dispatchMargin = 1500 * time.Millisecond
	// overrunMargin is how long after its deadline a request may still be answered.
	overrunMargin    = 250 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// serveAllPeriod is how long after the stop signal every new request is served: for so long,
	// callers may not know of the stop.
	serveAllPeriod = 3 * time.Second
	// bufferDivisor sets the part of the memory limit that buffered responses may use,
	// 1/bufferDivisor: a growing buffer is copied and so needs more than its size.
	bufferDivisor = 8
	// maxBodyFraction is the part of the memory limit that large request bodies may use: one of
	// 64 MiB fits into that of a VM with 184 MB.
	maxBodyFraction = 0.375
	// clientConnsDivisor and directoryConnsDivisor set the parts of the descriptors beyond which the longest idle
	// connections of clients are closed early. The others are for targets, entries and replicas.
	clientConnsDivisor    = 2
	directoryConnsDivisor = 4
)

func runEntry(d *daemon) error {
	s := d.settings
	x, err := entry.New(entry.Options{
		ID: model.VMID(s.Name), Addr: s.Internal, Domain: s.Domain, Replicas: s.Seeds, Key: d.key, Sole: true,
		Dial: d.dial, RenewInterval: renewInterval, MinPullInterval: minPullInterval, LongPollTimeout: longPollTimeout, Log: d.l,
		Allowances: s.Allowances(),
	})
	if err != nil {
		return err
	}
	c, err := d.listenPacket(s.Internal)
	if err != nil {
		return errors.Join(err, x.Close())
	}
	f := proxy.New(proxy.Options{
		Key: d.key, Ends: x, Hop: proxy.HopOptions{Dial: d.dial, Self: model.VMID(s.Name)},
		Gossip: proxy.GossipOptions{Conn: c, Key: d.key, Self: model.VMID(s.Name)},
		Domain: s.Domain, Cluster: x, Headers: platform.Headers, Log: d.l, Dial: dialer(d.o, s, targetDialTimeout),
		KeyLife: s.KeyLife, Allowances: x, AllowanceWindow: s.AllowanceWindow,
		MaxStaleness: maxStaleness, FreshTimeout: freshTimeout, HeartbeatInterval: s.Heartbeat, MaxBufferedBytes: (s.MemoryMB << 20) / bufferDivisor, MaxBodyBytes: int64(maxBodyFraction * float64(s.MemoryMB<<20)),
		Budget: proxy.BudgetOptions{Ratio: s.RetryRatio * retryRatioFraction, Burst: s.RetryBurst, Window: s.RetryWindow},
	})
	d.serveMetrics(func() any { return entryMetrics{x.Metrics(), f.Metrics()} })
	hop := f.HopHandler()
	internal := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if proxy.IsHopPath(r.URL.Path) {
			hop.ServeHTTP(w, r)
			return
		}
		x.Handler().ServeHTTP(w, r)
	})
	if err := d.serve("entries", s.Internal, internal); err != nil {
		return err
	}
	files, err := setup.MaxFiles()
	if err != nil {
		return err
	}
	limits := func() model.RequestLimits { return requestLimits(x.Catalogue()) }
	directory, err := d.serveClients("directory", s.Directory, platform.Directory(s, x), files/directoryConnsDivisor, limits)
	if err != nil {
		return err
	}
	clients, err := d.serveClients("clients", s.Proxy, f, files/clientConnsDivisor, limits)
	if err != nil {
		return err
	}
	ready := func() bool { return f.Ready() && !clients.IsFull() && !directory.IsFull() }
	if err := d.serve("readiness", s.Ready, platform.Ready(ready)); err != nil {
		return err
	}
	err = d.wait(nil, func(s *platform.Settings) { x.AddReplicas(s.Seeds) })
	d.stopEntry(x, f, s.TerminationGrace)
	return errors.Join(err, f.Close(), x.Close())
}

// requestLimits returns the limits of the routing, or none before there is one.
func requestLimits(c *model.Catalogue) model.RequestLimits {
	if c == nil || c.Routing == nil {
		return model.RequestLimits{}
	}
	return c.Routing.Limits
}

type entryMetrics struct {
	Entry entry.Metrics `json:"entry"`
	Proxy proxy.Metrics `json:"front"`
}

// stopEntry takes the entry out of service. The entry reports that it is not ready and
// leaves the directory, serves new requests for half of the grace, refuses them for the
// remainder, and stops when no request is in progress. Requests that run at most once are served
// only if they are certain to be answered in time, however long they take; so are all that arrive
// later than serveAllPeriod. Requests that still wait for a target near the end are refused while
// there is time to send the response.
func (d *daemon) stopEntry(x *entry.Entry, f *proxy.Proxy, grace time.Duration) {
	start := time.Now()
	f.Drain()
	f.FinishOnceWithin(grace - stopMargin - overrunMargin)
	x.AnnounceLeave()
	time.Sleep(min(grace/2, serveAllPeriod))
	f.FinishWithin(grace - stopMargin - overrunMargin - time.Since(start))
	time.Sleep(grace/2 - time.Since(start))
	f.Refuse()
	wait := func(limit time.Duration) {
		for time.Since(start) < limit && f.InFlight() > 0 {
			time.Sleep(stopPollInterval)
		}
	}
	wait(grace - dispatchMargin)
	f.StopDispatch()
	wait(grace - stopMargin)
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPollInterval, grace-stopMargin-time.Since(start)))
	defer cancel()
	d.shutdown(ctx)
	level.Info(d.l).Log("msg", "drained", "millis", time.Since(start).Milliseconds(), "inFlight", f.InFlight())
}
