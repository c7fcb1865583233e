// Package route maps the addresses that clients send to, to the services that
// receive the new flows. The mapping is a versioned configuration.
package route
