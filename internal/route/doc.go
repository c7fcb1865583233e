// Package route holds the versions of the configuration: which service the new
// flows to an address go to. Its functions are pure.
package route
