// Package plan computes the changes that a draft of a service would make and decides
// whether a plan may still be confirmed.
//
// The package does no I/O and keeps no state. A plan is a document, based on a
// generation of the service, that the operator keeps until it is confirmed.
package plan
