// Package credential loads the certificates and secrets of a daemon from files and
// provides TLS configurations that use them. Modified files are reloaded without a
// restart.
package credential
