// Package request decides on the requests of one agent: which may run, wait or
// must be refused (Gate), and which ran already (Ledger).
//
// A request that is not idempotent carries a key and a binding to one
// incarnation of one agent. Only that incarnation may run it, so whoever asks
// that incarnation's ledger learns for certain what became of the request; a
// request that has not run is fenced by the answer, and a late copy is refused.
//
// The package does no I/O, starts no goroutines and reads no clock.
package request
