package flow

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors of package flow.
const (
	KindKey   Kind = "key"
	KindFrame Kind = "frame"
	KindID    Kind = "id"
)

// Error reports the operation of package flow that failed and why.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the underlying error.
func (e *Error) Error() string {
	return fmt.Sprintf("flow: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
