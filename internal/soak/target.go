package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/platform"
)

// behavior is how a target treats requests.
type behavior int32

const (
	healthy behavior = iota
	// slow multiplies the service time.
	slow
	// hanging runs requests and sends no response.
	hanging
	// truncating closes the connection in the middle of a response.
	truncating
	// duplicating sends a response with another request's id before its own.
	duplicating
	// failing responds with status 500.
	failing
	// shedding rejects requests.
	shedding
	// pausing rejects requests and asks the entry for a pause of pauseDuration.
	pausing
	behaviorCount
)

var behaviorNames = [...]string{"sound", "slow", "mute", "cutting", "doubling", "failing", "shedding", "pausing"}

// String returns the name of the behavior in soak.log.
func (m behavior) String() string { return behaviorNames[m] }

const (
	warmServiceTime = 25 * time.Millisecond
	coldServiceTime = 90 * time.Millisecond
	// slowFactor multiplies the service time of a slow target.
	slowFactor = 12
	// queueFactor times the slots is the maximum number of requests that a target holds.
	queueFactor = 4
	// postDrainServeTime is how long a leaving target still serves after maxDrainDelay.
	postDrainServeTime = 1500 * time.Millisecond
	// pauseDuration is the pause that a pausing target asks for.
	pauseDuration = 1500 * time.Millisecond
	// pauseTolerance is how long after the response earlier requests may still arrive, and
	// maxLatePauseRequests the maximum number that may arrive later.
	pauseTolerance       = 500 * time.Millisecond
	maxLatePauseRequests = 2
)

// pauseRequest is a pause that a target asked one entry for.
type pauseRequest struct {
	at, until time.Duration
	// arrivals counts the requests that arrived during the pause.
	arrivals int
}

// target is one instance of a simulated back end of the users.
type target struct {
	t            model.Target
	mon          *monitor
	controlAddrs func() []string
	client       platform.Client
	g            *group.Group
	srv          *http.Server
	behavior     atomic.Int32
	limiter      limiter
	slots        chan struct{}
	inFlight     atomic.Int32
	coldEnd      time.Duration
	// busy reports whether the target is ending.
	busy atomic.Bool

	mu       sync.Mutex
	sequence uint64
	leaving  bool
	// leaveAckedAt is when the target's leave was acknowledged; 0 before.
	leaveAckedAt time.Duration
	warm         map[string]bool
	coldArrivals []time.Duration
	// notifiedAt is when each entry was first notified by a response that the target leaves.
	notifiedAt map[string]time.Duration
	paused     map[string]*pauseRequest
	// domainDrained reports whether the target's failure domain must get no new requests at a time.
	domainDrained func(at time.Duration) bool
}

// serve starts the target's server and its announcements.
func (x *target) serve(listenAddr string) error {
	l, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return err
	}
	x.slots = make(chan struct{}, x.t.Slots)
	x.srv = &http.Server{Handler: http.HandlerFunc(x.handle), ReadHeaderTimeout: time.Minute}
	x.g = group.New(context.Background())
	x.g.Go(func(context.Context) error {
		_ = x.srv.Serve(l) // Serve returns when the target ends.
		return nil
	})
	x.g.Go(func(ctx context.Context) error {
		x.announce(ctx)
		return nil
	})
	return nil
}

// crash ends the target without an announcement.
func (x *target) crash() {
	_ = x.srv.Close()
	_ = x.g.Close()
}

// announce announces the target's state periodically.
func (x *target) announce(ctx context.Context) {
	for ctx.Err() == nil {
		x.announceOnce(ctx, rand.IntN(1<<16))
		x.mu.Lock()
		leaving := x.leaving
		x.mu.Unlock()
		wait := heartbeatInterval
		if leaving {
			wait = heartbeatInterval / 5
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// announceOnce sends the announcement to one replica after the other until one acknowledges it.
func (x *target) announceOnce(ctx context.Context, first int) {
	addrs := x.controlAddrs()
	for i := range addrs {
		x.mu.Lock()
		x.sequence++
		t, n := x.t, x.sequence
		if x.leaving {
			t.State = model.TargetDraining
		}
		x.mu.Unlock()
		t.ColdMillis = model.Millis(max(0, x.coldEnd-x.mon.now()).Milliseconds())
		c, cancel := context.WithTimeout(ctx, heartbeatInterval)
		err := x.client.Announce(c, addrs[(first+i)%len(addrs)], t, n)
		cancel()
		if err != nil {
			continue
		}
		x.mu.Lock()
		if t.State == model.TargetDraining && x.leaveAckedAt == 0 {
			x.leaveAckedAt = x.mon.now()
		}
		x.mu.Unlock()
		return
	}
}

// leave drains the target, serves for the time that it must, and ends the target.
func (x *target) leave(ctx context.Context) {
	x.mu.Lock()
	x.leaving = true
	x.mu.Unlock()
	for end := x.mon.now() + 2*settleTime; x.mon.now() < end && x.leaveAck() == 0; {
		time.Sleep(heartbeatInterval / 20)
	}
	time.Sleep(maxDrainDelay + postDrainServeTime)
	c, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	// The target ends with or without an acknowledgement.
	_ = x.client.Withdraw(c, x.controlAddrs()[0], x.t)
	x.crash()
}

func (x *target) leaveAck() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.leaveAckedAt
}

func (x *target) handle(rw http.ResponseWriter, r *http.Request) {
	d := platform.Headers
	id := r.Header.Get(d.RequestID)
	if r.Header.Get(d.WantTarget) != string(x.t.ID) {
		rw.Header().Set(d.NotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	entry, _, _ := net.SplitHostPort(r.RemoteAddr)
	x.checkArrival(id, entry)
	x.mu.Lock()
	if x.leaving {
		rw.Header().Set(d.Leaving, "1")
		x.recordLeaveNotice(entry)
	}
	x.mu.Unlock()
	now := x.mon.now()
	x.limiter.announce(rw.Header(), entry, now, now+coldServiceTime*slowFactor)
	m := behavior(x.behavior.Load())
	if m == pausing {
		x.recordPause(entry)
		rw.Header().Set("Retry-After", strconv.FormatFloat(pauseDuration.Seconds(), 'f', -1, 64))
	}
	if m == shedding || m == pausing || int(x.inFlight.Add(1)) > queueFactor*x.t.Slots {
		x.inFlight.Add(-1)
		rw.Header().Set(d.NotRun, "1")
		x.writeResponse(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer x.inFlight.Add(-1)
	left, _ := strconv.Atoi(r.Header.Get(d.Deadline))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	select {
	case x.slots <- struct{}{}:
	case <-ctx.Done():
		rw.Header().Set(d.NotRun, "1")
		x.writeResponse(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-x.slots }()
	x.mon.recordRun(id, x.t.Service, run{
		target: x.t.ID, entry: entry, at: x.mon.now(),
		workspace: model.WorkspaceID(r.Header.Get(d.Workspace)), key: r.Header.Get(d.Authorization) != "",
	})
	select {
	case <-time.After(x.serviceTime(m, r.Header.Get(d.Object))):
	case <-ctx.Done():
		x.writeResponse(rw, id, http.StatusGatewayTimeout)
		return
	}
	x.respond(rw, r, id, m)
}

// recordLeaveNotice records that an entry is notified of the leave; the caller holds the lock.
func (x *target) recordLeaveNotice(entry string) {
	if x.notifiedAt == nil {
		x.notifiedAt = map[string]time.Duration{}
	}
	if _, ok := x.notifiedAt[entry]; !ok {
		// The response is sent later, when the request has run.
		x.notifiedAt[entry] = x.mon.now() + coldServiceTime*slowFactor
	}
}

// recordPause records that an entry is asked for a pause.
func (x *target) recordPause(entry string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.paused == nil {
		x.paused = map[string]*pauseRequest{}
	}
	now := x.mon.now()
	if p := x.paused[entry]; p == nil || now > p.until {
		x.paused[entry] = &pauseRequest{at: now, until: now + pauseDuration}
	}
}

// checkEntryCompliance checks that an entry complies with the notices in earlier responses.
func (x *target) checkEntryCompliance(id, entry string, at time.Duration) {
	x.mu.Lock()
	notifiedAt, p := x.notifiedAt[entry], x.paused[entry]
	late := p != nil && at > p.at+pauseTolerance && at < p.until
	if late {
		p.arrivals++
	}
	x.mu.Unlock()
	if sent := x.mon.sentAt(id); notifiedAt > 0 && sent > 0 && x.mon.undisturbed(notifiedAt, entry) {
		x.mon.check(LeaveHonored, sent <= notifiedAt+maxDrainDelay, "request %s, sent %s after %s was told that %s leaves, reached it", id, sent-notifiedAt, entry, x.t.ID)
	}
	n, most, binding := x.limiter.arrive(entry, at, func(entry string, from time.Duration) bool { return x.mon.undisturbed(from, entry) })
	if binding {
		x.mon.check(LimitHonored, n <= most, "%s got %d requests in %s, allowed are %d", x.t.ID, n, limitWindow, most)
	}
	if late && x.mon.undisturbed(p.at, entry) {
		x.mon.check(PauseHonored, p.arrivals <= maxLatePauseRequests, "%s sent %d requests to %s, which had asked for a pause %s ago", entry, p.arrivals, x.t.ID, at-p.at)
	}
}

// checkArrival checks the invariants that depend on a request's arrival time.
func (x *target) checkArrival(id, entry string) {
	at := x.mon.now()
	x.mon.recordArrival(id)
	x.checkEntryCompliance(id, entry, at)
	host, _, _ := net.SplitHostPort(x.t.Addr)
	x.mu.Lock()
	left := x.leaveAckedAt
	if at < x.coldEnd {
		x.coldArrivals = append(x.coldArrivals, at)
	}
	coldArrivals := x.coldArrivals
	x.mu.Unlock()
	if left > 0 && x.mon.undisturbed(left, entry, core, host) {
		x.mon.check(TargetDrained, at <= left+maxDrainDelay, "request %s reached %s from %s %s after it was acknowledged that it leaves", id, x.t.ID, entry, at-left)
	}
	if x.domainDrained != nil && x.domainDrained(at) && x.mon.undisturbed(at-maxDomainDrainDelay, entry, core, host) {
		x.mon.check(DomainDrained, false, "request %s reached %s from %s while %s is drained", id, x.t.ID, entry, x.t.FailureDomain)
	}
	if at < x.coldEnd {
		n := 0
		for _, t := range coldArrivals {
			if t > at-time.Second {
				n++
			}
		}
		x.mon.check(SlowStart, float64(n) <= coldPerSecond*coldMultiplier+coldBurst, "cold target %s got %d requests in a second", x.t.ID, n)
	}
}

func (x *target) serviceTime(m behavior, object string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := coldServiceTime
	if x.warm[object] {
		w = warmServiceTime
	}
	x.warm[object] = true
	if m == slow {
		w *= slowFactor
	}
	return w
}

// respond responds to a request that has run, as the behavior determines.
func (x *target) respond(rw http.ResponseWriter, r *http.Request, id string, m behavior) {
	switch m {
	case failing:
		x.writeResponse(rw, id, http.StatusInternalServerError)
	case hanging:
		<-r.Context().Done()
	case truncating, duplicating:
		c, b, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return // The caller has disconnected.
		}
		defer c.Close()
		body := expectedBody(id)
		if m == duplicating {
			writeRawResponse(b, nil, "stray-"+id, expectedBody("stray-"+id), len(expectedBody("stray-"+id)))
			writeRawResponse(b, rw.Header(), id, body, len(body))
		} else {
			writeRawResponse(b, rw.Header(), id, body[:len(body)/2], len(body))
		}
		// The other side detects truncation.
		_ = b.Flush()
	default:
		x.writeResponse(rw, id, http.StatusOK)
	}
}

func (x *target) writeResponse(rw http.ResponseWriter, id string, status int) {
	d := platform.Headers
	rw.Header().Set(d.RequestID, id)
	rw.Header().Set(d.Load, fmt.Sprintf("%d,%d,%d", len(x.slots), max(0, int(x.inFlight.Load())-len(x.slots)), x.t.Slots))
	body := expectedBody(id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusOK {
		rw.Header().Set(d.Digest, expectedDigest(id))
	}
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body) // The other side detects truncation.
}

// writeRawResponse writes a response whose Content-Length may exceed the body, with the headers that the target has set.
func writeRawResponse(w io.Writer, h http.Header, id, body string, length int) {
	d := platform.Headers
	// The other side detects truncation.
	_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n")
	_ = h.Write(w)
	_, _ = fmt.Fprintf(w, "%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", d.RequestID, id, d.Digest, expectedDigest(id), length, body)
}

// expectedBody returns the only valid response body for a request.
func expectedBody(id string) string { return strings.Repeat(id+";", 3+int(hash(id)%60)) }

func expectedDigest(id string) string { return strconv.FormatUint(hash(id), 16) }

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}
