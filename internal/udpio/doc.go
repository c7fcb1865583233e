// Package udpio opens UDP sockets and reads and writes datagrams in batches. It also
// opens the inner address of a daemon, on which UDP and TCP share one port.
package udpio
