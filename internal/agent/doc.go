// Package agent implements the daemon that runs beside a target. It terminates the
// callers' QUIC and HTTP/3 sessions, controls the admission of their requests to the
// host, executes requests that are not idempotent at most once, drains, and announces
// itself to the balancers.
//
// Agent.mu guards membership and configuration, requests.mu guards the admission
// queue and the ledger, and conn.mu guards the tables of the packet connection. They
// are locked in this order. None is held during I/O or a call to another daemon.
package agent
