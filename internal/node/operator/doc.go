// Package operator serves the operator's HTTP API on its own port: records, status, explain and metrics.
//
// Every request needs the bearer token from the token file. The API validates records; it reads and writes them through
// interfaces that the serve process implements, and is itself stateless.
//
//	POST /v1/records            apply the records of the body (YAML or JSON), in order; ?dry=true only reports the effect
//	POST /v1/withdraw           withdraw a record: {"kind", "name", "version"}
//	GET  /v1/records            list the records in force; ?kind=KIND
//	GET  /v1/records/KIND/NAME  one record with its document and history
//	GET  /v1/status             status of the node and the cluster
//	GET  /v1/explain            decisions; ?kind=&subject=&after=&limit=
//	GET  /metrics               metrics in the Prometheus text format
//
// An error has the body {"error": {"kind", "message", "faults"}}.
package operator
