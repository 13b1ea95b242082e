// Package service is a stand-in for a process of a plain service, such as one that takes deposits. It counts each run
// of a request, so that a test can tell whether a request ran, and how often.
package service
