// Package trace records a daemon's recent decisions about flows, so that failures
// can be explained afterwards. It contains a ring buffer of decisions that can be
// queried by flow over HTTP, and a rate limiter for log lines.
package trace
