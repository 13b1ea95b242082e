// Package command is the command line: it binds flags and environment variables, and turns errors into exit codes.
package command
