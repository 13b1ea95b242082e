// Package schema decodes, validates, compares and rewrites the operator's records of schema 1 and 2.
//
// A record is a YAML or JSON document with the fields schema, kind, name, version and spec. Decode turns the documents
// of both schema versions into one typed form, which routing and control code reads without knowing the schema. The
// document itself is kept as written: fields that this version does not know stay in it, and Rewrite changes single
// fields without losing the others.
package schema
