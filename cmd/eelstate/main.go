// Command eelstate runs one state replica: the replicated catalogue, the claims
// of requests that run at most once, and the leases of the entries.
//
// # Usage
//
//	eelstate --id 1 --listen 10.0.0.1:7100 --data /var/lib/eelstate \
//	    --replica 1=10.0.0.1:7100 --replica 2=10.0.1.1:7100 --replica 3=10.0.2.1:7100 \
//	    --key-file key --admin-token-file token
package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/drain"
	"github.com/eelgrassroad/eelgrassroad/internal/logs"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/server"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const program = "eelstate"

type options struct {
	setup.Common
	setup.Network
	ID             uint64        `long:"id" env:"EEL_ID" description:"number of this replica, from 1"`
	Data           string        `long:"data" env:"EEL_DATA" description:"data folder"`
	Replicas       []string      `long:"replica" env:"EEL_REPLICAS" env-delim:"," description:"each replica of the first group as NUMBER=IP:PORT"`
	AdminToken     string        `long:"admin-token" env:"EEL_ADMIN_TOKEN" description:"token that may change everything; prefer the file or the environment" default-mask:"-"`
	AdminTokenFile string        `long:"admin-token-file" env:"EEL_ADMIN_TOKEN_FILE" description:"file with the token that may change everything"`
	Lease          time.Duration `long:"lease" env:"EEL_LEASE" default:"2500ms" description:"length of the entries' leases"`
	SnapshotBytes  int64         `long:"snapshot-bytes" env:"EEL_SNAPSHOT_BYTES" default:"16777216" description:"size of the log file at which a snapshot replaces it"`
}

func main() {
	var o options
	setup.Parse(program, &o, os.Args[1:])
	if o.Version {
		setup.PrintVersion(program)
	}
	peers, err := o.validate()
	if err != nil {
		setup.Fatal(program, err)
	}
	l, err := logs.New(os.Stderr, o.LogLevel, program, strconv.FormatUint(o.ID, 10))
	if err != nil {
		setup.Fatal(program, fmt.Errorf("--log-level: %w", err))
	}
	if err := run(o, peers, l); err != nil {
		level.Error(l).Log("msg", "stopped", "err", err)
		os.Exit(setup.ExitFailed)
	}
}

func (o *options) validate() ([]node.Peer, error) {
	if o.ID == 0 {
		return nil, errors.New("--id is required and counts from 1")
	}
	var err error
	if o.Key, err = setup.Secret("key", o.Key, o.KeyFile); err != nil {
		return nil, err
	}
	if o.AdminToken, err = setup.Secret("admin-token", o.AdminToken, o.AdminTokenFile); err != nil {
		return nil, err
	}
	if err := setup.FirstError(o.Check(), setup.CheckDir("data", o.Data)); err != nil {
		return nil, err
	}
	return o.peers()
}

func (o *options) peers() ([]node.Peer, error) {
	var peers []node.Peer
	seen := map[uint64]bool{}
	for _, r := range o.Replicas {
		n, addr, _ := strings.Cut(r, "=")
		id, err := strconv.ParseUint(n, 10, 64)
		if err != nil || id == 0 {
			return nil, fmt.Errorf("--replica: %q is not NUMBER=IP:PORT", r)
		}
		if err := setup.CheckAddr("replica", addr); err != nil {
			return nil, err
		}
		if seen[id] {
			return nil, fmt.Errorf("--replica: replica %d occurs twice", id)
		}
		seen[id] = true
		peers = append(peers, node.Peer{ID: raft.ReplicaID(id), Addr: addr})
	}
	if len(peers) == 0 {
		return nil, errors.New("--replica is required once for each replica")
	}
	return peers, nil
}

func run(o options, peers []node.Peer, l log.Logger) error {
	k := auth.NewKey(o.Key)
	n, err := node.New(node.Options{
		ID: raft.ReplicaID(o.ID), Dir: o.Data, Addr: o.Advertise, Peers: peers,
		Transport: server.NewPeers(k, o.Dialer()), Log: l, SnapshotBytes: o.SnapshotBytes,
	})
	if err != nil {
		return err
	}
	expvar.Publish(program, expvar.Func(func() any { return n.Status() }))
	s, err := server.New(server.Options{
		Node: n, Key: k, AdminTokenHash: auth.HashToken(o.AdminToken), LeaseDuration: o.Lease, Log: l,
	})
	if err != nil {
		return errors.Join(err, n.Close())
	}
	lis, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("--listen: %w", err), n.Close())
	}
	return errors.Join(serve(n, s, lis, l), s.Close())
}

const (
	leaderTransferDelay = 300 * time.Millisecond
	stopTimeout         = 5 * time.Second
)

func serve(n *node.Node, s *server.Server, lis net.Listener, l log.Logger) error {
	ctx, cancel := setup.SignalContext()
	defer cancel()
	h := drain.New(setup.HTTPServer(s.Handler()))
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(lis) }()
	level.Info(l).Log("msg", "listening", "addr", lis.Addr())
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Join(err, n.Close())
	case <-n.Done():
		return n.Close()
	}
	return stop(n, h, l)
}

// stop transfers leadership, closes the replica and lets requests in progress finish.
func stop(n *node.Node, h *drain.Server, l log.Logger) error {
	level.Info(l).Log("msg", "stopping")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if n.IsLeader() {
		if err := n.TransferLeadership(ctx); err != nil {
			level.Warn(l).Log("msg", "leadership transfer failed", "err", err)
		}
		time.Sleep(leaderTransferDelay)
	}
	return errors.Join(n.Close(), h.Stop(ctx))
}
