// Package admission decides in which order requests start at a host that has a limited
// number of slots, and estimates how long a request has to wait.
//
// The package performs no I/O and reads no clock: times are passed in, as durations on
// the clock of the caller.
package admission
