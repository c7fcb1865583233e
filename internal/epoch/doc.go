// Package epoch tracks the epoch of the platform's store, which rises each time
// the store is restored from an older copy. A restored store has lost the latest
// writes and gives out their revisions again, so a revision is only meaningful
// together with its epoch.
package epoch
