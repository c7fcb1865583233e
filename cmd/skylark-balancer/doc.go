// Command skylark-balancer is the daemon that runs on an entry VM. With the
// settings file of the users' platform it forwards the flows of that platform. With
// its own TOML file it routes the QUIC sessions of callers and serves the
// administration API.
package main
