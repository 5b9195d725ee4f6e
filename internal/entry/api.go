package entry

import (
	"bytes"
	"cmp"
	"expvar"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/burn"
	"github.com/eelgrassroad/eelgrassroad/internal/pool"
	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/labstack/echo/v4"
)

func (x *Entry) routes() {
	x.e.HideBanner = true
	x.e.GET(wire.PathEntries, x.listEntries)
	x.e.Any(wire.PathServices+"/:service/:class", x.serve)
	x.e.Any(wire.PathServices+"/:service/:class/*", x.serve)
	x.e.POST(wire.PathAnnounce, x.announce)
	x.e.POST(pathForward, x.forwardHandler())
	x.e.POST(pathRemainder, x.remainderHandler())
	x.e.GET(wire.PathBurn, func(c echo.Context) error { return c.JSON(http.StatusOK, x.recorder.Snapshot()) })
	x.e.GET(wire.PathVM, func(c echo.Context) error { return c.JSON(http.StatusOK, x.Status()) })
	for _, p := range []string{wire.PathCatalogue, wire.PathChanges, wire.PathChanges + "/:id", wire.PathStatus, wire.PathReplicas} {
		x.e.Any(p, x.relay)
	}
	x.e.GET(wire.PathHealth, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	x.e.GET("/readyz", x.ready)
	x.e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
}

func (x *Entry) ready(c echo.Context) error {
	if !x.leaseValid() || x.leaving.Load() {
		return c.String(http.StatusServiceUnavailable, "no lease is held, or the entry is leaving\n")
	}
	return c.NoContent(http.StatusOK)
}

// ShareStatus is this VM's share of one resource.
type ShareStatus struct {
	Resource    string  `json:"resource"`
	Share       int64   `json:"share"`
	Utilization float64 `json:"use"`
}

// Status is the state that an entry reports to operators.
type Status struct {
	ID            model.VMID            `json:"id"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Version       model.Version         `json:"version"`
	LeaseMillis   model.Millis          `json:"leaseMillis"`
	// ConfirmationAgeMillis is how long ago the leader confirmed that the version is the
	// newest, or below 0 where it never did.
	ConfirmationAgeMillis model.Millis `json:"proofMillis"`
	Leaving               bool         `json:"leaving"`
	// InvalidObjects is the number of objects that the catalogue in force leaves out.
	InvalidObjects int           `json:"invalidObjects,omitempty"`
	InFlight       int           `json:"inFlight"`
	Shares         []ShareStatus `json:"shares"`
}

// Status returns the entry's state.
func (x *Entry) Status() Status {
	x.lease.mu.Lock()
	left := max(0, x.lease.expiresAt-x.now())
	x.lease.mu.Unlock()
	s := Status{
		ID: x.o.ID, FailureDomain: x.o.Domain, Version: x.store.version(), Leaving: x.leaving.Load(),
		LeaseMillis: model.Millis(left.Milliseconds()), InFlight: x.pools.inFlight(),
	}
	s.ConfirmationAgeMillis = -1
	if ago, ok := x.ConfirmationAge(); ok {
		s.ConfirmationAgeMillis = model.Millis(ago.Milliseconds())
	}
	if c := x.store.catalogue(); c != nil {
		s.InvalidObjects = len(c.Invalid)
	}
	shares, _ := x.limits.report(x.now())
	for _, r := range shares {
		s.Shares = append(s.Shares, ShareStatus{Resource: r.Resource, Share: r.Amount, Utilization: x.limits.get(r.Resource).Utilization(x.now())})
	}
	slices.SortFunc(s.Shares, func(a, b ShareStatus) int { return cmp.Compare(a.Resource, b.Resource) })
	return s
}

// Metrics is what an entry publishes under /debug/vars.
type Metrics struct {
	Status
	Counts map[string]burn.Counts `json:"counts"`
	// Refusals is the latency of refusals by the delivery of their classes.
	Refusals map[model.Delivery]RefusalLatency `json:"refusals"`
	// ControlBytes counts since the start.
	ControlBytes ControlBytes `json:"controlBytes"`
}

// Metrics returns the entry's state, and its counts by service, class and policy.
func (x *Entry) Metrics() Metrics {
	m := Metrics{
		Status: x.Status(), Counts: map[string]burn.Counts{},
		Refusals: x.refusalLatencies.latencies(), ControlBytes: x.state.meter.bytes(),
	}
	for _, s := range x.recorder.Snapshot() {
		m.Counts[fmt.Sprintf("%s/%s/%s", s.Service, s.Class, s.Policy)] = s.Counts
	}
	return m
}

// OwnedSlots returns how many requests may be in progress at the targets that the entry owns.
func (x *Entry) OwnedSlots() int {
	n := 0
	x.pools.each(func(_ model.ServiceID, p *pool.Pool) {
		for _, l := range p.Loads() {
			n += l.Slots
		}
	})
	return n
}

// Burn returns the request counts of the entry.
func (x *Entry) Burn() []burn.Series { return x.recorder.Snapshot() }

// listEntries responds with the entries that a caller should use.
func (x *Entry) listEntries(c echo.Context) error {
	v := x.view.Load()
	if v == nil {
		return c.JSON(http.StatusServiceUnavailable, wire.Failure{Error: "entry has no catalogue yet"})
	}
	home := model.RegionID(c.QueryParam("region"))
	if home == "" {
		home = v.catalogue.RegionOf(x.o.Domain)
	}
	if _, ok := v.catalogue.Regions[home]; !ok {
		return c.JSON(http.StatusBadRequest, wire.Failure{Error: "region \"" + string(home) + "\" does not exist"})
	}
	a := wire.Entries{TTLMillis: model.Millis(x.o.ListLife.Milliseconds())}
	a.Entries = x.rank(v.catalogue, home, c.RealIP(), false)
	return c.JSON(http.StatusOK, a)
}

// rank lists the active entries, nearest to a region first. A hash of the caller orders
// entries at the same distance, so that callers spread over them. Entries of drained failure
// domains are included only where drained is set.
func (x *Entry) rank(c *model.Catalogue, home model.RegionID, caller string, drained bool) []wire.Entry {
	var out []wire.Entry
	for _, r := range x.directory.reports() {
		if r.VM.Leaving || r.VM.Id == string(x.o.ID) && x.leaving.Load() {
			continue
		}
		d := model.FailureDomainID(r.VM.FailureDomain)
		if !drained && c.Drained(d, "") {
			continue
		}
		out = append(out, wire.Entry{ID: model.VMID(r.VM.Id), Addr: r.VM.Addr, FailureDomain: d, Region: c.RegionOf(d)})
	}
	slices.SortFunc(out, func(a, b wire.Entry) int {
		return cmp.Or(
			cmp.Compare(regionDelay(c, home, a.Region), regionDelay(c, home, b.Region)),
			cmp.Compare(hash(caller, string(a.ID)), hash(caller, string(b.ID))),
		)
	})
	return out
}

func regionDelay(c *model.Catalogue, from, to model.RegionID) time.Duration {
	if from == to {
		return 0
	}
	l, ok := c.Link(from, to)
	if !ok {
		return time.Hour
	}
	return max(1, l.DelayMillis.Duration())
}

func hash(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	return h.Sum64()
}

// otherEntries returns the addresses of at most maxCount other active entries, nearest first.
func (x *Entry) otherEntries(id model.TargetID, maxCount int) []string {
	v := x.view.Load()
	if v == nil {
		return nil
	}
	var out []string
	for _, e := range x.rank(v.catalogue, v.catalogue.RegionOf(x.o.Domain), string(id), false) {
		if e.ID != x.o.ID && len(out) < maxCount {
			out = append(out, e.Addr)
		}
	}
	return out
}

const (
	maxRelayBytes = 16 << 20
	relayTimeout  = 5 * time.Second
)

// relay forwards an operator's call to the leading replica and retries until relayTimeout.
func (x *Entry) relay(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxRelayBytes))
	if err != nil {
		return c.JSON(http.StatusBadRequest, wire.Failure{Error: err.Error()})
	}
	until := x.now() + relayTimeout
	for {
		addr, _ := x.state.leader()
		res, err := x.relayTo(c, addr, body)
		if err == nil && res.StatusCode != http.StatusMisdirectedRequest {
			defer res.Body.Close()
			return c.Stream(res.StatusCode, res.Header.Get("Content-Type"), res.Body)
		}
		if err == nil {
			x.state.redirect(addr, res.Header.Get(wire.HeaderLeader))
			res.Body.Close()
		} else {
			x.state.reportFailure(addr, err)
		}
		if x.now() > until || c.Request().Context().Err() != nil {
			return c.JSON(http.StatusServiceUnavailable, wire.Failure{Error: "no leading replica answers; the outcome is unknown", Outcome: wire.Unknown})
		}
		sleep(c.Request().Context(), retryInterval)
	}
}

func (x *Entry) relayTo(c echo.Context, addr string, body []byte) (*http.Response, error) {
	r := c.Request()
	q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", r.Header.Get("Authorization"))
	res, err := x.state.httpClient.Do(q)
	if err != nil {
		return nil, err
	}
	if err := reply.Check(res.StatusCode); err != nil {
		res.Body.Close()
		return nil, err
	}
	return res, nil
}
