// Package server implements the network services of a state replica: the Twirp services
// for entries and other replicas, and the HTTP API for operators.
//
// # Usage
//
//	s, err := server.New(server.Options{Node: n, Key: k, AdminTokenHash: h, Log: l})
//	http.Serve(listener, s.Handler())
//
// # Operators' API (JSON, camelCase)
//
//	GET  /v1/catalogue           {"version": 7, "objects": [...]}
//	POST /v1/changes             {"changeId", "baseVersion", "put": [...], "remove": ["kind/name"]}
//	GET  /v1/changes/{id}        the result of a change
//	GET  /v1/status              the leader, the VMs and the targets; ?self=1 for this replica
//	POST /v1/replicas            {"action": "add|remove|replace", "id": 3, "addr": "127.0.0.1:7100"}
//
// POST requests need "Authorization: Bearer TOKEN". A replica that is not the leader
// responds with status 421 and the leader's address in the header Eel-Leader.
package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/gzhttp"
	"github.com/eelgrassroad/eelgrassroad/internal/lease"
	"github.com/eelgrassroad/eelgrassroad/internal/node"
	"github.com/eelgrassroad/eelgrassroad/internal/poison"
	"github.com/eelgrassroad/eelgrassroad/internal/quota"
	"github.com/eelgrassroad/eelgrassroad/internal/raft"
	"github.com/eelgrassroad/eelgrassroad/internal/state"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	"github.com/twitchtv/twirp"
)

// Kind classifies the errors of the package.
type Kind string

// The kinds of errors.
const (
	KindInvalid        Kind = "invalid"
	KindForbidden      Kind = "forbidden"
	KindChangeIDReused Kind = "changeIdReused"
	KindNotLeader      Kind = "notLeader"
	KindOutcomeUnknown Kind = "outcomeUnknown"
	// KindExpired: an order has had no effect and never will, since its sender may have left before.
	KindExpired Kind = "expired"
	// KindOvertaken: an order has had no effect, since another one came before it.
	KindOvertaken Kind = "overtaken"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	maxLongPollTimeout = 30 * time.Second
	commitTimeout      = 3 * time.Second
	// ensureDomainsInterval is the interval at which the leader adds missing regions and
	// failure domains to the catalogue.
	ensureDomainsInterval = 100 * time.Millisecond
	// renewalsPerReplicaList is the number of lease renewals per reply that lists the replicas.
	renewalsPerReplicaList = 8
)

// Options configure a server.
type Options struct {
	Node *node.Node
	Key  *auth.Key
	// AdminTokenHash is the SHA-256 of the admin token, which permits every change.
	AdminTokenHash string
	LeaseDuration  time.Duration
	Log            log.Logger
	// Addr is the address at which other replicas reach this one through Peers.
	Addr  string
	Peers *Peers
	// DomainRegions returns the region of each failure domain that the leader adds to the
	// catalogue. If nil, operators add regions and failure domains.
	DomainRegions func() map[model.FailureDomainID]model.RegionID
	// Heartbeat is the interval between the announcements of a target. If 0, targets
	// announce themselves to the entries instead.
	Heartbeat time.Duration
	// Allowances are the bounds within which the workspaces' allowances are counted.
	// FallbackTimeout is how long an entry that does not reach the leader admits requests
	// with keys.
	Allowances      quota.Bounds
	FallbackTimeout time.Duration
}

// Server serves the requests of entries, replicas and operators.
type Server struct {
	o Options
	e *echo.Echo

	mu   sync.Mutex
	term raft.Term
	// ledgersFrom is when the ledgers of the term began.
	ledgersFrom time.Duration
	grantor     *lease.Grantor
	ledger      *quota.Ledger
	catalogue   *model.Catalogue
	registry    registry
	// suspects is the evidence on which requests end targets, at the leader.
	suspects *poison.Ledger
	// refusedBy is an entry that would refuse the catalogue for a quarantine, or "".
	refusedBy model.VMID
	// newEvidence receives a value when there is new evidence.
	newEvidence chan struct{}
	batches     batcher
	fences      fences
	formats     formats
	g           *group.Group
	// now is the replica's clock; tests replace it.
	now func() time.Duration
}

// New returns a server for a replica.
func New(o Options) (*Server, error) {
	s := &Server{o: o, now: o.Node.Now, e: echo.New(), newEvidence: make(chan struct{}, 1), batches: batcher{pending: make(chan struct{}, 1)}}
	s.refresh()
	s.routes()
	s.g = group.New(context.Background())
	s.g.Go(s.commitBatches)
	s.g.Go(s.decideLoop)
	if o.DomainRegions != nil {
		s.g.Every(ensureDomainsInterval, s.ensureDomains)
	}
	if o.Heartbeat > 0 {
		s.g.Every(heartbeatReportInterval, s.maintainTargets)
	}
	return s, nil
}

// Close stops the background tasks.
func (s *Server) Close() error { return s.g.Close() }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.e }

func (s *Server) routes() {
	r := eelpb.NewReplicaServer(replicaService{s})
	t := eelpb.NewStateServer(stateService{s})
	s.e.Any(r.PathPrefix()+"*", echo.WrapHandler(s.o.Key.Require(gzhttp.Handler(r))))
	s.e.Any(t.PathPrefix()+"*", echo.WrapHandler(s.o.Key.Require(gzhttp.Handler(t))))
	s.e.GET(wire.PathCatalogue, s.getCatalogue)
	s.e.POST(wire.PathChanges, s.postChange)
	s.e.GET(wire.PathChanges+"/:id", s.getChange)
	s.e.GET(wire.PathStatus, s.getStatus)
	s.e.POST(wire.PathReplicas, s.postReplica)
	s.e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	s.e.GET("/readyz", s.ready)
	s.e.GET("/debug/vars", echo.WrapHandler(expvarHandler()))
}

func (s *Server) ready(c echo.Context) error {
	if s.o.Node.Status().Leader == 0 {
		return c.String(http.StatusServiceUnavailable, "no leader is known\n")
	}
	return c.NoContent(http.StatusOK)
}

// Metrics counts the commits of cold times of targets that were warming up: ColdAgain those that became
// cold again, ColdUnknown those whose former announcement this replica had not received.
type Metrics struct {
	ColdAgain   int64 `json:"coldAgain"`
	ColdUnknown int64 `json:"coldUnknown"`
}

// Metrics returns the counts since the start of the replica.
func (s *Server) Metrics() Metrics {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	return Metrics{ColdAgain: s.registry.coldAgain, ColdUnknown: s.registry.coldUnknown}
}

// catalogueVersion returns the version of the last catalogue built, or 0 before the first.
func (s *Server) catalogueVersion() model.Version {
	if s.catalogue == nil {
		return 0
	}
	return s.catalogue.Version
}

// refresh builds the catalogue if the state machine has a newer one.
func (s *Server) refresh() {
	if s.catalogue != nil && s.catalogue.Version == s.o.Node.Machine().Version() {
		return
	}
	c := state.ApplyDelta(s.catalogue, s.o.Node.Machine().Delta(uint64(s.catalogueVersion())))
	state.LogInvalid(s.o.Log, s.catalogue, c)
	s.catalogue = c
}

// leaderState returns the lease grantor of the current term and the catalogue, and reports
// whether this replica leads. The caller holds mu.
func (s *Server) leaderState() (*lease.Grantor, *model.Catalogue, bool) {
	t, won, ok := s.o.Node.Leadership()
	if !ok {
		return nil, nil, false
	}
	s.refresh()
	if s.grantor == nil || s.term != t {
		s.term, s.ledgersFrom = t, s.o.Node.Now()
		s.grantor = lease.New(lease.Options{Duration: s.o.LeaseDuration}, won, uint64(t))
		s.ledger = quota.NewLedger(quota.LedgerOptions{Bounds: s.o.Allowances, FallbackTimeout: s.o.FallbackTimeout, StartedAt: s.o.Node.Now()})
		s.suspects = poison.NewLedger(s.catalogue.Quarantine, s.o.Node.Now())
	}
	return s.grantor, s.catalogue, true
}

type replicaService struct{ s *Server }

// Step receives consensus messages.
func (r replicaService) Step(_ context.Context, q *eelpb.StepRequest) (*eelpb.StepReply, error) {
	r.s.o.Node.Step(q.Messages)
	return &eelpb.StepReply{}, nil
}

// Identify returns the identity of the replica.
func (r replicaService) Identify(context.Context, *eelpb.IdentifyRequest) (*eelpb.IdentifyReply, error) {
	return r.s.o.Node.Identify(), nil
}

type stateService struct{ s *Server }

// MetaLeader is the Twirp error's meta key that carries the leader's address.
const MetaLeader = "leader"

func (s *Server) notLeader() error {
	return twirp.NewError(twirp.FailedPrecondition, "replica is not the leader").
		WithMeta(MetaLeader, s.o.Node.Status().LeaderAddr)
}

// Renew extends an entry's lease.
func (t stateService) Renew(_ context.Context, q *eelpb.RenewRequest) (*eelpb.RenewReply, error) {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	g, c, ok := s.leaderState()
	if !ok {
		return nil, s.notLeader()
	}
	a, err := g.Renew(q, c, s.o.Node.Now())
	if errs.Is(err, lease.KindUnknownDomain) {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.AlreadyExists, err.Error())
	}
	s.observeFormat(q)
	s.addCredits(q, a, c)
	s.recordEvidence(q)
	s.permitTrials(q, a)
	// A process that was suspended meanwhile must not grant a lease for a past term.
	if _, _, ok := s.o.Node.Leadership(); !ok {
		return nil, s.notLeader()
	}
	if q.Sequence%renewalsPerReplicaList == 1 {
		a.Replicas = s.o.Node.Addrs()
	}
	return a, nil
}

// Pull is a long poll for the catalogue's changes after a version. Without a change it waits
// for the requested time, at most maxLongPollTimeout.
func (t stateService) Pull(ctx context.Context, q *eelpb.PullRequest) (*eelpb.PullReply, error) {
	m := t.s.o.Node.Machine()
	wait := min(time.Duration(q.WaitMs)*time.Millisecond, maxLongPollTimeout)
	changed := m.Changed()
	if uint64(m.Version()) > q.Version || wait <= 0 {
		return m.Delta(q.Version, q.Without...), nil
	}
	w := time.NewTimer(wait)
	defer w.Stop()
	select {
	case <-changed:
	case <-w.C:
	case <-ctx.Done():
	case <-t.s.o.Node.Done():
	}
	if uint64(m.Version()) < q.Version {
		return nil, twirp.NewError(twirp.Unavailable, "replica is behind the version asked for")
	}
	return m.Delta(q.Version, q.Without...), nil
}

// Claim commits a claim operation.
func (t stateService) Claim(ctx context.Context, q *eelpb.ClaimOp) (*eelpb.ClaimReply, error) {
	if !t.s.o.Node.IsLeader() {
		return nil, t.s.notLeader()
	}
	r, err := t.s.o.Node.Propose(ctx, &eelpb.Command{Claims: []*eelpb.ClaimOp{q}})
	if errs.Is(err, node.KindNotLeader) {
		return nil, t.s.notLeader()
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return r.Claims[0], nil
}
