package main

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/proxy"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log/level"
)

const (
	// renewEvery leaves room for one lost renewal within a lease of 2.5 s.
	renewEvery = 800 * time.Millisecond
	// pullPause gathers changes of the catalogue; a tenth of what they may take.
	pullPause = 200 * time.Millisecond
	pullWait  = 4 * time.Second
	// staleFor is how long requests are served by a catalogue that no leader
	// confirms. Times bounds hold only for VMs that reach the replicas, so that
	// serving goes before refusing.
	staleFor = time.Minute
	// firstFresh bounds the wait of an entry that has just started, where neither a
	// leader nor most replicas tell it that its catalogue is the newest: an election.
	firstFresh = 1200 * time.Millisecond
	// ratioPart is the part of the retry ratio that is used, since the windows of an
	// observer begin at any time.
	ratioPart = 0.9
	// stopMargin is kept free before the platform ends a process that does not stop.
	stopMargin = 500 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
	// answerPart divides the memory limit to give what large answers take at most;
	// they grow by copies.
	answerPart = 8
)

func runEntry(d *daemon) error {
	s := d.settings
	x, err := entry.New(entry.Options{
		ID: model.VMID(s.Name), Addr: s.Internal, Domain: s.Domain, Replicas: s.Seeds, Key: d.key, Sole: true,
		Dial: d.dial, RenewInterval: renewEvery, MinPullInterval: pullPause, LongPollTimeout: pullWait, Log: d.l,
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
		Gossip: proxy.GossipOptions{Conn: c, Key: d.key, Self: model.VMID(s.Name)},
		Domain: s.Domain, Cluster: x, Headers: platform.Headers, Log: d.l, Dial: dialer(d.o, s, targetDialTimeout),
		KeyLife: s.KeyLife, Allowances: x, AllowanceWindow: s.AllowanceWindow,
		MaxStaleness: staleFor, FreshTimeout: firstFresh, HeartbeatInterval: s.Heartbeat, MaxBufferedBytes: (s.MemoryMB << 20) / answerPart,
		Budget: proxy.BudgetOptions{Ratio: s.RetryRatio * ratioPart, Burst: s.RetryBurst, Window: s.RetryWindow},
	})
	d.serveMetrics(func() any { return entryMetrics{x.Metrics(), f.Metrics()} })
	if err := d.serve("entries", s.Internal, x.Handler()); err != nil {
		return err
	}
	if err := d.serve("readiness", s.Ready, platform.Ready(f.Ready)); err != nil {
		return err
	}
	if err := d.serve("directory", s.Directory, platform.Directory(s, x)); err != nil {
		return err
	}
	if err := d.serve("clients", s.Front, f); err != nil {
		return err
	}
	err = d.wait(nil, func(s *platform.Settings) { x.AddReplicas(s.Seeds) })
	d.leave(x, f, s.Grace)
	return errors.Join(err, f.Close(), x.Close())
}

type entryMetrics struct {
	Entry entry.Metrics `json:"entry"`
	Front proxy.Metrics `json:"front"`
}

// leave takes the entry out of service: it says that it is not ready and is no
// longer named, serves those who still come for half of the grace, refuses them
// for the rest, and ends when nothing is in progress. Those who still wait for a
// target then are refused while there is time to tell them.
func (d *daemon) leave(x *entry.Entry, f *proxy.Proxy, grace time.Duration) {
	from := time.Now()
	f.Drain()
	x.AnnounceLeave()
	time.Sleep(grace / 2)
	f.Refuse()
	wait := func(until time.Duration) {
		for time.Since(from) < until && f.InFlight() > 0 {
			time.Sleep(stopPoll)
		}
	}
	wait(grace - 3*stopMargin)
	f.StopDispatch()
	wait(grace - 2*stopMargin)
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPoll, grace-2*stopMargin-time.Since(from)))
	defer cancel()
	d.shutdown(ctx)
	level.Info(d.l).Log("msg", "drained", "millis", time.Since(from).Milliseconds(), "inFlight", f.InFlight())
}
