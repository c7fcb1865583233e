// Package credential loads the certificates and keys of a daemon from files
// and reloads them when the files change, without a restart.
package credential
