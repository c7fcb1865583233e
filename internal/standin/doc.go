// Package standin holds small stand-ins of the systems around skylarkturn, for
// tests and the demo: the platform's object API, the fabric, hosts, and an
// authority that makes certificates and settings.
package standin
