// Package steering decides, at a balancer, which agent a client's packet goes to:
// it places new flows on targets, remembers the owners of flows that agents have
// told it, and asks agents for the owners that it does not know. A balancer may
// lose everything that it remembers without breaking a flow.
//
// Its functions are pure: packets, answers and a time go in, actions come out.
package steering
