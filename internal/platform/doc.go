// Package platform is a client of the platform's object API: versioned values
// with conditional updates, lists and long-poll watches over HTTP.
package platform
