package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// slowState is a replica that sends its whole catalogue after a delay, as over a slow link.
type slowState struct {
	eelpb.State
	delay       time.Duration
	inFlight    atomic.Int64
	maxInFlight atomic.Int64
}

func (s *slowState) Renew(context.Context, *eelpb.RenewRequest) (*eelpb.RenewReply, error) {
	return nil, errors.New("no leader")
}

func (s *slowState) Pull(ctx context.Context, q *eelpb.PullRequest) (*eelpb.PullReply, error) {
	n := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.maxInFlight.Store(max(s.maxInFlight.Load(), n))
	wait := s.delay
	if q.Version > 0 {
		wait = time.Duration(q.WaitMs) * time.Millisecond
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	}
	return &eelpb.PullReply{Version: 1, Snapshot: true, Objects: []*eelpb.Object{
		{Kind: "region", Name: "a", Owner: "o", Spec: []byte("{}"), Version: 1},
	}}, nil
}

// An entry must get its first catalogue although the transfer is slow, other replicas do not
// answer, or both. It must not fill its link with several copies of the catalogue at once.
func TestFirstCatalogue(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		dead  int
		limit time.Duration
	}{
		{"at once", 0, 0, time.Second},
		{"slow link", 1200 * time.Millisecond, 0, 3 * time.Second},
		{"replicas down", 0, 4, 2 * time.Second},
		{"slow link and replicas down", 1200 * time.Millisecond, 4, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := auth.NewKey("k")
			s := &slowState{delay: tt.delay}
			m := http.NewServeMux()
			m.Handle("/", k.Require(eelpb.NewStateServer(s)))
			m.HandleFunc(wire.PathHealth, func(http.ResponseWriter, *http.Request) {})
			srv := httptest.NewServer(m)
			defer srv.Close()
			var replicas []string
			for range tt.dead {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				// The kernel accepts connections to it, and no process answers them.
				defer l.Close()
				replicas = append(replicas, l.Addr().String())
			}
			for range 5 {
				replicas = append(replicas, srv.Listener.Addr().String())
			}
			start := time.Now()
			x, err := New(Options{ID: "v", Addr: "127.0.0.1:1", Domain: "a-1", Replicas: replicas, Key: k, Log: log.NewNopLogger(), Dial: (&net.Dialer{}).DialContext})
			assert.NilError(t, err)
			for x.Catalogue() == nil && time.Since(start) < tt.limit {
				time.Sleep(5 * time.Millisecond)
			}
			elapsed := time.Since(start)
			assert.Assert(t, x.Catalogue() != nil, "no catalogue after %s", elapsed)
			assert.Assert(t, s.maxInFlight.Load() <= 2, "%d copies at once", s.maxInFlight.Load())
			assert.NilError(t, x.Close())
		})
	}
}

// A reply with an object that is not valid puts the other objects in force. Refusing the reply
// would keep every later change from taking effect.
func TestInvalidObjectInReply(t *testing.T) {
	var s catalogueStore
	reply := func(v uint64, name string) *eelpb.PullReply {
		return &eelpb.PullReply{Version: v, Snapshot: v == 1, Objects: []*eelpb.Object{
			{Kind: "target", Name: "127.0.5.1:9100", Owner: "o", Spec: []byte("{}"), Version: v},
			{Kind: "region", Name: name, Owner: "o", Spec: []byte("{}"), Version: v},
		}}
	}
	for v, name := range []string{"a", "b", "c"} {
		var b bytes.Buffer
		assert.Assert(t, s.apply(model.Version(v), reply(uint64(v+1), name), log.NewJSONLogger(&b)))
		assert.Equal(t, strings.Count(b.String(), "invalid object left out"), 1, b.String())
	}
	assert.Equal(t, len(s.catalogue().Regions), 3)
	assert.Equal(t, len(s.catalogue().Invalid), 1)
	var b bytes.Buffer
	assert.Assert(t, s.apply(3, &eelpb.PullReply{Version: 4}, log.NewJSONLogger(&b)))
	assert.Equal(t, b.String(), "", "logged again")
}

// An entry must poll the nearest replica that works: the first to answer a probe, and
// another one after a failure.
func TestNearestReplica(t *testing.T) {
	const probe = 500 * time.Millisecond
	k := auth.NewKey("k")
	newReplica := func(delay time.Duration) string {
		m := http.NewServeMux()
		m.HandleFunc(wire.PathHealth, func(http.ResponseWriter, *http.Request) { time.Sleep(delay) })
		srv := httptest.NewServer(m)
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	far, closest, middle := newReplica(200*time.Millisecond), newReplica(0), newReplica(100*time.Millisecond)
	silent := newReplica(2 * probe)
	tests := []struct {
		name     string
		replicas []string
		failed   string
		want     string
	}{
		{"first to answer", []string{far, closest, middle}, "", closest},
		{"next one after a failure", []string{far, closest, middle}, closest, middle},
		{"failed one where no other answers", []string{closest, silent}, closest, closest},
		{"none answers in time", []string{silent}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStateClient(Options{Replicas: tt.replicas, Key: k, Dial: (&net.Dialer{}).DialContext})
			assert.Equal(t, s.nearest(context.Background(), probe, tt.failed), tt.want)
		})
	}
}

// versionState is a replica whose catalogue has a given version.
type versionState struct {
	eelpb.State
	version uint64
}

func (s versionState) Renew(context.Context, *eelpb.RenewRequest) (*eelpb.RenewReply, error) {
	return nil, errors.New("no leader")
}

func (s versionState) Pull(ctx context.Context, q *eelpb.PullRequest) (*eelpb.PullReply, error) {
	if q.WaitMs > 0 {
		<-ctx.Done()
	}
	return &eelpb.PullReply{Version: s.version, Snapshot: q.Version == 0, Objects: []*eelpb.Object{
		{Kind: "region", Name: "a", Owner: "o", Spec: []byte("{}"), Version: s.version},
	}}, nil
}

// An entry starts while there is no leader, and the replica that answers first lags. The
// entry must rely on a catalogue only after a majority of the replicas had nothing newer.
func TestFirstCatalogueMajorityRead(t *testing.T) {
	k := auth.NewKey("k")
	newReplica := func(version uint64, delay time.Duration) string {
		m := http.NewServeMux()
		m.Handle("/", k.Require(eelpb.NewStateServer(versionState{version: version})))
		m.HandleFunc(wire.PathHealth, func(http.ResponseWriter, *http.Request) { time.Sleep(delay) })
		srv := httptest.NewServer(m)
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	const delay = 80 * time.Millisecond
	tests := []struct {
		name         string
		replicas     []string
		version      model.Version
		majorityRead bool
	}{
		{"first replica lags", []string{newReplica(5, 0), newReplica(9, delay), newReplica(8, 2*delay)}, 9, true},
		{"one of three does not answer", []string{newReplica(5, 0), newReplica(9, delay), silent.Addr().String()}, 9, true},
		{"two of three do not answer", []string{newReplica(5, 0), silent.Addr().String(), "127.0.0.1:1"}, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x, err := New(Options{ID: "v", Addr: "127.0.0.1:1", Domain: "a-1", Replicas: tt.replicas, Key: k, Log: log.NewNopLogger(), Dial: (&net.Dialer{}).DialContext})
			assert.NilError(t, err)
			defer x.Close()
			for start := time.Now(); time.Since(start) < majorityReadTimeout && !x.MajorityRead(); {
				time.Sleep(5 * time.Millisecond)
			}
			assert.Equal(t, x.MajorityRead(), tt.majorityRead)
			assert.Equal(t, x.Catalogue().Version, tt.version)
		})
	}
}

// leaderState is a leader with version 1 of the catalogue, and version 2 from a time on, which takes
// a while to transfer, as over a full link.
type leaderState struct {
	eelpb.State
	changed  atomic.Bool
	transfer time.Duration
	pulls    atomic.Int64
}

func (s *leaderState) version() uint64 {
	if s.changed.Load() {
		return 2
	}
	return 1
}

func (s *leaderState) Renew(context.Context, *eelpb.RenewRequest) (*eelpb.RenewReply, error) {
	return &eelpb.RenewReply{Version: s.version(), LeaseMs: 2500, Grant: 1, DirectoryFull: true}, nil
}

func (s *leaderState) Pull(ctx context.Context, q *eelpb.PullRequest) (*eelpb.PullReply, error) {
	v := s.version()
	if v > 1 && q.Version > 0 {
		s.pulls.Add(1)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(s.transfer):
		}
	}
	return &eelpb.PullReply{Version: v, Snapshot: true, Objects: []*eelpb.Object{
		{Kind: "region", Name: "a", Owner: "o", Spec: []byte("{}"), Version: v},
	}}, nil
}

// frozenState is a replica that serves the first catalogue and then answers no more.
type frozenState struct{ eelpb.State }

func (frozenState) Renew(context.Context, *eelpb.RenewRequest) (*eelpb.RenewReply, error) {
	return nil, errors.New("no leader")
}

func (frozenState) Pull(ctx context.Context, q *eelpb.PullRequest) (*eelpb.PullReply, error) {
	if q.Version > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return versionState{version: 1}.Pull(ctx, q)
}

// The replica that an entry polls is frozen, so that only the renewals tell of a change, and the
// change takes longer to transfer than a renewal may take. It must be in force in time, and must not
// be transferred again and again.
func TestLargeChangeWhilePolledReplicaIsFrozen(t *testing.T) {
	const (
		inForce = 3 * time.Second
		renewal = 800 * time.Millisecond
	)
	for _, transfer := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(transfer.String(), func(t *testing.T) {
			k, leader := auth.NewKey("k"), &leaderState{transfer: transfer}
			newReplica := func(s eelpb.State, delay time.Duration) string {
				m := http.NewServeMux()
				m.Handle("/", k.Require(eelpb.NewStateServer(s)))
				m.HandleFunc(wire.PathHealth, func(http.ResponseWriter, *http.Request) { time.Sleep(delay) })
				srv := httptest.NewServer(m)
				t.Cleanup(srv.CloseClientConnections)
				return srv.Listener.Addr().String()
			}
			replicas := []string{newReplica(leader, 100*time.Millisecond), newReplica(frozenState{}, 0)}
			x, err := New(Options{
				ID: "v", Addr: "127.0.0.1:1", Domain: "a-1", Replicas: replicas, Key: k, Log: log.NewNopLogger(), Dial: (&net.Dialer{}).DialContext,
				RenewInterval: renewal, LongPollTimeout: 4 * time.Second,
			})
			assert.NilError(t, err)
			defer x.Close()
			for from := time.Now(); !x.leaseValid() && time.Since(from) < inForce; {
				time.Sleep(5 * time.Millisecond)
			}
			assert.Assert(t, x.leaseValid())
			// By then the entry polls the frozen replica.
			time.Sleep(2 * replicaProbeTimeout)
			leader.changed.Store(true)
			from := time.Now()
			for x.Catalogue().Version < 2 && time.Since(from) < inForce {
				time.Sleep(5 * time.Millisecond)
			}
			assert.Equal(t, x.Catalogue().Version, model.Version(2), "not in force after %s, after %d transfers", time.Since(from), leader.pulls.Load())
			assert.Equal(t, leader.pulls.Load(), int64(1))
		})
	}
}
