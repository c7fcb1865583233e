// Package service holds what operators declare: services, their classes and
// limits, and the intent that says which targets take which share.
package service
