// Package registry records the addresses of daemons in the platform's store, where
// a starting daemon looks up the others when none of its configured seeds answers.
package registry
