// Package parcel encodes what balancers and agents send each other about flows:
// a client's packet with what the balancer decided about it, and the agent's
// answer.
package parcel
