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

// mood is how a target treats requests.
type mood int32

const (
	sound mood = iota
	// slow works many times longer.
	slow
	// mute runs requests and answers nothing.
	mute
	// cutting breaks off its answers.
	cutting
	// doubling sends a second answer, to a request of somebody else, before its own.
	doubling
	// failing answers 500.
	failing
	// shedding refuses requests.
	shedding
	// pausing refuses requests and says for how long it wants none.
	pausing
	moods
)

var moodNames = [...]string{"sound", "slow", "mute", "cutting", "doubling", "failing", "shedding", "pausing"}

// String returns the short name of the mood.
func (m mood) String() string { return moodNames[m] }

const (
	warmWork = 25 * time.Millisecond
	coldWork = 90 * time.Millisecond
	// slowFactor times the work is how long a slow target takes.
	slowFactor = 12
	// queueFactor times the slots is how many requests a target holds.
	queueFactor = 4
	// serveAfter is how long a leaving target serves after the drain bound.
	serveAfter = 1500 * time.Millisecond
	// pauseFor is what a pausing target asks for.
	pauseFor = 1500 * time.Millisecond
	// pauseSlack is how long after its word requests may still be on their way, and
	// pauseMost how many may come later.
	pauseSlack = 500 * time.Millisecond
	pauseMost  = 2
)

// wish is what a target asked of one entry.
type wish struct {
	at, until time.Duration
	// arrivals are the requests that came all the same.
	arrivals int
}

// target is one life of a stand-in for the users' back ends.
type target struct {
	t       model.Target
	w       *watch
	control func() []string
	client  platform.Client
	g       *group.Group
	srv     *http.Server
	mood    atomic.Int32
	slots   chan struct{}
	held    atomic.Int32
	coldEnd time.Duration
	// busy says that the target ends.
	busy atomic.Bool

	mu       sync.Mutex
	sequence uint64
	leaving  bool
	// leftAt is when it was acknowledged that the target leaves; 0 before.
	leftAt time.Duration
	warm   map[string]bool
	cold   []time.Duration
	// told is when each entry was first told by an answer that the target leaves.
	told   map[string]time.Duration
	paused map[string]*wish
	// emptied tells whether the target's failure domain is drained since some time.
	emptied func(at time.Duration) bool
}

// serve starts the target's server and its announcements.
func (x *target) serve(behind string) error {
	l, err := net.Listen("tcp", behind)
	if err != nil {
		return err
	}
	x.slots = make(chan struct{}, x.t.Slots)
	x.srv = &http.Server{Handler: http.HandlerFunc(x.handle), ReadHeaderTimeout: time.Minute}
	x.g = group.New(context.Background())
	x.g.Go(func(context.Context) error {
		_ = x.srv.Serve(l) // It ends when the target does.
		return nil
	})
	x.g.Go(func(ctx context.Context) error {
		x.announce(ctx)
		return nil
	})
	return nil
}

// crash ends the target without a word.
func (x *target) crash() {
	_ = x.srv.Close()
	_ = x.g.Close()
}

// announce says again and again what the target is ready for.
func (x *target) announce(ctx context.Context) {
	for ctx.Err() == nil {
		x.say(ctx, rand.IntN(1<<16))
		x.mu.Lock()
		leaving := x.leaving
		x.mu.Unlock()
		wait := heartbeat
		if leaving {
			wait = heartbeat / 5
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// say announces the target to one replica after the other until one acknowledges it.
func (x *target) say(ctx context.Context, first int) {
	addrs := x.control()
	for i := range addrs {
		x.mu.Lock()
		x.sequence++
		t, n := x.t, x.sequence
		if x.leaving {
			t.State = model.TargetDraining
		}
		x.mu.Unlock()
		t.ColdMillis = model.Millis(max(0, x.coldEnd-x.w.now()).Milliseconds())
		c, cancel := context.WithTimeout(ctx, heartbeat)
		err := x.client.Announce(c, addrs[(first+i)%len(addrs)], t, n)
		cancel()
		if err != nil {
			continue
		}
		x.mu.Lock()
		if t.State == model.TargetDraining && x.leftAt == 0 {
			x.leftAt = x.w.now()
		}
		x.mu.Unlock()
		return
	}
}

// leave drains the target, serves as long as it must, and ends.
func (x *target) leave(ctx context.Context) {
	x.mu.Lock()
	x.leaving = true
	x.mu.Unlock()
	for end := x.w.now() + 2*contact; x.w.now() < end && x.left() == 0; {
		time.Sleep(heartbeat / 20)
	}
	time.Sleep(drainBound + serveAfter)
	c, cancel := context.WithTimeout(ctx, heartbeat)
	defer cancel()
	// Whether or not it hears an acknowledgement, it is gone.
	_ = x.client.Withdraw(c, x.control()[0], x.t)
	x.crash()
}

func (x *target) left() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.leftAt
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
	x.note(id, entry)
	x.mu.Lock()
	if x.leaving {
		rw.Header().Set(d.Leaving, "1")
		x.tell(entry)
	}
	x.mu.Unlock()
	m := mood(x.mood.Load())
	if m == pausing {
		x.ask(entry)
		rw.Header().Set("Retry-After", strconv.FormatFloat(pauseFor.Seconds(), 'f', -1, 64))
	}
	if m == shedding || m == pausing || int(x.held.Add(1)) > queueFactor*x.t.Slots {
		x.held.Add(-1)
		rw.Header().Set(d.NotRun, "1")
		x.answer(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer x.held.Add(-1)
	left, _ := strconv.Atoi(r.Header.Get(d.Deadline))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	select {
	case x.slots <- struct{}{}:
	case <-ctx.Done():
		rw.Header().Set(d.NotRun, "1")
		x.answer(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-x.slots }()
	x.w.ran(id, x.t.Service, run{
		target: x.t.ID, entry: entry, at: x.w.now(),
		space: model.WorkspaceID(r.Header.Get(d.Workspace)), key: r.Header.Get(d.Authorization) != "",
	})
	select {
	case <-time.After(x.work(m, r.Header.Get(d.Object))):
	case <-ctx.Done():
		x.answer(rw, id, http.StatusGatewayTimeout)
		return
	}
	x.finish(rw, r, id, m)
}

// tell notes that an entry is told that the target leaves; the caller holds the lock.
func (x *target) tell(entry string) {
	if x.told == nil {
		x.told = map[string]time.Duration{}
	}
	if _, ok := x.told[entry]; !ok {
		// The answer goes out later, when the request was run.
		x.told[entry] = x.w.now() + coldWork*slowFactor
	}
}

// ask notes that an entry is asked for a pause.
func (x *target) ask(entry string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.paused == nil {
		x.paused = map[string]*wish{}
	}
	now := x.w.now()
	if p := x.paused[entry]; p == nil || now > p.until {
		x.paused[entry] = &wish{at: now, until: now + pauseFor}
	}
}

// heeded checks whether an entry heeds what it was told by answers.
func (x *target) heeded(id, entry string, at time.Duration) {
	x.mu.Lock()
	told, p := x.told[entry], x.paused[entry]
	late := p != nil && at > p.at+pauseSlack && at < p.until
	if late {
		p.arrivals++
	}
	x.mu.Unlock()
	if sent := x.w.sentAt(id); told > 0 && sent > 0 && x.w.calm(told, entry) {
		x.w.check(Heeded, sent <= told+drainBound, "request %s, sent %s after %s was told that %s leaves, reached it", id, sent-told, entry, x.t.ID)
	}
	if late && x.w.calm(p.at, entry) {
		x.w.check(Paused, p.arrivals <= pauseMost, "%s sent %d requests to %s, which had asked for a pause %s ago", entry, p.arrivals, x.t.ID, at-p.at)
	}
}

// note checks what an arrival breaks by its time.
func (x *target) note(id, entry string) {
	at := x.w.now()
	x.w.arrived(id)
	x.heeded(id, entry, at)
	host, _, _ := net.SplitHostPort(x.t.Addr)
	x.mu.Lock()
	left := x.leftAt
	if at < x.coldEnd {
		x.cold = append(x.cold, at)
	}
	cold := x.cold
	x.mu.Unlock()
	if left > 0 && x.w.calm(left, entry, core, host) {
		x.w.check(Drained, at <= left+drainBound, "request %s reached %s from %s %s after it was acknowledged that it leaves", id, x.t.ID, entry, at-left)
	}
	if x.emptied != nil && x.emptied(at) && x.w.calm(at-domainBound, entry, core, host) {
		x.w.check(Emptied, false, "request %s reached %s from %s while %s is drained", id, x.t.ID, entry, x.t.FailureDomain)
	}
	if at < x.coldEnd {
		n := 0
		for _, t := range cold {
			if t > at-time.Second {
				n++
			}
		}
		x.w.check(Cool, float64(n) <= coldPerSecond*coldMultiplier+coldBurst, "cold target %s got %d requests in a second", x.t.ID, n)
	}
}

func (x *target) work(m mood, object string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := coldWork
	if x.warm[object] {
		w = warmWork
	}
	x.warm[object] = true
	if m == slow {
		w *= slowFactor
	}
	return w
}

// finish answers a request that was run, as the mood has it.
func (x *target) finish(rw http.ResponseWriter, r *http.Request, id string, m mood) {
	switch m {
	case failing:
		x.answer(rw, id, http.StatusInternalServerError)
	case mute:
		<-r.Context().Done()
	case cutting, doubling:
		c, b, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return // The caller has gone.
		}
		defer c.Close()
		body := bodyOf(id)
		if m == doubling {
			writeAnswer(b, "stray-"+id, bodyOf("stray-"+id), len(bodyOf("stray-"+id)))
			writeAnswer(b, id, body, len(body))
		} else {
			writeAnswer(b, id, body[:len(body)/2], len(body))
		}
		// The other side notices what is missing.
		_ = b.Flush()
	default:
		x.answer(rw, id, http.StatusOK)
	}
}

func (x *target) answer(rw http.ResponseWriter, id string, status int) {
	d := platform.Headers
	rw.Header().Set(d.RequestID, id)
	rw.Header().Set(d.Load, fmt.Sprintf("%d,%d,%d", len(x.slots), max(0, int(x.held.Load())-len(x.slots)), x.t.Slots))
	body := bodyOf(id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusOK {
		rw.Header().Set(d.Digest, digestOf(id))
	}
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body) // The other side notices what is missing.
}

// writeAnswer writes an answer whose length says more than the body may hold.
func writeAnswer(w interface{ WriteString(string) (int, error) }, id, body string, length int) {
	d := platform.Headers
	_, _ = w.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		d.RequestID, id, d.Digest, digestOf(id), length, body))
}

// bodyOf returns the only right body for a request.
func bodyOf(id string) string { return strings.Repeat(id+";", 3+int(hash(id)%60)) }

func digestOf(id string) string { return strconv.FormatUint(hash(id), 16) }

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}
