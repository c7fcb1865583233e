// Package admin implements the administration API that every balancer serves, and
// its client. The API uses JSON over HTTP with mutual TLS and reports errors as
// problem details (RFC 9457). The server does not store plans: the operator keeps
// a plan, which the server has authenticated with a MAC, and sends it back for
// confirmation, a single conditional update of the service object in the platform.
package admin
