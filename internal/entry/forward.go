package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/probe"
	"github.com/eelgrassroad/eelgrassroad/internal/reply"
	"github.com/eelgrassroad/eelgrassroad/internal/steer"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
	"github.com/labstack/echo/v4"
)

// An ingress entry forwards a request to its owner by plain HTTP, signed with the
// deployment's key.
const (
	pathForward      = "/internal/v1/hop"
	headerService    = "Eel-Hop-Service"
	headerClass      = "Eel-Hop-Class"
	headerMethod     = "Eel-Hop-Method"
	headerPath       = "Eel-Hop-Path"
	headerDomain     = "Eel-Hop-Failure-Domain"
	headerShifted    = "Eel-Hop-Shifted"
	headerTry        = "Eel-Hop-Try"
	headerVerdict    = "Eel-Hop-Verdict"
	headerStatus     = "Eel-Hop-Status"
	headerLoad       = "Eel-Hop-Load"
	headerRetryAfter = "Eel-Hop-Retry-After-Millis"
)

// forward sends a request to the owner of a site.
func (x *Entry) forward(ctx context.Context, j *job, s *steer.Site, shifted bool, p *permit) tryResult {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr+pathForward, bytes.NewReader(j.body))
	if err != nil {
		return refused(0, "hop cannot be made: %v", err)
	}
	x.setForwardHeaders(q.Header, j, s, shifted)
	if p != nil && p.inbound != nil {
		q.Header.Set(headerReserved, strconv.FormatInt(p.answerBytes, 10))
	}
	o := probe.Options{
		Interval: probeAfter + s.RTT, ProbeTimeout: probeAfter + s.RTT,
		Probe: func(ctx context.Context) error { return x.ping(ctx, s) },
	}
	v, err := probe.Do(ctx, o, func(ctx context.Context) (tryResult, error) { return x.sendForward(q.WithContext(ctx), j, s, p), nil })
	if err != nil {
		s.Gauge.Eject(x.now() + x.leaseDuration())
		return broken("owner %q: %v", s.VM, err)
	}
	return v
}

// probeAfter is how long an owner may send nothing before it is probed, and the timeout of
// the probe; the round-trip time to the owner is added to both.
const probeAfter = 250 * time.Millisecond

// ping probes an owner, unless a response of it arrived within probeAfter.
func (x *Entry) ping(ctx context.Context, s *steer.Site) error {
	if s.Gauge.ObservedWithin(probeAfter, x.now()) {
		return nil
	}
	return probe.Get(ctx, x.peerClient, "http://"+s.Addr+wire.PathHealth)
}

// sendForward sends a forwarded request and reads the owner's whole response.
func (x *Entry) sendForward(q *http.Request, j *job, s *steer.Site, p *permit) tryResult {
	ctx := q.Context()
	res, err := x.peerClient.Do(q)
	if err != nil {
		return broken("owner %q: %v", s.VM, err)
	}
	defer res.Body.Close()
	if n, err := strconv.ParseInt(res.Header.Get(headerLoad), 10, 32); err == nil {
		s.Gauge.Observe(int32(n), x.now())
	}
	b, err := readWhole(res, res.Body, j.cls.MaxAnswerBytes+headerBytes)
	if err != nil {
		return broken("answer of owner %q: %v", s.VM, err)
	}
	if res.Header.Get(headerRemainder) != "" {
		if b, err = x.fetchRemainder(ctx, s, p, res.Header, b, j.cls.MaxAnswerBytes); err != nil {
			return broken("rest of the answer of owner %q: %v", s.VM, err)
		}
	}
	return x.readForwardResponse(j, res, b)
}

func (x *Entry) setForwardHeaders(h http.Header, j *job, s *steer.Site, shifted bool) {
	h.Set(headerService, string(j.service))
	h.Set(headerClass, string(j.cls.Name))
	h.Set(headerMethod, j.method)
	h.Set(headerPath, j.path)
	h.Set(headerDomain, string(s.Domain))
	h.Set(headerShifted, strconv.FormatBool(shifted))
	h.Set(headerTry, strconv.FormatUint(j.try, 10))
	h.Set("Content-Type", j.contentType)
	h.Set(wire.HeaderRequestID, string(j.id))
	h.Set(wire.HeaderAttempt, strconv.FormatUint(j.attempt, 10))
	h.Set(wire.HeaderDeadline, strconv.FormatInt(max(1, (j.deadline-x.now()).Milliseconds()), 10))
	h.Set(wire.HeaderRegion, string(j.home))
}

// readForwardResponse converts an owner's response into the result of the try.
func (x *Entry) readForwardResponse(j *job, res *http.Response, b []byte) tryResult {
	if res.Header.Get(wire.HeaderRequestID) != string(j.id) {
		return broken("owner answered with status %d for another request", res.StatusCode)
	}
	v := tryResult{kind: resultKind(res.Header.Get(headerVerdict)), target: model.TargetID(res.Header.Get(wire.HeaderTarget))}
	if v.kind == resultAnswered {
		n, err := strconv.Atoi(res.Header.Get(headerStatus))
		if err != nil {
			return broken("owner answered without a status")
		}
		if err := reply.Check(n); err != nil {
			return broken("answer of owner: %v", err)
		}
		v.answer = &answer{status: n, contentType: res.Header.Get("Content-Type"), body: b}
		return v
	}
	v.reason = string(b)
	if n, err := strconv.ParseInt(res.Header.Get(headerRetryAfter), 10, 64); err == nil {
		v.retryAfter = time.Duration(n) * time.Millisecond
	}
	return v
}

// serveForward serves a request that another entry forwards to this entry as its owner.
func (x *Entry) serveForward(w http.ResponseWriter, r *http.Request) {
	j, a, ok := x.parseForward(r)
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	if !ok {
		x.respondForward(w, r, j, refused(defaultRetryAfter, "owner does not know the class yet"))
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		x.respondForward(w, r, j, refused(0, "request was cut: %v", err))
		return
	}
	j.body = b
	if !x.leaseValid() {
		x.respondForward(w, r, j, refused(defaultRetryAfter, "owner holds no lease"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), j.deadline-x.now())
	defer cancel()
	x.respondForward(w, r, j, x.serveAsOwner(ctx, j, a))
}

func (x *Entry) parseForward(r *http.Request) (*job, ownerArgs, bool) {
	h := r.Header
	j := &job{
		id: model.RequestID(h.Get(wire.HeaderRequestID)), service: model.ServiceID(h.Get(headerService)),
		method: h.Get(headerMethod), path: h.Get(headerPath), contentType: h.Get("Content-Type"),
		home: model.RegionID(h.Get(wire.HeaderRegion)),
	}
	v := x.view.Load()
	if v == nil {
		return j, ownerArgs{}, false
	}
	cls, ok := v.catalogue.Class(j.service, model.ClassID(h.Get(headerClass)))
	if !ok {
		return j, ownerArgs{}, false
	}
	j.cls = cls
	d, derr := headerNumber(h, wire.HeaderDeadline, 1)
	n, nerr := headerNumber(h, wire.HeaderAttempt, 1)
	t, terr := strconv.ParseUint(h.Get(headerTry), 10, tryBits)
	j.deadline, j.attempt, j.try = x.now()+time.Duration(d)*time.Millisecond, n, t
	a := ownerArgs{domain: model.FailureDomainID(h.Get(headerDomain)), shifted: h.Get(headerShifted) == "true"}
	return j, a, derr == nil && nerr == nil && terr == nil
}

func (x *Entry) respondForward(w http.ResponseWriter, r *http.Request, j *job, v tryResult) {
	h := w.Header()
	body := []byte(v.reason)
	if v.kind == resultAnswered {
		var ok bool
		if body, ok = x.firstPart(h, r.Header.Get(headerReserved), v.answer.body); !ok {
			v = broken("owner keeps too many answers already")
			body = []byte(v.reason)
		}
	}
	h.Set(headerVerdict, string(v.kind))
	h.Set(wire.HeaderTarget, string(v.target))
	h.Set(headerLoad, strconv.Itoa(x.pools.get(j.service).Load()))
	if v.kind == resultAnswered {
		h.Set(headerStatus, strconv.Itoa(v.answer.status))
		h.Set("Content-Type", v.answer.contentType)
	}
	h.Set(headerRetryAfter, strconv.FormatInt(v.retryAfter.Milliseconds(), 10))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	// An ingress entry that has disconnected gets no response.
	_, _ = w.Write(body)
}

// forwardHandler serves forwarded requests that are signed with the deployment's key.
func (x *Entry) forwardHandler() echo.HandlerFunc {
	return echo.WrapHandler(x.o.Key.Require(http.HandlerFunc(x.serveForward)))
}
