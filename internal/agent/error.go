package agent

import "fmt"

// Kinds of errors of package agent.
const (
	KindNetwork = "network"
	KindStop    = "stop"
)

// Error reports the operation of package agent that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error formats the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("agent: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
