package agent

import "fmt"

// Kinds of errors.
const (
	KindNetwork = "network"
	KindStop    = "stop"
)

// Error reports the operation of an agent that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("agent: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
