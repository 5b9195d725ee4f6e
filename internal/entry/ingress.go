package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/burn"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/labstack/echo/v4"
)

const (
	// maxTries bounds how many sites one request is sent to.
	maxTries = 3
	// defaultRetryAfter is the Retry-After where no better estimate is known.
	defaultRetryAfter = 500 * time.Millisecond
	minRetryAfter     = 50 * time.Millisecond
)

// serve serves a caller's request.
func (x *Entry) serve(c echo.Context) error {
	start := x.now()
	v := x.view.Load()
	if v == nil {
		// broken gives the outcome unknown, as if the request may have run. Here it has not run.
		return x.respond(c, nil, broken("entry has no catalogue yet"))
	}
	j, status, err := x.readRequest(c, v, start)
	if err != nil {
		return c.JSON(status, wire.Failure{Error: err.Error(), Outcome: wire.NotRun, Reason: "badRequest"})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), j.deadline-x.now())
	defer cancel()
	r := x.route(ctx, v, j)
	decided := x.now()
	r = x.finalize(ctx, j, r)
	x.recordOutcome(j, r, x.now()-start)
	err = x.respond(c, j, r)
	if r.kind != resultAnswered {
		x.refusalLatencies.record(j.cls.Delivery, x.now()-decided)
	}
	return err
}

func (x *Entry) recordOutcome(j *job, r tryResult, took time.Duration) {
	o := r.outcome()
	x.recorder.Record(burn.Key{Service: j.service, Class: j.cls.Name, Policy: j.policy.Name}, burn.Sample{
		Outcome: o, Latency: took, Shifted: r.shifted, Headroom: r.headroom,
		Good: o == wire.Answered && took <= j.cls.ObjectiveMillis.Duration(),
	})
}

// readRequest validates a request and reads its whole body. On failure it returns the
// HTTP status of the response.
func (x *Entry) readRequest(c echo.Context, v *view, start time.Duration) (*job, int, error) {
	q := c.Request()
	s, n := model.ServiceID(c.Param("service")), model.ClassID(c.Param("class"))
	cls, ok := v.catalogue.Class(s, n)
	if !ok {
		return nil, http.StatusNotFound, fmt.Errorf("class %q of service %q does not exist", n, s)
	}
	j := &job{service: s, cls: cls, method: q.Method, contentType: q.Header.Get("Content-Type")}
	j.path = "/" + pathAfterClass(q.URL)
	if q.URL.RawQuery != "" {
		j.path += "?" + q.URL.RawQuery
	}
	if err := x.readHeaders(j, q.Header, v.catalogue, start); err != nil {
		return nil, http.StatusBadRequest, err
	}
	b, err := io.ReadAll(http.MaxBytesReader(c.Response(), q.Body, cls.MaxRequestBytes))
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("request is over %d bytes", cls.MaxRequestBytes)
	}
	if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("request was cut: %w", err)
	}
	j.body = b
	j.policy = steer.PickPolicy(v.catalogue, s, n, j.id)
	return j, 0, nil
}

// pathAfterClass returns the part of a path after the class, escaped as the caller sent it.
func pathAfterClass(u *url.URL) string {
	const before = 5 // "", "v1", "services", service, class
	parts := strings.SplitN(u.EscapedPath(), "/", before+1)
	if len(parts) <= before {
		return ""
	}
	return parts[before]
}

func (x *Entry) readHeaders(j *job, h http.Header, c *model.Catalogue, start time.Duration) error {
	j.id = model.RequestID(h.Get(wire.HeaderRequestID))
	if j.id == "" && j.atMostOnce() {
		return fmt.Errorf("header %s is required for class %q", wire.HeaderRequestID, j.cls.Name)
	}
	if j.id == "" {
		j.id = model.RequestID(fmt.Sprintf("%s-%x", x.o.ID, rand.Uint64()))
	}
	if err := setup.CheckID(wire.HeaderRequestID, string(j.id)); err != nil {
		return fmt.Errorf("header %w", err)
	}
	var err error
	if j.attempt, err = headerNumber(h, wire.HeaderAttempt, 1); err != nil {
		return err
	}
	d, err := headerNumber(h, wire.HeaderDeadline, uint64(j.cls.DeadlineMillis))
	if err != nil {
		return err
	}
	j.deadline = start + min(time.Duration(d)*time.Millisecond, j.cls.DeadlineMillis.Duration())
	j.home = model.RegionID(h.Get(wire.HeaderRegion))
	if j.home == "" {
		j.home = c.RegionOf(x.o.Domain)
	}
	if _, ok := c.Regions[j.home]; !ok {
		return fmt.Errorf("header %s: region %q does not exist", wire.HeaderRegion, j.home)
	}
	return nil
}

// maxHeaderNumber is the largest number that a header may hold.
const maxHeaderNumber = 1 << 32

// headerNumber parses a header with a number from 1 to maxHeaderNumber. It returns missing
// where the header is absent.
func headerNumber(h http.Header, name string, missing uint64) (uint64, error) {
	t := h.Get(name)
	if t == "" {
		return missing, nil
	}
	n, err := strconv.ParseUint(t, 10, 64)
	if err != nil || n == 0 || n > maxHeaderNumber {
		return 0, fmt.Errorf("header %s: %q is not a number from 1 to %d", name, t, uint64(maxHeaderNumber))
	}
	return n, nil
}

// route sends a request to sites until one answers. Where one of them may have run the
// request, a refusal by a later one does not make the result a refusal.
func (x *Entry) route(ctx context.Context, v *view, j *job) tryResult {
	r := x.trySites(ctx, v, j)
	if r.kind == resultRefused && j.mayHaveRun {
		return broken("a site broke off, and then: %s", r.reason).withSteering(r)
	}
	return r
}

// shouldRetry reports whether to send a request to another site, and takes the retry from
// the retry budget.
func (x *Entry) shouldRetry(ctx context.Context, j *job, r tryResult) bool {
	if ctx.Err() != nil {
		return false
	}
	retry := r.kind == resultRefused || r.kind == resultBroken && !j.atMostOnce()
	return retry && j.try < maxTries && x.budget.Withdraw()
}

// trySite sends a request to the owner of a site, which may be this VM.
func (x *Entry) trySite(ctx context.Context, j *job, s *steer.Site, p *permit) tryResult {
	headroom := spareFraction(s)
	s.Gauge.InFlight.Add(1)
	defer s.Gauge.InFlight.Add(-1)
	shifted := s.Region != j.home
	var r tryResult
	if s.Local {
		defer func() { s.Gauge.Observe(int32(x.pools.get(j.service).Load()), x.now()) }()
		r = x.serveAsOwner(ctx, j, ownerArgs{domain: s.Domain, shifted: shifted, permit: p})
	} else {
		r = x.forward(ctx, j, s, shifted, p)
	}
	p.finish(r, x.now())
	r.shifted, r.headroom = shifted, headroom
	if r.kind == resultAnswered {
		x.sizes.observe(j.service, j.cls, int64(len(r.answer.body)))
	}
	return r
}

// respond writes the final response to the caller.
func (x *Entry) respond(c echo.Context, j *job, r tryResult) error {
	h := c.Response().Header()
	h.Set(wire.HeaderOutcome, string(r.outcome()))
	if j != nil {
		h.Set(wire.HeaderRequestID, string(j.id))
		h.Set(wire.HeaderPolicy, string(j.policy.Name))
		if r.outcome() == wire.NotRun && j.cls.Delivery == model.AtMostOnce {
			h.Set(wire.HeaderClosed, "true")
		}
	}
	if x.leaving.Load() {
		h.Set("Connection", "close")
	}
	if r.kind == resultAnswered {
		h.Set(wire.HeaderTarget, string(r.target))
		return x.writeAnswer(c, r.answer)
	}
	return x.writeFailure(c, r)
}

func (x *Entry) writeAnswer(c echo.Context, a *answer) error {
	h := c.Response().Header()
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	c.Response().WriteHeader(a.status)
	_, err := c.Response().Write(a.body)
	return err
}

func (x *Entry) writeFailure(c echo.Context, r tryResult) error {
	h := c.Response().Header()
	f := wire.Failure{Error: r.reason, Outcome: r.outcome(), Reason: string(r.kind)}
	if r.kind == resultConflict {
		return c.JSON(http.StatusConflict, f)
	}
	wait := max(minRetryAfter, r.retryAfter)
	f.RetryAfterMillis = model.Millis(wait.Milliseconds())
	// maxTries also bounds the resends of a caller that tries each suggested entry once.
	f.TryEntries = x.otherEntries("", maxTries)
	h.Set("Retry-After", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	h.Set(wire.HeaderRetryAfterMillis, strconv.FormatInt(wait.Milliseconds(), 10))
	h.Set(wire.HeaderReason, string(r.kind))
	h.Set(wire.HeaderTryEntries, strings.Join(f.TryEntries, ","))
	if r.outcome() == wire.Unknown {
		return c.JSON(http.StatusGatewayTimeout, f)
	}
	return c.JSON(http.StatusServiceUnavailable, f)
}
