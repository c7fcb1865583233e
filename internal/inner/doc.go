// Package inner implements the UDP socket between balancers and agents. It carries
// control messages about membership and tunnel datagrams about flows.
package inner
