// Command stand3 plays the scripted cases of the third review: it starts the built
// daemons as separate processes on loopback addresses, with stand-ins of the
// platform's store, router, hosts and clients, and judges what hosts and clients see.
package main
