// Package disk implements camphorhinge.FileSystem over one folder of the operating system, and in memory for tests.
//
// The data folder belongs to one process at a time: Open takes a lock that the operating system releases when the
// process ends. Memory keeps apart what was written and what is durable, and can lose unsynced bytes, tear a write, fail
// a sync, fill up, and crash at a chosen operation.
package disk
