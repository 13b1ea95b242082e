// Package wire holds what the stand-ins of targets share: a listener whose connections can be reset or muted, and the
// sending of announcements.
package wire
