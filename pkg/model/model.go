// Package model defines the objects that traffic steering is configured with: regions,
// failure domains, links, services, classes, limits, policies and drains. The catalogue
// is the set of these objects with their owners.
//
// # Usage
//
//	objects, err := model.Parse(file)
//	c, err := model.NewCatalogue(version, objects)
//	l, ok := c.Class("registry", "lookup")
//
// Rates are per second, sizes are bytes, bandwidths are bytes per second and
// durations are milliseconds, as the field names indicate.
package model

import (
	"encoding/json"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindSyntax  Kind = "syntax"
	KindInvalid Kind = "invalid"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// RegionID names a region.
type RegionID string

// FailureDomainID names a failure domain.
type FailureDomainID string

// ServiceID names a service.
type ServiceID string

// ClassID names a class of requests within a service.
type ClassID string

// PolicyID names a steering policy.
type PolicyID string

// VMID names an entry VM.
type VMID string

// TargetID names a target.
type TargetID string

// RequestID names a caller's request.
type RequestID string

// OwnerID names the owner of an object of the catalogue.
type OwnerID string

// Version counts the accepted changes of the catalogue.
type Version uint64

// BytesPerSecond is a bandwidth.
type BytesPerSecond int64

// Millis is a duration in milliseconds.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// ObjectKind is the kind of an object of the catalogue.
type ObjectKind string

// The kinds of objects.
const (
	ObjectOwner         ObjectKind = "owner"
	ObjectRegion        ObjectKind = "region"
	ObjectFailureDomain ObjectKind = "failureDomain"
	ObjectLink          ObjectKind = "link"
	ObjectService       ObjectKind = "service"
	ObjectClass         ObjectKind = "class"
	ObjectShiftCap      ObjectKind = "shiftCap"
	ObjectPolicy        ObjectKind = "policy"
	ObjectDrain         ObjectKind = "drain"
	// ObjectRouting is a Routing; there is at most one, named RoutingName.
	ObjectRouting ObjectKind = "routing"
	// ObjectDocument holds a routing in the form in which its operator sent it, so that
	// operators can read it back.
	ObjectDocument ObjectKind = "document"
	ObjectTarget   ObjectKind = "target"
	// ObjectWorkspace is a Workspace of the routing.
	ObjectWorkspace ObjectKind = "workspace"
	// ObjectQuarantine is the Quarantine of a request that ended targets.
	ObjectQuarantine ObjectKind = "quarantine"
)

// RoutingName names the routing and its document.
const RoutingName = "main"

// Object is one object of the catalogue, with its spec in JSON.
type Object struct {
	Kind    ObjectKind      `json:"kind"`
	Name    string          `json:"name"`
	Owner   OwnerID         `json:"owner"`
	Version Version         `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Key returns the kind and the name, which identify the object.
func (o Object) Key() string {
	return string(o.Kind) + "/" + o.Name
}

// Owner is an operator that may change the objects that carry its name.
type Owner struct {
	Name OwnerID `json:"-"`
	// TokenSHA256 is the SHA-256 of the owner's token in hexadecimal.
	TokenSHA256 string `json:"tokenSha256"`
}

// Region is a set of failure domains that are near each other.
type Region struct {
	Name RegionID `json:"-"`
}

// FailureDomain is a location that fails as a whole.
type FailureDomain struct {
	Name   FailureDomainID `json:"-"`
	Region RegionID        `json:"region"`
}

// Link connects two regions. Its bandwidth applies to each direction separately.
type Link struct {
	Name           string         `json:"-"`
	Regions        [2]RegionID    `json:"regions"`
	BytesPerSecond BytesPerSecond `json:"bytesPerSecond"`
	DelayMillis    Millis         `json:"delayMillis"`
}

// Service is a service that targets provide.
type Service struct {
	Name ServiceID `json:"-"`
	// WarmUpMillis is how long a target that became ready is ramped up.
	WarmUpMillis Millis `json:"warmUpMillis,omitempty"`
}

// Delivery is the delivery guarantee of requests: how often one may run.
type Delivery string

// The delivery guarantees.
const (
	// Idempotent requests may run more than once.
	Idempotent Delivery = "idempotent"
	// AtMostOnce requests run once or not at all.
	AtMostOnce Delivery = "atMostOnce"
	// Deferrable requests are idempotent and have lower priority than all others.
	Deferrable Delivery = "deferrable"
)

// Class is a class of requests of a service, with their limits and latency objective.
type Class struct {
	Service         ServiceID `json:"service"`
	Name            ClassID   `json:"class"`
	Delivery        Delivery  `json:"delivery"`
	DeadlineMillis  Millis    `json:"deadlineMillis"`
	MaxRequestBytes int64     `json:"maxRequestBytes"`
	MaxAnswerBytes  int64     `json:"maxAnswerBytes"`
	// MaxQueued is the maximum number of requests that wait at one VM.
	MaxQueued int `json:"maxQueued"`
	// ObjectiveMillis is the latency below which an answer meets the objective.
	ObjectiveMillis Millis `json:"objectiveMillis"`
	// Objective is the fraction of requests that must meet ObjectiveMillis, such as 0.999.
	Objective float64 `json:"objective"`
}

// ShiftCap limits the rate of requests that are served outside their home region.
type ShiftCap struct {
	Name    string    `json:"-"`
	Service ServiceID `json:"service"`
	// From and To are regions; empty means any.
	From RegionID `json:"from,omitempty"`
	To   RegionID `json:"to,omitempty"`
	// PerSecond is the maximum number of requests in any second.
	PerSecond int64 `json:"perSecond"`
}

// Algorithm names an algorithm that selects a site.
type Algorithm string

// The algorithms.
const (
	Nearest     Algorithm = "nearest"
	RoundRobin  Algorithm = "roundRobin"
	LeastLoaded Algorithm = "leastLoaded"
	Headroom    Algorithm = "headroom"
)

// Policy configures the steering of a fraction of the traffic of a service.
type Policy struct {
	Name    PolicyID  `json:"-"`
	Service ServiceID `json:"service"`
	// Class is a class of the service; empty means all.
	Class     ClassID   `json:"class,omitempty"`
	Algorithm Algorithm `json:"algorithm"`
	// Weight is the policy's weight relative to the other policies of the same service and
	// class.
	Weight int `json:"weight"`
	// LinkPrice is the price of a link in milliseconds; 0 means 100 ms. The algorithm headroom
	// adds the price times (0.1 + u*u) to the cost of a site behind a link of which the
	// fraction u is used: a tenth of the price for an idle link, 1.1 times it for a full one.
	LinkPrice Millis `json:"linkPriceMillis,omitempty"`
	// HedgeMillis is the time without an answer after which an idempotent request is
	// also sent to a second site, within the retry budget; 0 disables hedging.
	HedgeMillis Millis `json:"hedgeMillis,omitempty"`
}

// Drain takes a region, a failure domain or a target out of service.
type Drain struct {
	Name          string          `json:"-"`
	Region        RegionID        `json:"region,omitempty"`
	FailureDomain FailureDomainID `json:"failureDomain,omitempty"`
	Target        TargetID        `json:"target,omitempty"`
}
