// Package platform implements a client of the platform's object API, which offers
// versioned values with conditional updates, lists and long-poll watches over HTTP.
package platform
