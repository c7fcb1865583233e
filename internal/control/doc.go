// Package control is the form of the messages that daemons send each other
// over UDP: CBOR, authenticated with a key that the daemons share.
package control
