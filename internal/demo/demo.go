// Package demo runs a whole deployment inside one process: state replicas,
// entries, targets and callers, connected through a relay that adds the delays of
// the catalogue's links.
//
// # Usage
//
//	d, err := demo.New(ctx, demo.Options{Objects: objects, Dir: dir, Net: 9, Entries: 6})
//	defer d.Close()
//	err = demo.Show(ctx, d, demo.ShowOptions{Length: 12 * time.Second, Out: os.Stdout})
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/entry"
	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/relay"
	"github.com/eelgrassroad/eelgrassroad/internal/server"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/admin"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
)

const (
	sharedKey    = "demo-key"
	adminToken   = "demo-admin-token"
	stateHosts   = 1
	entryHosts   = 2
	fakeHosts    = 3
	proxyPort    = 7100
	backendPort  = 7101
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	listTTL      = 2 * time.Second
)

// Options configures a deployment.
type Options struct {
	// Objects are the objects of the catalogue.
	Objects []model.Object
	// Dir is the directory for the replicas' data.
	Dir string
	// Net is the second byte of the deployment's addresses, 127.Net.x.y.
	Net int
	// Entries is the number of entries, and Targets the number of targets by
	// service; both are distributed over the failure domains round robin.
	Entries     int
	Targets     map[model.ServiceID]int
	Slots       int
	ServiceTime time.Duration
	AnswerBytes int
	// ColdRuns is the number of requests for which a target is cold after its start.
	ColdRuns int
	// Journal receives a JSON line for each request that a target runs.
	Journal io.Writer
	Log     log.Logger
}

// location is the failure domain and region of a host.
type location struct {
	domain model.FailureDomainID
	region model.RegionID
}

// Deployment is a running deployment.
type Deployment struct {
	o       Options
	c       *model.Catalogue
	domains []model.FailureDomainID
	key     *auth.Key
	mu      sync.RWMutex
	hosts   map[string]location
	closers []func() error

	Net      *relay.Network
	Admin    *admin.Client
	Nodes    []*node.Node
	Entries  []*entry.Entry
	Targets  []*fakes.Target
	Replicas []string
	Addrs    []string
}

// New starts a deployment and waits until every target is ready.
func New(ctx context.Context, o Options) (*Deployment, error) {
	c, err := model.NewCatalogue(1, o.Objects)
	if err != nil {
		return nil, err
	}
	d := &Deployment{o: o, c: c, key: auth.NewKey(sharedKey), hosts: map[string]location{}, Net: relay.New()}
	d.domains = sortedDomains(c)
	d.Net.SetDelay(d.delay)
	d.Net.SetZone(func(host string) string {
		p, _ := d.locationOf(host)
		return string(p.region)
	})
	steps := []func(context.Context) error{d.startStates, d.putCatalogue, d.startEntries, d.startTargets, d.waitReady}
	for _, f := range steps {
		if err := f(ctx); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	return d, nil
}

// callerDelay is the one-way delay between a caller and an entry.
const callerDelay = 3 * time.Millisecond

// domainDelay is the one-way delay between two failure domains of a region.
const domainDelay = time.Millisecond

// delay returns the one-way delay between two hosts by their locations.
func (d *Deployment) delay(from, to string) time.Duration {
	a, aok := d.locationOf(from)
	b, bok := d.locationOf(to)
	if !aok || !bok {
		return callerDelay
	}
	if a.region == b.region {
		if a.domain == b.domain {
			return 0
		}
		return domainDelay
	}
	l, _ := d.c.Link(a.region, b.region)
	return l.DelayMillis.Duration()
}

func (d *Deployment) locationOf(host string) (location, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p, ok := d.hosts[host]
	return p, ok
}

// HostsOf returns the hosts of a region.
func (d *Deployment) HostsOf(r model.RegionID) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []string
	for h, p := range d.hosts {
		if p.region == r {
			out = append(out, h)
		}
	}
	return out
}

func (d *Deployment) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.o.Net, kind, n)
}

func addr(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// addHost registers a host, puts it behind the relay and returns its listen and
// advertised addresses.
func (d *Deployment) addHost(ip string, domain model.FailureDomainID) (setup.Network, error) {
	d.mu.Lock()
	d.hosts[ip] = location{domain: domain, region: d.c.RegionOf(domain)}
	d.mu.Unlock()
	n := setup.Network{Listen: addr(ip, backendPort), Advertise: addr(ip, proxyPort), BindSource: true}
	return n, d.Net.Proxy(n.Advertise, n.Listen)
}

func (d *Deployment) serve(n setup.Network, h http.Handler) error {
	l, err := net.Listen("tcp", n.Listen)
	if err != nil {
		return err
	}
	s := setup.HTTPServer(h)
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, s.Close)
	return nil
}

const stateCount = 3

// startStates starts the state replicas, spread over the failure domains so that
// they are in different regions.
func (d *Deployment) startStates(context.Context) error {
	var peers []node.Peer
	var nets []setup.Network
	for i := 1; i <= stateCount; i++ {
		n, err := d.addHost(d.ip(stateHosts, i), d.domains[(i-1)*len(d.domains)/stateCount])
		if err != nil {
			return err
		}
		nets = append(nets, n)
		d.Replicas = append(d.Replicas, n.Advertise)
		peers = append(peers, node.Peer{ID: raft.ReplicaID(i), Addr: n.Advertise})
	}
	for i, n := range nets {
		if err := d.startState(peers, i, n); err != nil {
			return err
		}
	}
	d.Admin = admin.New(admin.Options{Addrs: d.Replicas, Token: adminToken})
	return nil
}

func (d *Deployment) startState(peers []node.Peer, i int, n setup.Network) error {
	x, err := node.New(node.Options{
		ID: peers[i].ID, Dir: filepath.Join(d.o.Dir, fmt.Sprintf("state%d", i+1)), Addr: n.Advertise, Peers: peers,
		Transport: server.NewPeers(d.key, n.Dialer()), Log: d.o.Log,
	})
	if err != nil {
		return err
	}
	d.Nodes = append(d.Nodes, x)
	d.closers = append(d.closers, x.Close)
	s, err := server.New(server.Options{Node: x, Key: d.key, AdminTokenHash: auth.HashToken(adminToken), Log: d.o.Log})
	if err != nil {
		return err
	}
	return d.serve(n, s.Handler())
}

func (d *Deployment) putCatalogue(ctx context.Context) error {
	return retryUntilReady(ctx, func() error {
		_, err := d.Admin.Change(ctx, wire.Change{ChangeID: "demo-first", Put: d.o.Objects})
		return err
	})
}

func (d *Deployment) startEntries(context.Context) error {
	for i := range d.o.Entries {
		domain := d.domains[i%len(d.domains)]
		n, err := d.addHost(d.ip(entryHosts, i+1), domain)
		if err != nil {
			return err
		}
		x, err := entry.New(entry.Options{
			ID: model.VMID(fmt.Sprintf("%s-%d", domain, i/len(d.domains)+1)), Addr: n.Advertise, Domain: domain,
			ListLife: listTTL, Replicas: d.Replicas, Key: d.key, Dial: n.Dialer(), Log: d.o.Log,
		})
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, x)
		d.Addrs = append(d.Addrs, n.Advertise)
		d.closers = append(d.closers, x.Close)
		if err := d.serve(n, x.Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startTargets(context.Context) error {
	host := 0
	for s, n := range d.o.Targets {
		for i := range n {
			host++
			if err := d.startTarget(s, d.domains[i%len(d.domains)], host, i+1); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) startTarget(s model.ServiceID, domain model.FailureDomainID, host, number int) error {
	n, err := d.addHost(d.ip(fakeHosts, host), domain)
	if err != nil {
		return err
	}
	t, err := fakes.NewTarget(fakes.TargetOptions{
		ID: model.TargetID(fmt.Sprintf("%s-%d", s, number)), Service: s, Domain: domain, Listen: n.Listen, Advertise: n.Advertise,
		Dial: n.Dialer(), Entries: d.Addrs, Slots: d.o.Slots, ServiceTime: d.o.ServiceTime, Spread: true, AnswerBytes: d.o.AnswerBytes,
		ColdRuns: d.o.ColdRuns, Journal: d.o.Journal,
	})
	if err != nil {
		return err
	}
	d.Targets = append(d.Targets, t)
	d.closers = append(d.closers, t.Close)
	return nil
}

// waitReady waits until the entries own all slots of all targets.
func (d *Deployment) waitReady(ctx context.Context) error {
	return retryUntilReady(ctx, func() error {
		slots := 0
		for _, x := range d.Entries {
			slots += x.OwnedSlots()
		}
		if want := len(d.Targets) * d.o.Slots; slots < want {
			return fmt.Errorf("%d of %d slots are ready", slots, want)
		}
		return nil
	})
}

// retryUntilReady calls f until it succeeds, for at most readyTimeout.
func retryUntilReady(ctx context.Context, f func() error) error {
	t := time.NewTimer(readyTimeout)
	defer t.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			return err
		case <-time.After(pollInterval):
		}
	}
}

// Close stops the deployment.
func (d *Deployment) Close() error {
	var err error
	for i := len(d.closers) - 1; i >= 0; i-- {
		err = errors.Join(err, d.closers[i]())
	}
	return errors.Join(err, d.Net.Close())
}

func sortedDomains(c *model.Catalogue) []model.FailureDomainID {
	return slices.Sorted(maps.Keys(c.Domains))
}
