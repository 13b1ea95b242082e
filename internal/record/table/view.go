package table

import (
	"maps"
	"slices"
	"strings"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
)

// Record is a record that is not withdrawn, as of one revision.
type Record struct {
	schema.Key
	Write
	// Raw is the document as written.
	Raw []byte
	// Document is the decoded document. If Raw can't be decoded, DecodeError is the reason and Document is that of the
	// last version that could be, or nil.
	Document    *schema.Document
	DecodeError string
}

// View is an immutable, indexed set of the records as of one revision. Its methods are safe for concurrent use; callers
// must not modify what they return.
type View struct {
	revision   camphorhinge.Revision
	records    map[schema.Key]*Record
	services   map[camphorhinge.ServiceName]*schema.Service
	paths      map[string]*schema.Service
	byModel    map[camphorhinge.ModelName]*schema.Service
	models     map[camphorhinge.ModelName]*schema.Model
	adapters   map[camphorhinge.AdapterName]*schema.Adapter
	workspaces map[schema.KeyDigest]*schema.Workspace
}

func emptyView() *View { return buildView(0, map[schema.Key]*Record{}) }

// Revision returns the revision of the view.
func (v *View) Revision() camphorhinge.Revision { return v.revision }

// Records returns all records, sorted by kind and name.
func (v *View) Records() []*Record {
	list := slices.Collect(maps.Values(v.records))
	slices.SortFunc(list, func(a, b *Record) int { return compareKeys(a.Key, b.Key) })
	return list
}

// Record returns a record, or nil.
func (v *View) Record(key schema.Key) *Record { return v.records[key] }

// Service returns a service, or nil.
func (v *View) Service(name camphorhinge.ServiceName) *schema.Service { return v.services[name] }

// Services returns all services, sorted by name.
func (v *View) Services() []*schema.Service {
	list := slices.Collect(maps.Values(v.services))
	slices.SortFunc(list, func(a, b *schema.Service) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// ServiceByPath returns the plain service with the longest path prefix that matches on segment boundaries, or nil: /a
// matches /a and /a/b but not /ab. The path must be clean, without . or .. segments.
func (v *View) ServiceByPath(path string) *schema.Service {
	for path != "" && path[0] == '/' {
		if s := v.paths[path]; s != nil {
			return s
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	return v.paths["/"]
}

// ServiceByModel returns the service that serves the model, or nil; of several, the first in order of name.
func (v *View) ServiceByModel(name camphorhinge.ModelName) *schema.Service {
	return v.byModel[name]
}

// Model returns a model, or nil.
func (v *View) Model(name camphorhinge.ModelName) *schema.Model { return v.models[name] }

// Adapter returns an adapter, or nil.
func (v *View) Adapter(name camphorhinge.AdapterName) *schema.Adapter { return v.adapters[name] }

// Workspace returns the workspace whose API key has the digest, or nil.
func (v *View) Workspace(key schema.KeyDigest) *schema.Workspace { return v.workspaces[key] }

// Undecoded returns the records whose document this program version can't decode, sorted by kind and name.
func (v *View) Undecoded() []*Record {
	return slices.DeleteFunc(v.Records(), func(r *Record) bool { return r.DecodeError == "" })
}

// Conflicts returns a fault for each path prefix or API key of a document that another record already uses. If records
// with such a conflict are accepted nevertheless, lookups return the first one in order of name.
func (v *View) Conflicts(doc *schema.Document) schema.Faults {
	var faults schema.Faults
	if doc.Service != nil {
		for _, path := range doc.Service.Paths {
			if other := v.paths[path]; other != nil && other.Name != doc.Service.Name {
				faults = append(faults, schema.Fault{
					Field: "spec.paths", Want: "a path prefix that service " + string(other.Name) + " does not have", Got: path,
				})
			}
		}
	}
	if doc.Workspace != nil {
		if other := v.workspaces[doc.Workspace.Key]; other != nil && other.Name != doc.Workspace.Name {
			faults = append(faults, schema.Fault{Field: "spec.key", Want: "a key that workspace " + string(other.Name) + " does not have"})
		}
	}
	return faults
}

// withChanges returns the view that results from applying the changes in order.
func (v *View) withChanges(revision camphorhinge.Revision, changes []Change) *View {
	records := maps.Clone(v.records)
	for _, c := range changes {
		if c.Withdraw {
			delete(records, c.Key)
			continue
		}
		records[c.Key] = decodeChange(c, records[c.Key])
	}
	return buildView(revision, records)
}

// withRecords returns a view of exactly the given records. Where a document can't be decoded, it keeps the decoded
// document of v.
func (v *View) withRecords(revision camphorhinge.Revision, live []Change) *View {
	records := make(map[schema.Key]*Record, len(live))
	for _, c := range live {
		records[c.Key] = decodeChange(c, v.records[c.Key])
	}
	return buildView(revision, records)
}

// decodeChange returns the record that a change writes; earlier is its previous version, or nil.
func decodeChange(c Change, earlier *Record) *Record {
	r := &Record{Key: c.Key, Write: c.Write, Raw: c.Raw}
	doc, err := schema.Decode(c.Raw)
	switch {
	case err == nil && doc.Key == c.Key:
		r.Document = doc
		return r
	case err == nil:
		r.DecodeError = "the document is for record " + doc.String()
	default:
		r.DecodeError = err.Error()
	}
	if earlier != nil {
		r.Document = earlier.Document
	}
	return r
}

// buildView indexes the records. It iterates in descending order, so that the first record by name wins a conflict.
func buildView(revision camphorhinge.Revision, records map[schema.Key]*Record) *View {
	v := &View{
		revision:   revision,
		records:    records,
		services:   map[camphorhinge.ServiceName]*schema.Service{},
		paths:      map[string]*schema.Service{},
		byModel:    map[camphorhinge.ModelName]*schema.Service{},
		models:     map[camphorhinge.ModelName]*schema.Model{},
		adapters:   map[camphorhinge.AdapterName]*schema.Adapter{},
		workspaces: map[schema.KeyDigest]*schema.Workspace{},
	}
	for _, r := range slices.Backward(v.Records()) {
		switch doc := r.Document; {
		case doc == nil:
		case doc.Service != nil:
			v.services[doc.Service.Name] = doc.Service
			for _, path := range doc.Service.Paths {
				v.paths[path] = doc.Service
			}
			for _, model := range doc.Service.Models {
				v.byModel[model] = doc.Service
			}
		case doc.Model != nil:
			v.models[doc.Model.Name] = doc.Model
		case doc.Adapter != nil:
			v.adapters[doc.Adapter.Name] = doc.Adapter
		case doc.Workspace != nil:
			v.workspaces[doc.Workspace.Key] = doc.Workspace
		}
	}
	return v
}
