// Package link opens the inner address of a daemon, where UDP and TCP share one
// port, and moves datagrams in batches.
package link
