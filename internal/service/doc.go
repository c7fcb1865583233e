// Package service defines the services that operators declare: their addresses,
// their request classes, and the intent that sets the share of each target.
package service
