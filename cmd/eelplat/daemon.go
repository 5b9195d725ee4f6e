package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/drain"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// settingsPollInterval is the interval at which the settings file is checked for changes.
	settingsPollInterval = time.Second
	// memoryLimitDivisor sets the part of the memory limit that the garbage collector keeps
	// free: 1/memoryLimitDivisor.
	memoryLimitDivisor = 4
)

// daemon has the state that both roles share.
type daemon struct {
	o    options
	l    log.Logger
	key  *auth.Key
	dial setup.Dialer
	// signals are those that wait handles.
	signals signals

	mu       sync.Mutex
	settings *platform.Settings
	raw      []byte
	servers  []*drain.Server
	failed   chan error
}

// signals receives the signals of the process. It is created first of all: a signal that arrives
// before that ends the process at once, also SIGHUP, which only says that the settings changed.
type signals struct {
	stop, reload chan os.Signal
}

func receiveSignals() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func newDaemon(o options, s *platform.Settings, l log.Logger, sig signals) (*daemon, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit((s.MemoryMB << 20) * (memoryLimitDivisor - 1) / memoryLimitDivisor)
	}
	raw, err := os.ReadFile(o.Settings)
	if err != nil {
		return nil, err
	}
	return &daemon{o: o, l: l, signals: sig, key: auth.NewKey(o.Key), settings: s, raw: raw, failed: make(chan error, 1), dial: dialer(o, s, dialTimeout)}, nil
}

func (d *daemon) current() *platform.Settings {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings
}

// dialer returns a function that makes connections which detect an unresponsive peer.
func dialer(o options, s *platform.Settings, timeout time.Duration) setup.Dialer {
	n := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
	}, Control: setup.TCPUserTimeout(tcpUserTimeout)}
	if o.BindSource {
		n.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.IP)}
	}
	return n.DialContext
}

const (
	// dialTimeout covers two one-way trips between regions, and a replica that has just
	// started.
	dialTimeout = 500 * time.Millisecond
	// targetDialTimeout covers two one-way trips between regions. A lost packet is
	// retransmitted only after a second, so a longer timeout below that would not help.
	targetDialTimeout = 250 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the connection
	// fails.
	tcpUserTimeout    = 1500 * time.Millisecond
	keepAliveInterval = 5 * time.Second
)

// serve starts a server for a handler at an address; it runs until the daemon stops.
func (d *daemon) serve(name, addr string, h http.Handler) error {
	o := setup.HTTPServer(h)
	o.IdleTimeout = setup.IdleTimeout
	return d.start(name, addr, drain.New(o))
}

// serveClients starts a server whose connections keep to the limits of the routing in force, and to a part of the
// process's descriptors.
func (d *daemon) serveClients(name, addr string, h http.Handler, maxConns int, limits func() model.RequestLimits) (*drain.Server, error) {
	s := drain.NewBounded(setup.HTTPServer(h), func() drain.Bounds {
		l := limits()
		return drain.Bounds{
			Idle: cmp.Or(l.IdleTimeoutMillis.Duration(), setup.IdleTimeout), Head: cmp.Or(l.HeaderTimeoutMillis.Duration(), setup.ReadHeaderTimeout), Conns: maxConns,
		}
	})
	return s, d.start(name, addr, s)
}

func (d *daemon) start(name, addr string, s *drain.Server) error {
	at, err := shiftPort(addr, d.o.ListenShift)
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	level.Info(d.l).Log("msg", "listening", "for", name, "addr", at)
	go func() {
		if err := s.Serve(lis); err != nil {
			select {
			case d.failed <- err:
			default:
			}
		}
	}()
	return nil
}

// listenPacket listens for datagrams at an address.
func (d *daemon) listenPacket(addr string) (net.PacketConn, error) {
	at, err := shiftPort(addr, d.o.ListenShift)
	if err != nil {
		return nil, err
	}
	return net.ListenPacket("udp", at)
}

// shiftPort returns the address with the offset added to its port.
func shiftPort(addr string, offset int) (string, error) {
	h, p, err := net.SplitHostPort(addr)
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(p)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(h, strconv.Itoa(n+offset)), nil
}

// serveMetrics serves the metrics of the process. A failure to listen, such as a port in
// use, is logged and does not stop the process.
func (d *daemon) serveMetrics(f func() any) {
	expvar.Publish(program, expvar.Func(f))
	if d.o.Metrics == "" {
		return
	}
	m := http.NewServeMux()
	m.Handle("/metrics", expvar.Handler())
	if err := d.serve("metrics", net.JoinHostPort(d.current().IP, d.o.Metrics), m); err != nil {
		level.Warn(d.l).Log("msg", "metrics server failed", "err", err)
	}
}

// wait returns on a stop signal, the failure of a server or the end of the replica. Until
// then it reloads changed settings.
func (d *daemon) wait(done <-chan struct{}, changed func(*platform.Settings)) error {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case s := <-d.signals.stop:
			level.Info(d.l).Log("msg", "stopping", "signal", s)
			return nil
		case err := <-d.failed:
			return err
		case <-done:
			return errors.New("state replica stopped without a signal")
		case <-d.signals.reload:
			d.reload(changed, "signal")
		case <-t.C:
			d.reload(changed, "file")
		}
	}
}

// reload applies the settings file if it changed and is valid.
func (d *daemon) reload(changed func(*platform.Settings), trigger string) {
	b, err := os.ReadFile(d.o.Settings)
	if err != nil {
		level.Warn(d.l).Log("msg", "settings file read failed", "err", err)
		return
	}
	if bytes.Equal(b, d.raw) {
		return
	}
	d.raw = b
	s, err := platform.Parse(string(b))
	if err != nil {
		level.Warn(d.l).Log("msg", "bad settings, the old ones stay in force", "by", trigger, "err", err)
		return
	}
	d.mu.Lock()
	d.settings = s
	d.mu.Unlock()
	level.Info(d.l).Log("msg", "settings reloaded", "by", trigger, "seeds", len(s.Seeds))
	changed(s)
}

// shutdown stops all servers concurrently. Connections with requests in progress are
// closed when the context ends.
func (d *daemon) shutdown(ctx context.Context) {
	var g sync.WaitGroup
	for _, s := range d.servers {
		g.Go(func() {
			if err := s.Stop(ctx); err != nil {
				level.Warn(d.l).Log("msg", "server closed with requests in progress", "err", err)
			}
		})
	}
	g.Wait()
}
