package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/gzhttp"
	"github.com/eelgrassroad/eelgrassroad/internal/probe"
	"github.com/eelgrassroad/eelgrassroad/internal/server"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"
)

// stateClient is a client of the state replicas that prefers the leader.
type stateClient struct {
	mu          sync.Mutex
	replicas    []string
	leaderIndex int
	httpClient  *http.Client
	clients     map[string]eelpb.State
	meter       byteMeter
}

func newStateClient(o Options) *stateClient {
	s := &stateClient{replicas: slices.Clone(o.Replicas), clients: map[string]eelpb.State{}}
	s.httpClient = &http.Client{Transport: gzhttp.Transport(o.Key.Transport(newTransport(s.meter.dialer(o.Dial))), gzhttp.CompressedResponses(pullPath))}
	return s
}

// leader returns the address and client of the replica that is assumed to lead.
func (s *stateClient) leader() (string, eelpb.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientLocked(s.replicas[s.leaderIndex])
}

// reachable probes all replicas and returns a channel with the addresses of those that
// answer within d, in the order in which they answer.
func (s *stateClient) reachable(ctx context.Context, d time.Duration) <-chan string {
	s.mu.Lock()
	list := slices.Clone(s.replicas)
	s.mu.Unlock()
	out := make(chan string, len(list))
	var g errgroup.Group
	for _, a := range list {
		g.Go(func() error {
			c, cancel := context.WithTimeout(ctx, d)
			defer cancel()
			err := probe.Get(c, s.httpClient, "http://"+a+wire.PathHealth)
			if err == nil {
				out <- a
			}
			return err
		})
	}
	go func() {
		// The channel leaves out replicas whose probe failed, so the error is not needed.
		_ = g.Wait()
		close(out)
	}()
	return out
}

// nearest returns the replica that answers a probe first, preferring any other to the one
// that failed last, or an empty string where none answers within d.
func (s *stateClient) nearest(ctx context.Context, d time.Duration, failed string) string {
	last := ""
	for a := range s.reachable(ctx, d) {
		if a != failed {
			return a
		}
		last = a
	}
	return last
}

// isMajority reports whether n is more than half of the known replicas.
func (s *stateClient) isMajority(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n > len(s.replicas)/2
}

// client returns the client of the replica at an address.
func (s *stateClient) client(addr string) eelpb.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, c := s.clientLocked(addr)
	return c
}

// clientLocked returns addr and the client of its replica. The caller holds s.mu.
func (s *stateClient) clientLocked(addr string) (string, eelpb.State) {
	c, ok := s.clients[addr]
	if !ok {
		c = eelpb.NewStateProtobufClient("http://"+addr, s.httpClient)
		s.clients[addr] = c
	}
	return addr, c
}

// reportFailure switches to the leader that the error names, or to the next replica. It
// does nothing if the replica at addr is no longer the assumed leader.
func (s *stateClient) reportFailure(addr string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas[s.leaderIndex] != addr {
		return
	}
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.FailedPrecondition {
		if s.setLeader(t.Meta(server.MetaLeader)) {
			return
		}
	}
	s.leaderIndex = (s.leaderIndex + 1) % len(s.replicas)
}

func (s *stateClient) setLeader(leader string) bool {
	if leader == "" || leader == s.replicas[s.leaderIndex] {
		return false
	}
	for i, r := range s.replicas {
		if r == leader {
			s.leaderIndex = i
			return true
		}
	}
	s.replicas = append(s.replicas, leader)
	s.leaderIndex = len(s.replicas) - 1
	return true
}

// addReplicas adds the replicas that are not known yet.
func (s *stateClient) addReplicas(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addrs {
		if !slices.Contains(s.replicas, a) {
			s.replicas = append(s.replicas, a)
		}
	}
}

// renew sends one renewal; the caller retries.
func (s *stateClient) renew(ctx context.Context, q *eelpb.RenewRequest) (*eelpb.RenewReply, error) {
	addr, c := s.leader()
	r, err := c.Renew(ctx, q)
	if err != nil {
		s.reportFailure(addr, err)
		return nil, errs.New("entry.renew", KindNoState, err)
	}
	return r, nil
}

// pullPath is the suffix of the path of Pull, whose replies are compressed since they may
// be large.
const pullPath = "/Pull"

const (
	claimTimeout       = 700 * time.Millisecond
	claimRetryInterval = 20 * time.Millisecond
)

// claim retries an operation on a claim until a leader has committed it or the context ends.
func (s *stateClient) claim(ctx context.Context, o *eelpb.ClaimOp) (*eelpb.ClaimReply, error) {
	for {
		addr, c := s.leader()
		t, cancel := context.WithTimeout(ctx, claimTimeout)
		r, err := c.Claim(t, o)
		cancel()
		if err == nil {
			return r, nil
		}
		s.reportFailure(addr, err)
		sleep(ctx, claimRetryInterval)
		if ctx.Err() != nil {
			return nil, errs.New("entry.claim", KindNoState, err)
		}
	}
}

// redirect switches to the leader that the replica at addr named, or to the next replica.
func (s *stateClient) redirect(addr, leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas[s.leaderIndex] != addr || s.setLeader(leader) {
		return
	}
	s.leaderIndex = (s.leaderIndex + 1) % len(s.replicas)
}
