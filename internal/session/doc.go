// Package session defines the HTTP protocol between callers and agents: the session
// resource, the header fields, and the comment in an event stream that asks the
// caller to move to another target.
package session
