// Package ops serves HTTP listeners until a context is done, and profiles on
// loopback.
package ops
