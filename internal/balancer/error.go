package balancer

import "fmt"

// Kinds of errors.
const (
	KindSettings = "settings"
	KindNetwork  = "network"
	KindPlatform = "platform"
)

// Error describes a failed operation of a balancer.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("balancer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
