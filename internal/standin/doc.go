// Package standin runs deployments of skylarkturn on loopback, for tests, the demo,
// experiments and capacity measurements. It simulates the systems around them: the
// platform's object API, the network fabric, hosts, callers under load, and a
// certificate authority that also writes the credential files.
package standin
