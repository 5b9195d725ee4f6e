package model

import (
	"fmt"
	"strings"
)

// RouteID names a route.
type RouteID string

// Revision orders the routings that operators send; the highest takes effect.
type Revision uint64

// Routing maps requests to services by host and path. A routing with a higher revision
// replaces it as a whole.
type Routing struct {
	Revision Revision        `json:"revision"`
	Limits   RequestLimits   `json:"limits"`
	Hosts    []VirtualHost   `json:"hosts"`
	Services []RoutedService `json:"services"`
	// Keyed requires callers to send the key of a workspace, except on public routes.
	Keyed bool `json:"keyed,omitempty"`
}

// RequestLimits are the size and time limits of requests from callers.
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
	// Prefix begins and ends with a slash; the longest prefix of a path takes precedence.
	Prefix   string   `json:"prefix"`
	Delivery Delivery `json:"delivery"`
	// ObjectiveMillis is the latency below which an answer meets the objective.
	ObjectiveMillis Millis `json:"objectiveMillis"`
	// TimeoutMillis is the maximum time that a caller waits for an answer.
	TimeoutMillis Millis `json:"timeoutMillis"`
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Public allows requests without a key.
	Public bool `json:"public,omitempty"`
	// Affinity is set if targets serve warm objects faster.
	Affinity bool `json:"affinity,omitempty"`
	// MaxAttempts is the maximum number of targets that one attempt of a caller is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// HomeRegions are the only regions that may serve the route; empty means all.
	HomeRegions []RegionID `json:"homeRegions,omitempty"`
	// Split distributes the requests over services by weight.
	Split []SplitPart `json:"split"`
}

// SplitPart is the weight of one service in a route's split.
type SplitPart struct {
	Service ServiceID `json:"service"`
	Weight  float64   `json:"weight"`
}

// RoutedService holds the settings of a routing for the targets of a service.
type RoutedService struct {
	Name       ServiceID `json:"name"`
	HealthPath string    `json:"healthPath,omitempty"`
	// MaxConnections is the number of connections that one target accepts from all VMs
	// together.
	MaxConnections int `json:"maxConnections"`
	// ColdMillis is how long a target counts as cold after its start.
	ColdMillis Millis `json:"coldMillis"`
	// ColdPerSecond is the rate of requests that a cold target can handle.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

// TargetState is the state that a target announces.
type TargetState string

// The states of a target.
const (
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	// TargetGone targets have announced that they leave. The record is kept so that a
	// delayed announcement does not restore them.
	TargetGone TargetState = "gone"
)

// Target is a target as it announced itself to the state replicas.
type Target struct {
	ID            TargetID        `json:"-"`
	Service       ServiceID       `json:"service"`
	FailureDomain FailureDomainID `json:"failureDomain"`
	Addr          string          `json:"addr"`
	Slots         int             `json:"slots"`
	State         TargetState     `json:"state"`
	// Incarnation increases with each start of the target.
	Incarnation uint64 `json:"incarnation"`
	// ColdMillis is how long the target remains cold after the announcement.
	ColdMillis Millis `json:"coldMillis,omitempty"`
	// Version is the catalogue version at which the record was written.
	Version Version `json:"-"`
}

// check validates the routing and the references between its parts.
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

// routeIndex maps a host name in lower case to its routes by prefix.
type routeIndex map[string]map[string]*Route

// index returns the routes by host and prefix. Of two routes with the same prefix the
// first takes precedence.
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

// Match returns the route of a host with the longest prefix of the path.
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

// Service returns the settings of a service, and whether the routing has them.
func (r *Routing) Service(n ServiceID) (RoutedService, bool) {
	for _, s := range r.Services {
		if s.Name == n {
			return s, true
		}
	}
	return RoutedService{}, false
}
