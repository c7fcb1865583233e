// Package membership decides what balancers and agents tell each other about who
// is here: agents send heartbeats to the balancers that observe them, and
// balancers spread what they learn and repair what they missed.
//
// Its functions are pure: messages and a time go in, messages come out.
package membership
