// Package link opens the inner address of a daemon, on which UDP and TCP share one
// port, and reads and writes datagrams in batches.
package link
