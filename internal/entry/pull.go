package entry

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// catalogueStore holds the catalogue in force; its version only increases.
type catalogueStore struct {
	mu      sync.Mutex
	current *model.Catalogue
}

func (s *catalogueStore) catalogue() *model.Catalogue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *catalogueStore) version() model.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// apply applies a reply to the catalogue at version base and reports whether it was newer.
func (s *catalogueStore) apply(base model.Version, r *eelpb.PullReply, l log.Logger) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && (uint64(s.current.Version) >= r.Version || !r.Snapshot && base != s.current.Version) {
		return false
	}
	c := state.ApplyDelta(s.current, r)
	state.LogInvalid(l, s.current, c)
	s.current = c
	return true
}

// nearestReplicaTTL is how long the nearest replica is used before all are probed again:
// others restart, or are added, within minutes.
const nearestReplicaTTL = 30 * time.Second

// pullLoop polls the nearest replica for changes of the catalogue, so that the load of the
// entries is spread over the replicas and little traffic crosses regions.
func (x *Entry) pullLoop(ctx context.Context) error {
	replica, failed := "", ""
	var until time.Duration
	for ctx.Err() == nil {
		if x.store.version() == 0 {
			x.pullInitial(ctx)
		}
		if replica == "" || x.now() >= until {
			replica, until = x.state.nearest(ctx, replicaProbeTimeout, failed), x.now()+nearestReplicaTTL
		}
		if replica == "" {
			sleep(ctx, retryInterval)
			continue
		}
		t, cancel := context.WithTimeout(ctx, x.o.LongPollTimeout+renewTimeout)
		err := x.pull(t, x.state.client(replica), x.o.LongPollTimeout)
		cancel()
		if err != nil {
			level.Debug(x.o.Log).Log("msg", "catalogue pull failed", "from", replica, "err", err)
			replica, failed = "", replica
			sleep(ctx, retryInterval)
			continue
		}
		failed = ""
		sleep(ctx, x.o.MinPullInterval)
	}
	return nil
}

const (
	// firstPullTimeout bounds a first pull: a catalogue of some hundred kilobytes over a
	// link of 2 Mbit/s.
	firstPullTimeout = 4 * time.Second
	// leaderPullTimeout bounds a pull from the leader: a large change over a full link, but not
	// the time that a leader takes which is suspended.
	leaderPullTimeout = 2500 * time.Millisecond
	// replicaProbeTimeout bounds a probe of a replica: one round trip between regions, with
	// a margin for a replica that has just started.
	replicaProbeTimeout = 250 * time.Millisecond
)

// majorityReadTimeout is how long after the first catalogue other replicas are polled for a
// newer one: twice the minimum time without a leader before an election.
const majorityReadTimeout = 1200 * time.Millisecond

// pullInitial pulls the first catalogue. After a power failure some replicas may stay down
// for long, so pullInitial probes all of them. It pulls from one replica at a time, in the
// order in which they answer the probe, since the catalogue may fill the link for a while.
// The replicas after the first are polled for a newer version, since the first may lag.
func (x *Entry) pullInitial(ctx context.Context) {
	pulled := map[string]bool{}
	var until time.Duration
	for failures := 0; ctx.Err() == nil; failures++ {
		for addr := range x.state.reachable(ctx, replicaProbeTimeout) {
			if pulled[addr] {
				continue
			}
			t, cancel := context.WithTimeout(ctx, firstPullTimeout)
			if err := x.pull(t, x.state.client(addr), 0); err != nil {
				level.Debug(x.o.Log).Log("msg", "catalogue pull failed", "from", addr, "err", err)
			} else if x.store.version() > 0 {
				pulled[addr] = true
			}
			cancel()
		}
		if x.store.version() > 0 {
			if until == 0 {
				until = x.now() + majorityReadTimeout
			}
			if x.state.isMajority(len(pulled)) {
				x.majorityRead.Store(true)
			}
			if x.majorityRead.Load() || x.leaseValid() || x.now() >= until {
				level.Info(x.o.Log).Log("msg", "first catalogue pulled", "version", x.store.version(), "replicas", len(pulled), "most", x.majorityRead.Load())
				return
			}
		}
		sleep(ctx, backoff(failures))
	}
}

// leaderPull is the last pull from a leader.
type leaderPull struct {
	addr   string
	cancel context.CancelFunc
	// done is closed when the pull has ended with err.
	done chan struct{}
	err  error
}

// pullFromLeader pulls from the leader without waiting for a change, and fails where the
// catalogue is still older than version. If the context ends first, the pull goes on, and a
// later call waits for it: a large change takes longer over a full link than one renewal may,
// and would fill the link again if it started anew.
func (x *Entry) pullFromLeader(ctx context.Context, version uint64) error {
	p := x.currentLeaderPull()
	select {
	case <-p.done:
	case <-ctx.Done():
		return errs.New("entry.pull", KindNoState, ctx.Err())
	}
	if v := x.store.version(); uint64(v) < version {
		return errs.Newf("entry.pull", KindNoState, "catalogue has version %d after the pull, expected at least %d: %v", v, version, p.err)
	}
	return nil
}

// currentLeaderPull returns the pull from the leader that is in progress, or starts one. A pull from
// a former leader is cancelled. Only the renewals call it.
func (x *Entry) currentLeaderPull() *leaderPull {
	addr, c := x.state.leader()
	if p := x.leaderPull; p != nil {
		select {
		case <-p.done:
		default:
			if p.addr == addr {
				return p
			}
		}
		p.cancel()
	}
	p := &leaderPull{addr: addr, done: make(chan struct{})}
	x.leaderPull = p
	var ctx context.Context
	ctx, p.cancel = context.WithTimeout(x.g.Context(), leaderPullTimeout)
	x.g.Go(func(context.Context) error {
		defer close(p.done)
		defer p.cancel()
		p.err = x.pull(ctx, c, 0)
		return nil
	})
	return p
}

func (x *Entry) pull(ctx context.Context, c eelpb.State, wait time.Duration) error {
	base := x.store.version()
	r, err := c.Pull(ctx, &eelpb.PullRequest{
		Vm: string(x.o.ID), Version: uint64(base), WaitMs: wait.Milliseconds(), Without: []string{string(model.ObjectDocument)},
	})
	if err != nil {
		return errs.New("entry.pull", KindNoState, err)
	}
	if x.store.apply(base, r, x.o.Log) {
		x.rebuildTable()
		level.Info(x.o.Log).Log("msg", "catalogue in force", "version", r.Version)
	}
	return nil
}
