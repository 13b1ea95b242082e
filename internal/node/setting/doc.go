// Package setting defines the settings of the processes and validates them, so that a process that cannot start reports
// all invalid settings at once.
package setting
