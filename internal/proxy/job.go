package proxy

import (
	"net/http"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// job is a request on its way to a known target.
type job struct {
	method, uri, host string
	id                string
	header            http.Header
	body              []byte

	// access is whose request it is.
	access access

	target    model.TargetID
	route     model.RouteID
	delivery  model.Delivery
	priority  int
	objective time.Duration
	deadline  time.Duration
	overrun   time.Duration
	key       place.Key
	// keyed says that the target works faster on an object that it knows.
	hasAffinity bool
	// reservation is the memory of the request's answers.
	reservation *memoryReservation
	// spillover says that the target is not the object's first.
	spillover bool
}

// bodyAllowed tells whether an answer of the status can have a body (RFC 9110, section 6.4.1).
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
