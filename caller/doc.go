// Package caller is a client library for services behind skylarkturn. A Session
// outlives its connections: heartbeats detect a path that has failed, a
// connection to a target that is draining is replaced before it is closed, feeds
// resume without lost or duplicate events, and requests are retried so that one
// that is not idempotent runs at most once.
package caller
