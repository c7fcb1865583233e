// Package ops contains the HTTP servers of the daemons, which serve metrics and
// status until a context is done, and profiles to loopback clients only.
package ops
