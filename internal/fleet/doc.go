// Package fleet is what daemons tell operators of themselves over HTTP, and the
// client that asks all of them.
package fleet
