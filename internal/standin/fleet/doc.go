// Package fleet announces many engines from one process, to measure what announcements cost the nodes. The engines serve
// no request and answer no poll.
package fleet
