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

// stateClient asks the state replicas, the leader first.
type stateClient struct {
	mu       sync.Mutex
	replicas []string
	at       int
	c        *http.Client
	clients  map[string]eelpb.State
	meter    byteMeter
}

func newStateClient(o Options) *stateClient {
	s := &stateClient{replicas: slices.Clone(o.Replicas), clients: map[string]eelpb.State{}}
	s.c = &http.Client{Transport: gzhttp.Transport(o.Key.Transport(newTransport(s.meter.dialer(o.Dial))), gzhttp.CompressedResponses(pullPath))}
	return s
}

// current returns the replica that is thought to lead.
func (s *stateClient) current() (string, eelpb.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client(s.replicas[s.at])
}

// alive returns a channel with the replicas that give a sign of life within the
// time, in the order in which they do.
func (s *stateClient) alive(ctx context.Context, d time.Duration) <-chan string {
	s.mu.Lock()
	list := slices.Clone(s.replicas)
	s.mu.Unlock()
	out := make(chan string, len(list))
	var g errgroup.Group
	for _, a := range list {
		g.Go(func() error {
			c, cancel := context.WithTimeout(ctx, d)
			defer cancel()
			err := probe.Get(c, s.c, "http://"+a+wire.PathHealth)
			if err == nil {
				out <- a
			}
			return err
		})
	}
	go func() {
		// A replica that gives no sign of life is just not in the channel.
		_ = g.Wait()
		close(out)
	}()
	return out
}

// nearest returns the replica that gives a sign of life first, other than the one
// that failed last if there is another, or an empty string.
func (s *stateClient) nearest(ctx context.Context, d time.Duration, failed string) string {
	last := ""
	for a := range s.alive(ctx, d) {
		if a != failed {
			return a
		}
		last = a
	}
	return last
}

// most tells whether a number of replicas is more than half of those that are known.
func (s *stateClient) most(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n > len(s.replicas)/2
}

// of returns the replica at an address.
func (s *stateClient) of(addr string) eelpb.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, c := s.client(addr)
	return c
}

func (s *stateClient) client(addr string) (string, eelpb.State) {
	c, ok := s.clients[addr]
	if !ok {
		c = eelpb.NewStateProtobufClient("http://"+addr, s.c)
		s.clients[addr] = c
	}
	return addr, c
}

// failed turns to the leader that the error names, or to the next replica.
func (s *stateClient) failed(addr string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas[s.at] != addr {
		return
	}
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.FailedPrecondition {
		if s.turnTo(t.Meta(server.MetaLeader)) {
			return
		}
	}
	s.at = (s.at + 1) % len(s.replicas)
}

func (s *stateClient) turnTo(leader string) bool {
	if leader == "" || leader == s.replicas[s.at] {
		return false
	}
	for i, r := range s.replicas {
		if r == leader {
			s.at = i
			return true
		}
	}
	s.replicas = append(s.replicas, leader)
	s.at = len(s.replicas) - 1
	return true
}

// learn adds replicas that the leader named.
func (s *stateClient) learn(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addrs {
		if !slices.Contains(s.replicas, a) {
			s.replicas = append(s.replicas, a)
		}
	}
}

// renew asks once; the caller asks again.
func (s *stateClient) renew(ctx context.Context, q *eelpb.RenewRequest) (*eelpb.RenewReply, error) {
	addr, c := s.current()
	r, err := c.Renew(ctx, q)
	if err != nil {
		s.failed(addr, err)
		return nil, errs.New("entry.renew", KindNoState, err)
	}
	return r, nil
}

// pullPath ends the path of the call whose answers may be large.
const pullPath = "/Pull"

const (
	claimTimeout = 700 * time.Millisecond
	claimPause   = 20 * time.Millisecond
)

// claim asks until a leader has committed the operation or the context ends.
func (s *stateClient) claim(ctx context.Context, o *eelpb.ClaimOp) (*eelpb.ClaimReply, error) {
	for {
		addr, c := s.current()
		t, cancel := context.WithTimeout(ctx, claimTimeout)
		r, err := c.Claim(t, o)
		cancel()
		if err == nil {
			return r, nil
		}
		s.failed(addr, err)
		sleep(ctx, claimPause)
		if ctx.Err() != nil {
			return nil, errs.New("entry.claim", KindNoState, err)
		}
	}
}

// misdirected turns to the leader that a replica named, or to the next replica.
func (s *stateClient) misdirected(addr, leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas[s.at] != addr || s.turnTo(leader) {
		return
	}
	s.at = (s.at + 1) % len(s.replicas)
}
