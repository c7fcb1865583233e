// Package caller is a client of services behind skylarkturn. A Session survives
// moves and lost connections: it notices a silent path by its heartbeats, opens
// a new connection before it leaves the old one, resumes feeds without gap or
// repeat, and retries requests so that one that is not idempotent runs at most
// once.
package caller
