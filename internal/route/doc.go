// Package route maps the addresses that clients call to the services that new flows
// go to. The mapping is a versioned configuration.
package route
