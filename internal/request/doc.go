// Package request implements at-most-once execution (Ledger) of the requests of one
// agent.
//
// A request that is not idempotent carries an idempotency key and a binding to one
// incarnation of one agent. Only that incarnation may run it, so its ledger has the
// definite outcome of the request. Reporting that a request has not run also fences
// it, so that a copy which arrives later is refused.
//
// The package does no I/O, starts no goroutines and reads no clock.
package request
