// Package schema decodes, validates, compares and rewrites the operator's records in schema versions 1 and 2.
//
// A record is a YAML or JSON document with the fields schema, kind, name, version and spec. Decode converts documents
// of both schema versions to the same types, so that routing and control code does not depend on the schema version.
// The original document is preserved: it retains fields unknown to this program version, and Rewrite changes individual
// fields without dropping others.
package schema
