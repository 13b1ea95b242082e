// Package origin records where streams began: the service and the software version of their targets. A stream can only be
// continued on a target of the version that began it, also by another node after the one that began it has ended.
//
// A Table maps streams to their origins. A History holds the versions that a node has seen of each service, so that the
// origin of a stream without a record is known when there was only one.
package origin
