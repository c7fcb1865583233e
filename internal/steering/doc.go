// Package steering decides at a balancer which agent a client's packet goes to. It
// places new flows on targets, caches the owners that agents report, and queries
// agents for owners that it does not know. The cache is soft state: a balancer
// that loses it breaks no flow.
//
// The package does no I/O and reads no clock. Callers pass in packets, answers and
// the current time, and carry out the actions returned.
package steering
