// Package platformstand simulates the users' platform for tests and soaks: the
// object store, the network fabric, hosts and clients. It runs the built daemons
// as separate processes on loopback and checks their guarantees against what
// clients and hosts observe.
package platformstand
