// Package errs gives every package of the project its error type: an error
// with the operation that failed and a kind that callers can switch on.
//
// # Usage
//
//	type Kind string
//
//	type Error = errs.Error[Kind]
//
//	return errs.New("store.Open", KindLocked, err)
//
// Errors are wrapped with eris, so that a log can show where they came from.
package errs

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is an error of one package; the package's Kind type makes its error type distinct.
type Error[K ~string] struct {
	Op   string
	Kind K
	Err  error
}

// New returns an error with the operation, the kind and the cause.
func New[K ~string](op string, kind K, err error) error {
	return &Error[K]{Op: op, Kind: kind, Err: eris.Wrap(err, op)}
}

// Newf returns an error with the operation, the kind and a formatted message.
func Newf[K ~string](op string, kind K, format string, args ...any) error {
	return &Error[K]{Op: op, Kind: kind, Err: eris.Errorf(format, args...)}
}

// Error returns the operation, the kind and the root cause in one line.
func (e *Error[K]) Error() string {
	return e.Op + ": " + string(e.Kind) + ": " + eris.Cause(e.Err).Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error {
	return e.Err
}

// Is reports whether the first error of the kind's package in the chain of causes has the
// kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}
