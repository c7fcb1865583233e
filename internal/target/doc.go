// Package target decides what one target does about its place in a service:
// its state, how warm it is, and whether it takes a new flow or hands it on to
// another target.
//
// The package does no I/O, starts no goroutines and reads no clock.
package target
