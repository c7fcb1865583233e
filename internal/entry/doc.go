// Package entry is the balancer for flows that carry no connection ID: it reads
// clients' packets, has package steering decide on them, and sends them to
// agents. The operator's configuration comes from a store or from other
// balancers, whichever has the newer.
package entry
