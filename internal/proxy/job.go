package proxy

import (
	"net/http"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// job is one send of a request to one target.
type job struct {
	request *request

	method, uri, host string
	id                string
	header            http.Header
	body              requestBody

	// access holds the caller's identity and workspace.
	access access

	target    model.TargetID
	route     model.RouteID
	delivery  model.Delivery
	priority  int
	objective time.Duration
	// start is when the request arrived at this VM.
	start    time.Duration
	deadline time.Duration
	overrun  time.Duration
	key      place.Key
	// hasAffinity means that the target is faster for an object that is warm there.
	hasAffinity bool
	// reservation is the memory reserved for the request's responses.
	reservation *memoryReservation
	// spillover means that the target is not the first choice for the object.
	spillover bool
}

// bodyAllowed reports whether a response with the status can have a body (RFC 9110, section
// 6.4.1).
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
