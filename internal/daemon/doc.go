// Package daemon contains the code that the main packages of the daemons share:
// flags, logging, signal handling, reloading of settings files, and the ready line
// with a daemon's listen addresses.
package daemon
