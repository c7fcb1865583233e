package request

import "fmt"

// Kinds of errors.
const (
	KindBinding = "binding"
)

// Error reports the operation of package request that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error formats the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("request: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
