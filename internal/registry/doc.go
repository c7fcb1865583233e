// Package registry keeps notes in the platform's store on where daemons are, for
// daemons that start and whose seeds fail them.
package registry
