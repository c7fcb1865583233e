// Command skylark-stand runs the system with small stand-ins of what surrounds
// it, on loopback: a demo, and experiments with load and failures.
package main
