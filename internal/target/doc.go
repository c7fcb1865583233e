// Package target implements the decisions of a single target within its service:
// the state that it announces, its share during warm-up, whether it accepts a new
// flow or forwards it to another target, and when its sessions are rebalanced.
//
// The package does no I/O, starts no goroutines and reads no clock.
package target
