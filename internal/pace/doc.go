// Package pace waits: for a time, or until a call succeeds.
package pace
