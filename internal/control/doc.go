// Package control defines the control messages that daemons exchange over UDP. They
// are encoded in CBOR and authenticated with HMAC-SHA256 under a key that all
// daemons share.
package control
