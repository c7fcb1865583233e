// Package daemon holds what the mains of the daemons share: flags, logging,
// signals and the line that says where a daemon listens.
package daemon
