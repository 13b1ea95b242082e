// Package service is a stand-in for a process of a plain service, such as one that takes deposits. It counts the runs
// of each request, so that a test can check whether and how often a request ran.
package service
