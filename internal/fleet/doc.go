// Package fleet defines the status that daemons serve to operators over HTTP, and
// a client that queries all daemons.
package fleet
