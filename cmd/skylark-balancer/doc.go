// Command skylark-balancer is the daemon of an entry VM. With the settings file
// of the users' platform it carries the flows of that platform; with a TOML file
// of its own it routes QUIC sessions of callers and serves the administration
// API.
package main
