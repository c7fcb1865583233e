// Package platformstand holds stand-ins of the users' platform for tests and
// soaks: the object store, the fabric, hosts and clients. They drive the built
// daemons as separate processes on loopback, and check what the daemons promise
// from what clients and hosts see.
package platformstand
