// Package inner is the socket on which daemons talk to each other: control
// messages about members, and parcels about flows.
package inner
