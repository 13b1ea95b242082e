package peer

import (
	"fmt"
	"io"
	"net/http"
	"path"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/reflect/protoreflect"

	"example.org/camphorhinge/internal/node/peer/peerpb"
)

// TrafficPrefix is the prefix of the names of all counters of CountTraffic.
const TrafficPrefix = "camphorhinge_peer_"

// CountTraffic counts calls and body bytes by method in set. It must be called before the first Get.
func (p *Pool) CountTraffic(set *metrics.Set) { p.traffic = set }

// trafficCounter is a RoundTripper that counts calls and the bytes of their bodies.
type trafficCounter struct {
	inner http.RoundTripper
	set   *metrics.Set
}

// RoundTrip sends one call.
func (t *trafficCounter) RoundTrip(req *http.Request) (*http.Response, error) {
	method := path.Base(req.URL.Path)
	counter := func(name string) *metrics.Counter {
		return t.set.GetOrCreateCounter(fmt.Sprintf(`%s%s_total{method=%q}`, TrafficPrefix, name, method))
	}
	counter("calls").Inc()
	counter("sent_bytes").Add(int(max(req.ContentLength, 0)))
	resp, err := t.inner.RoundTrip(req)
	if err != nil {
		counter("failures").Inc()
		return nil, err
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, received: counter("received_bytes")}
	return resp, nil
}

// countedBody counts the bytes that are read.
type countedBody struct {
	io.ReadCloser
	received *metrics.Counter
}

// Read reads from the body.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received.Add(n)
	return n, err
}

// otherMethod stands for all paths that name no method. Each path of its own would take memory for good.
const otherMethod = "other"

// methodOf returns the method that a call names, or otherMethod.
func methodOf(r *http.Request) string {
	name := path.Base(r.URL.Path)
	services := peerpb.File_internal_node_peer_peerpb_peer_proto.Services()
	for i := range services.Len() {
		if services.Get(i).Methods().ByName(protoreflect.Name(name)) != nil {
			return name
		}
	}
	return otherMethod
}

// counted wraps a handler so that its calls are counted by method in set, if that is not nil.
func counted(set *metrics.Set, next http.Handler) http.Handler {
	if set == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		set.GetOrCreateCounter(fmt.Sprintf(`%sserved_total{method=%q}`, TrafficPrefix, methodOf(r))).Inc()
		next.ServeHTTP(w, r)
	})
}
