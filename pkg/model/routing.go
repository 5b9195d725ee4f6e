package model

import (
	"fmt"
	"strings"
)

// RouteID names a route.
type RouteID string

// Revision orders the routings that operators send; the highest is in force.
type Revision uint64

// Routing says which service runs a request, by the host and path that it names.
// It is replaced as a whole by one with a higher revision.
type Routing struct {
	Revision Revision        `json:"revision"`
	Limits   RequestLimits   `json:"limits"`
	Hosts    []VirtualHost   `json:"hosts"`
	Services []RoutedService `json:"services"`
	// Keyed says that callers need a key of a workspace, but on public routes.
	Keyed bool `json:"keyed,omitempty"`
}

// RequestLimits bounds what a caller may send.
type RequestLimits struct {
	MaxHeaderBytes      int64  `json:"maxHeaderBytes"`
	MaxBodyBytes        int64  `json:"maxBodyBytes"`
	HeaderTimeoutMillis Millis `json:"headerTimeoutMillis"`
	IdleTimeoutMillis   Millis `json:"idleTimeoutMillis"`
}

// VirtualHost holds the routes of one host name.
type VirtualHost struct {
	Host   string  `json:"host"`
	Routes []Route `json:"routes"`
}

// Route sends the requests below a path to a service.
type Route struct {
	Name RouteID `json:"name"`
	// Prefix begins and ends with a slash; the longest that begins a path counts.
	Prefix   string   `json:"prefix"`
	Delivery Delivery `json:"delivery"`
	// ObjectiveMillis is the latency below which an answer is good.
	ObjectiveMillis Millis `json:"objectiveMillis"`
	// TimeoutMillis is the longest time that a caller is kept waiting.
	TimeoutMillis Millis `json:"timeoutMillis"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Public says that callers need no key.
	Public bool `json:"public,omitempty"`
	// Affinity says that targets work faster on objects that they know.
	Affinity bool `json:"affinity,omitempty"`
	// MaxAttempts is to how many targets one attempt of a caller may be sent.
	MaxAttempts int `json:"maxAttempts"`
	// HomeRegions are the only regions that may serve the route; empty means all.
	HomeRegions []RegionID `json:"homeRegions,omitempty"`
	// Split divides the requests over services by weight.
	Split []SplitPart `json:"split"`
}

// SplitPart is a service's part of a route.
type SplitPart struct {
	Service ServiceID `json:"service"`
	Weight  float64   `json:"weight"`
}

// RoutedService is what a routing says of a service's targets.
type RoutedService struct {
	Name       ServiceID `json:"name"`
	HealthPath string    `json:"healthPath,omitempty"`
	// MaxConnections is what one target accepts from all VMs together.
	MaxConnections int `json:"maxConnections"`
	// ColdMillis is how long a target that has just started is cold.
	ColdMillis Millis `json:"coldMillis"`
	// ColdPerSecond is how many requests a second a cold target stands.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

// TargetState is what a target is willing to do.
type TargetState string

// The states of a target.
const (
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	// TargetGone targets have said that they leave; the record outlives them so
	// that a late announcement does not bring them back.
	TargetGone TargetState = "gone"
)

// Target is a target that announced itself to the state replicas.
type Target struct {
	ID            TargetID        `json:"-"`
	Service       ServiceID       `json:"service"`
	FailureDomain FailureDomainID `json:"failureDomain"`
	Addr          string          `json:"addr"`
	Slots         int             `json:"slots"`
	State         TargetState     `json:"state"`
	// Incarnation rises with each start of the target.
	Incarnation uint64 `json:"incarnation"`
	// ColdMillis is how long the target stays cold after the announcement.
	ColdMillis Millis `json:"coldMillis,omitempty"`
}

// check checks that the parts of a routing fit together.
func (r *Routing) check() error {
	services := map[ServiceID]bool{}
	for _, s := range r.Services {
		if s.Name == "" {
			return fmt.Errorf("a service has no name")
		}
		services[s.Name] = true
	}
	for _, h := range r.Hosts {
		if h.Host == "" {
			return fmt.Errorf("a host has no name")
		}
		for _, x := range h.Routes {
			if err := x.check(services); err != nil {
				return fmt.Errorf("route %q of host %q: %w", x.Name, h.Host, err)
			}
		}
	}
	return nil
}

func (r Route) check(services map[ServiceID]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Delivery != Idempotent && r.Delivery != AtMostOnce {
		return fmt.Errorf("delivery %q is not idempotent or atMostOnce", r.Delivery)
	}
	if r.MaxAttempts < 1 {
		return fmt.Errorf("maxAttempts %d is below 1", r.MaxAttempts)
	}
	if r.TimeoutMillis <= 0 || r.TimeoutMillis > maxMillis {
		return fmt.Errorf("timeoutMillis %d is not from 1 to %d", r.TimeoutMillis, maxMillis)
	}
	if len(r.Split) == 0 {
		return fmt.Errorf("no service is named")
	}
	for _, p := range r.Split {
		if !services[p.Service] {
			return fmt.Errorf("service %q does not exist", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("weight %g of service %q is below 0", p.Weight, p.Service)
		}
	}
	return nil
}

// routeIndex finds the routes of a host, in small letters, by their prefixes.
type routeIndex map[string]map[string]*Route

// index returns the routes by host and prefix. Of two routes with the same prefix
// the first counts.
func (r *Routing) index() routeIndex {
	x := routeIndex{}
	for i, h := range r.Hosts {
		n := strings.ToLower(h.Host)
		if x[n] == nil {
			x[n] = make(map[string]*Route, len(h.Routes))
		}
		for j, p := range h.Routes {
			if _, ok := x[n][p.Prefix]; !ok {
				x[n][p.Prefix] = &r.Hosts[i].Routes[j]
			}
		}
	}
	return x
}

// Match returns the route with the longest prefix that begins the path.
func (c *Catalogue) Match(host, path string) (Route, bool) {
	routes := c.routes[strings.ToLower(host)]
	for len(routes) > 0 {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			break
		}
		if r, ok := routes[path[:i+1]]; ok {
			return *r, true
		}
		path = path[:i]
	}
	return Route{}, false
}

// Service returns what the routing says of a service.
func (r *Routing) Service(n ServiceID) (RoutedService, bool) {
	for _, s := range r.Services {
		if s.Name == n {
			return s, true
		}
	}
	return RoutedService{}, false
}
