// Package plan answers intents: it works out what a draft of a service would
// change, and decides whether a plan may still be confirmed.
//
// The package does no I/O and keeps no state: a plan is a document, made from
// a stated generation, that the operator holds until it is confirmed.
package plan
