// Package session names the parts of HTTP that callers and agents agree on: the
// session resource, header fields and the mark that asks a feed to move.
package session
