package caller

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	NotRun      Kind = "not_run"     // the request did not run and never will
	Unknown     Kind = "unknown"     // whether the request ran is not known
	Unavailable Kind = "unavailable" // no complete response to an idempotent request, or no connection
	Refused     Kind = "refused"     // the request is invalid; a retry fails too
	Closed      Kind = "closed"      // the session was closed
)

// Error reports the operation that failed and why.
type Error struct {
	Op         string
	Kind       Kind
	RetryAfter time.Duration // delay that the service asked for; 0 if none
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("caller: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
