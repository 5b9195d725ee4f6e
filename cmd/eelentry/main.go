// Command eelentry runs one entry VM: it serves callers, receives the
// announcements of targets, and steers requests.
//
// # Usage
//
//	eelentry --id a1 --listen 10.0.0.11:7000 --failure-domain attiki-a \
//	    --replica 10.0.0.1:7100 --replica 10.0.1.1:7100 --replica 10.0.2.1:7100 --key-file key
package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/drain"
	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/logs"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const program = "eelentry"

type options struct {
	setup.Common
	setup.Network
	ID       string        `long:"id" env:"EEL_ID" description:"id of this VM"`
	Domain   string        `long:"failure-domain" env:"EEL_FAILURE_DOMAIN" description:"failure domain of this VM"`
	Replicas []string      `long:"replica" env:"EEL_REPLICAS" env-delim:"," description:"address of each state replica, IP:PORT"`
	ListLife time.Duration `long:"list-life" env:"EEL_LIST_LIFE" default:"5s" description:"how long callers may use a list of entries"`
	StopTime time.Duration `long:"stop-timeout" env:"EEL_STOP_TIMEOUT" default:"60s" description:"how long a planned stop may take"`
}

func main() {
	var o options
	setup.Parse(program, &o, os.Args[1:])
	if o.Version {
		setup.PrintVersion(program)
	}
	if err := o.validate(); err != nil {
		setup.Fatal(program, err)
	}
	l, err := logs.New(os.Stderr, o.LogLevel, program, o.ID)
	if err != nil {
		setup.Fatal(program, fmt.Errorf("--log-level: %w", err))
	}
	if err := run(o, l); err != nil {
		level.Error(l).Log("msg", "stopped", "err", err)
		os.Exit(setup.ExitFailed)
	}
}

func (o *options) validate() error {
	var err error
	if o.Key, err = setup.Secret("key", o.Key, o.KeyFile); err != nil {
		return err
	}
	if len(o.Replicas) == 0 {
		return errors.New("--replica is required once for each replica")
	}
	for _, r := range o.Replicas {
		if err := setup.CheckAddr("replica", r); err != nil {
			return err
		}
	}
	if o.ListLife <= 0 || o.StopTime <= 0 {
		return errors.New("--list-life and --stop-timeout must be above 0")
	}
	return setup.FirstError(
		setup.CheckID("id", o.ID), o.Check(), setup.CheckID("failure-domain", o.Domain),
	)
}

// connsDivisor sets the part of the descriptors beyond which the longest idle connections are closed early. The others
// are for targets, entries and replicas.
const connsDivisor = 2

func run(o options, l log.Logger) error {
	files, err := setup.MaxFiles()
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	x, err := entry.New(entry.Options{
		ID: model.VMID(o.ID), Addr: o.Advertise, Domain: model.FailureDomainID(o.Domain),
		Replicas: o.Replicas, Key: auth.NewKey(o.Key), ListLife: o.ListLife, Dial: o.Dialer(), Log: l,
	})
	if err != nil {
		return err
	}
	expvar.Publish(program, expvar.Func(func() any { return x.Metrics() }))
	ctx, cancel := setup.SignalContext()
	defer cancel()
	bounds := drain.Bounds{Idle: setup.IdleTimeout, Head: setup.ReadHeaderTimeout, Conns: files / connsDivisor}
	h := drain.NewBounded(setup.HTTPServer(x.Handler()), func() drain.Bounds { return bounds })
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(lis) }()
	level.Info(l).Log("msg", "listening", "addr", lis.Addr())
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Join(err, x.Close())
	case err := <-x.Rejected():
		setup.Fatal(program, fmt.Errorf("--id or --failure-domain: %w", errors.Join(err, x.Close())))
	}
	return stop(o, x, h, l)
}

// stop serves until no caller has a valid list with this VM, and then closes the entry.
func stop(o options, x *entry.Entry, h *drain.Server, l log.Logger) error {
	level.Info(l).Log("msg", "leaving")
	ctx, cancel := context.WithTimeout(context.Background(), o.StopTime)
	defer cancel()
	took := x.Leave(ctx)
	level.Info(l).Log("msg", "drained", "millis", took.Milliseconds())
	return errors.Join(h.Stop(ctx), x.Close())
}
