package main

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/server"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log/level"
)

const (
	// leaderTransferDelay lets a successor win its election before this replica stops.
	leaderTransferDelay = 300 * time.Millisecond
	stopTimeout         = 2 * time.Second
)

func runState(d *daemon) error {
	s := d.settings
	id, err := replicaID(s.Internal)
	if err != nil {
		return err
	}
	initial, err := initialPeers(s)
	if err != nil {
		return err
	}
	peers := server.NewPeers(d.key, d.dial)
	n, err := node.New(node.Options{
		ID: id, Dir: s.DataDir, Addr: s.Internal, Peers: initial, Transport: peers, Log: d.l, Region: s.Region(),
		CatchUp: s.CatchUp,
		Seeds:   func() []string { return slices.Clone(d.current().Seeds) },
	})
	if err != nil {
		return err
	}
	sv, err := server.New(server.Options{
		Node: n, Key: d.key, AdminTokenHash: auth.HashToken(d.o.Key), Log: d.l, Addr: s.Internal, Peers: peers,
		DomainRegions: func() map[model.FailureDomainID]model.RegionID { return d.current().DomainRegions },
		Heartbeat:     s.Heartbeat, Allowances: s.Allowances(), FallbackTimeout: fallbackTimeout(s),
	})
	if err != nil {
		return errors.Join(err, n.Close())
	}
	d.serveMetrics(func() any {
		return struct {
			node.Status
			server.Metrics
		}{n.Status(), sv.Metrics()}
	})
	if err := d.serve("replicas and entries", s.Internal, sv.Handler()); err != nil {
		return errors.Join(err, n.Close())
	}
	if err := d.serve("control", s.Control, platform.Control(s, sv, d.l)); err != nil {
		return errors.Join(err, n.Close())
	}
	err = d.wait(n.Done(), func(*platform.Settings) {})
	return errors.Join(err, d.stopState(n, sv))
}

// fallbackTimeout is how long an entry that reaches no leader admits requests with keys.
func fallbackTimeout(s *platform.Settings) time.Duration {
	if s.KeyLife > 0 {
		return s.KeyLife
	}
	return maxStaleness
}

// stopState transfers leadership, lets requests in progress finish and closes the replica.
func (d *daemon) stopState(n *node.Node, sv *server.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if n.IsLeader() {
		if err := n.TransferLeadership(ctx); err != nil {
			level.Warn(d.l).Log("msg", "leadership transfer failed", "err", err)
		}
		time.Sleep(leaderTransferDelay)
	}
	d.shutdown(ctx)
	return errors.Join(sv.Close(), n.Close())
}

// replicaID derives the id of a replica from its IPv4 address, which no other replica has
// at the same time.
func replicaID(addr string) (raft.ReplicaID, error) {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return 0, fmt.Errorf("address %q: %w", addr, err)
	}
	ip := net.ParseIP(h).To4()
	if ip == nil {
		return 0, fmt.Errorf("address %q is not IPv4", addr)
	}
	return raft.ReplicaID(binary.BigEndian.Uint32(ip)), nil
}

// initialPeers returns the initial members of the group: the seeds, if the deployment is
// bootstrapped and this replica is one of them. All other replicas request to join.
func initialPeers(s *platform.Settings) ([]node.Peer, error) {
	if !s.FirstStart || !slices.Contains(s.Seeds, s.Internal) {
		return nil, nil
	}
	var out []node.Peer
	for _, a := range s.Seeds {
		id, err := replicaID(a)
		if err != nil {
			return nil, err
		}
		out = append(out, node.Peer{ID: id, Addr: a})
	}
	return out, nil
}
