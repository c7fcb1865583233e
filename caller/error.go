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
	Unavailable Kind = "unavailable" // an idempotent request got no whole answer
	Refused     Kind = "refused"     // the request itself is at fault
	Closed      Kind = "closed"      // the session was closed
)

// Error reports the operation that failed and why.
type Error struct {
	Op         string
	Kind       Kind
	RetryAfter time.Duration // when to come back; 0 when the service said nothing
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("caller: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
