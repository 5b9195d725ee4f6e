package soak

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log/level"
)

// The limits that targets name, as on the users' platform: from settleTime after a target first
// named its limit it gets in limitWindow at most limitFactor times what that allows, and limitBurst
// requests, from the entries that were told limitNotice before.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
	limitNotice = 500 * time.Millisecond
	// minLimit and maxLimit bound the limits, in requests per second.
	minLimit = 0.3
	maxLimit = 4.0
	// minLimitPeriod and maxLimitPeriod bound how long a target names a limit.
	minLimitPeriod = 2 * settleTime
	maxLimitPeriod = 4 * settleTime
)

// limiter is the limit that a target names, and what it observes of it.
type limiter struct {
	mu        sync.Mutex
	perSecond float64
	namedAt   time.Duration
	// toldAt is when each entry first passed on a response with the limit.
	toldAt map[string]time.Duration
	// arrivals holds the requests of the last limitWindow from entries that were told.
	arrivals []limitedArrival
}

type limitedArrival struct {
	at    time.Duration
	entry string
}

// set sets the limit; 0 means none.
func (l *limiter) set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond, l.namedAt, l.toldAt, l.arrivals = perSecond, 0, map[string]time.Duration{}, nil
}

// announce names the limit, if there is one, in a response that an entry passes on by the given
// time.
func (l *limiter) announce(h http.Header, entry string, now, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 {
		return
	}
	h.Set(platform.Headers.Limit, strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	if l.namedAt == 0 {
		l.namedAt = now
	}
	if _, ok := l.toldAt[entry]; !ok {
		l.toldAt[entry] = by
	}
}

// arrive records a request and returns the number of requests in the last limitWindow, the number
// allowed, and whether the limit is binding.
func (l *limiter) arrive(entry string, now time.Duration, undisturbed func(entry string, from time.Duration) bool) (n, most int, binding bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	told, ok := l.toldAt[entry]
	if l.perSecond == 0 || !ok || now < told+limitNotice {
		return 0, 0, false
	}
	l.arrivals = append(l.arrivals, limitedArrival{now, entry})
	l.arrivals = slices.DeleteFunc(l.arrivals, func(a limitedArrival) bool { return a.at <= now-limitWindow })
	for _, a := range l.arrivals {
		if undisturbed(a.entry, l.toldAt[a.entry]) {
			n++
		}
	}
	most = int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitBurst
	return n, most, now >= l.namedAt+settleTime
}

// limitLoop makes one target after the other name a limit.
func (s *soak) limitLoop(ctx context.Context) error {
	rnd := s.newRand(7)
	for ctx.Err() == nil {
		_, x := s.randomTarget(rnd)
		n := minLimit + rnd.Float64()*(maxLimit-minLimit)
		level.Info(s.l).Log("msg", "target limits", "atMillis", s.mon.now().Milliseconds(), "target", x.t.ID, "perSecond", n)
		x.limiter.set(n)
		period, cancel := context.WithTimeout(ctx, minLimitPeriod+time.Duration(rnd.Int64N(int64(maxLimitPeriod-minLimitPeriod))))
		<-period.Done()
		cancel()
		x.limiter.set(0)
	}
	return nil
}
