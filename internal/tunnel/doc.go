// Package tunnel encodes the datagrams about flows between balancers and agents:
// a client's packet with its routing header, the agent's answer, and batches of
// questions and answers about the ownership of flows.
package tunnel
