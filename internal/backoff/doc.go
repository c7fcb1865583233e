// Package backoff provides a cancellable sleep and exponential backoff.
package backoff
