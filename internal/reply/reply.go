// Package reply decides which responses are responses: HTTP libraries also return a status that no
// response can have, such as 000.
//
// # Usage
//
//	a, err := http.ReadResponse(r, q)
//	if err == nil && reply.IsInterim(a.StatusCode) {
//		err = reply.CheckInterim(a.StatusCode, a.Header)
//	}
//	if err := reply.Check(a.StatusCode); err != nil {
//		// As if the peer had sent bytes that are no response.
//	}
package reply

import (
	"net/http"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// Kind is the kind of an error.
type Kind string

// KindInvalid means that the peer sent no valid response, so the outcome of the request is unknown.
const KindInvalid Kind = "invalid"

// Error is the error type of the package.
type Error = errs.Error[Kind]

const (
	minInterim = 100
	minFinal   = 200
	// Codes from 600 on are not assigned. They are clients' to treat like 5xx (RFC 9110, section 15), and passed on.
	maxFinal = 999
)

// Check returns an error unless a final response can have the status.
func Check(status int) error {
	if status < minFinal || status > maxFinal {
		return errs.Newf("reply.Check", KindInvalid, "%03d is not the status of a response", status)
	}
	return nil
}

// IsInterim reports whether another response to the request follows one with the status. 101 is excluded, since no
// request asks for another protocol.
func IsInterim(status int) bool {
	return status >= minInterim && status < minFinal && status != http.StatusSwitchingProtocols
}

// CheckInterim returns an error unless a response can be an interim one, which has no body.
func CheckInterim(status int, h http.Header) error {
	if n := h.Get("Content-Length"); !IsInterim(status) || n != "" && n != "0" || h.Get("Transfer-Encoding") != "" {
		return errs.Newf("reply.CheckInterim", KindInvalid, "response with status %03d is neither final nor without a body", status)
	}
	return nil
}
