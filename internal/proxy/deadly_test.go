package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request that ends each target that runs it is sent on and on: each attempt, at any VM, starts
// without knowledge of the targets that earlier ones have ended. It must reach at most three
// targets once the time has passed in which VMs learn of the third end (BUDGET); other requests
// are served, also those for a path that is in flight all the time.
func TestDeadlyRequestIsNotSentOn(t *testing.T) {
	const (
		// contact is the time in which VMs must have learned of the third end.
		contact = 3 * time.Second
		length  = 7 * time.Second
		maxMore = 3
	)
	tests := []struct {
		name, method, path, body string
	}{
		{"idempotent", http.MethodGet, "/safe/deadly", ""},
		{"at most once", http.MethodPost, "/once/deadly", "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3, 10)
			stop := time.Now().Add(length)
			var g sync.WaitGroup
			var mu sync.Mutex
			served, refused := map[string]int{}, map[string]string{}
			for n := range 6 {
				g.Go(func() {
					for i := 0; time.Now().Before(stop); i++ {
						path := fmt.Sprintf("/safe/%d/%d", n, i)
						if n < 3 {
							path = "/safe/popular"
						}
						w := d.send(n, fmt.Sprintf("i%d-%d", n, i), http.MethodGet, path, "")
						mu.Lock()
						if w.Code == http.StatusOK {
							served[path]++
						} else if time.Until(stop) < length-contact {
							refused[path] = fmt.Sprintf("%d %s", w.Code, w.Body)
						}
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			for i := 0; time.Now().Before(stop); i++ {
				g.Go(func() { d.send(i, fmt.Sprintf("d%d", i), tt.method, tt.path, tt.body) })
				time.Sleep(60 * time.Millisecond)
			}
			g.Wait()
			arrivals, ends := d.deadlyArrivals()
			slices.SortFunc(ends, time.Time.Compare)
			assert.Assert(t, len(ends) >= 3, "the deadly request ended only %d targets", len(ends))
			more := 0
			for _, at := range arrivals {
				if at.After(ends[2].Add(contact)) {
					more++
				}
			}
			t.Logf("%d targets ended, %d arrivals, %d after the third end and %v", len(ends), len(arrivals), more, contact)
			assert.Assert(t, more <= maxMore, "reached %d targets later than %v after the third one ended; %d ended in all", more, contact, len(ends))
			assert.Assert(t, served["/safe/popular"] > 0)
			assert.Equal(t, len(refused), 0, "not served: %v", refused)
		})
	}
}

// A suspected request comes at all VMs at the same moment, later than contact after the third end. Each of them sent it, so that
// it ended as many targets at once; it may reach three (BUDGET).
func TestSuspectedAtAllVMs(t *testing.T) {
	const vms, contact, maxMore = 6, 3 * time.Second, 3
	d := newDeployment(t, vms, 12)
	for i := range 2 {
		d.send(i, fmt.Sprintf("d%d", i), http.MethodGet, "/safe/deadly", "")
		time.Sleep(300 * time.Millisecond)
	}
	_, ends := d.deadlyArrivals()
	assert.Assert(t, len(ends) >= 3, "%d targets ended", len(ends))
	time.Sleep(contact + 500*time.Millisecond)
	var g sync.WaitGroup
	for i := range vms {
		g.Go(func() { d.send(i, fmt.Sprintf("e%d", i), http.MethodGet, "/safe/deadly", "") })
	}
	g.Wait()
	time.Sleep(time.Second)
	arrivals, _ := d.deadlyArrivals()
	more := len(arrivals) - len(ends)
	t.Logf("%d targets ended before, %d later", len(ends), more)
	assert.Assert(t, more >= 1 && more <= maxMore, "reached %d targets later than %v after the third one ended", more, contact)
}
