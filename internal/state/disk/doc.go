// Package disk implements camphorhinge.FileSystem on a folder of the operating system's file system, and in memory for
// tests.
//
// Only one process can use a data folder at a time: Open acquires a lock that the operating system releases when the
// process ends. Memory distinguishes written from durable data, and can lose unsynced bytes, tear a write, fail a sync,
// run out of space, and crash at a chosen operation.
package disk
