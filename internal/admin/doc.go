// Package admin is the administration API that every balancer serves: HTTP and
// JSON over mutual TLS, problem details (RFC 9457) for errors. A plan is a
// document that the operator holds; confirming it is one conditional update of
// the service's object in the platform.
package admin
