// Package pace provides a cancellable sleep and exponential backoff.
package pace
