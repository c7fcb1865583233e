// Package trace keeps what a daemon decided lately about flows, so that a failure
// can be explained afterwards: a bounded ring that is served for one flow, and a
// budget that bounds how many lines are logged.
package trace
