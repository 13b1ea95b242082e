// Package buffer bounds the bytes of messages that a node holds in memory at a time.
package buffer
