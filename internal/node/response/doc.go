// Package response bounds the memory of responses with a configuration until they were sent: a caller that reads nothing holds its response
// for as long as the port lets it.
package response
