// Package setting holds the settings of the serve process and checks them together, so that a wrong start names all
// faults at once.
package setting
