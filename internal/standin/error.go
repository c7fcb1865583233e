package standin

import "fmt"

// Kinds of errors, in Error.Kind.
const (
	KindStart   = "start"
	KindFiles   = "files"
	KindProcess = "process"
)

// Error reports which operation of a simulated system failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("standin: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
