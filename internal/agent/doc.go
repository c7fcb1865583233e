// Package agent is the daemon beside a target. It ends the callers' QUIC and
// HTTP/3 sessions, admits their requests to its host, keeps the record of those
// that are not idempotent, drains, and announces itself to balancers.
//
// Lock order: Agent.mu guards membership and configuration; Agent.requests.mu
// guards gate and ledger; conn.mu guards the tables of the packet connection.
// They are taken in this order, and none is held over I/O or a call.
package agent
