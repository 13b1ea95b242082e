// Package wire has the common parts of the stand-in targets: a listener whose connections can be reset or silenced, and
// the client that sends announcements.
package wire
