package peer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/observe/trace"
)

type echo struct {
	peerpb.Control
	peerpb.Replica
	peerpb.Spread
}

func (echo) Propose(_ context.Context, req *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	return &peerpb.ProposeResponse{Result: req.GetCommand(), Outcome: "done"}, nil
}

// authority is the CA of one test cluster.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "cluster"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{cert: cert, key: key}
}

// issue writes a new certificate, its key and the CA certificate into dir, and overwrites existing files.
func (a *authority) issue(t *testing.T, dir string) peer.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	files := peer.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

func serve(t *testing.T, files *peer.Files) string {
	t.Helper()
	s, err := peer.NewServer("127.0.0.1:0", files)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		return s.Serve(ctx, peer.Services{Replica: echo{}, Control: echo{}, Spread: echo{}})
	})
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return s.Address()
}

func call(t *testing.T, pool *peer.Pool, address string) error {
	t.Helper()
	resp, err := pool.Get(address).Control.Propose(context.Background(), &peerpb.ProposeRequest{Command: []byte("x")})
	if err == nil {
		require.Equal(t, "x", string(resp.GetResult()))
	}
	return err
}

// Guards against a peer port that serves processes of another cluster or without a certificate.
func TestOnlyPeersOfTheClusterAreServed(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	serverFiles, clientFiles, foreignFiles := own.issue(t, t.TempDir()), own.issue(t, t.TempDir()), foreign.issue(t, t.TempDir())
	tests := []struct {
		name           string
		server, client *peer.Files
		ok             bool
	}{
		{name: "same cluster", server: &serverFiles, client: &clientFiles, ok: true},
		{name: "plain both", ok: true},
		{name: "foreign client", server: &serverFiles, client: &foreignFiles},
		{name: "foreign server", server: &foreignFiles, client: &clientFiles},
		{name: "plain client", server: &serverFiles},
		{name: "plain server", client: &clientFiles},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serve(t, tt.server)
			pool, err := peer.NewPool(tt.client)
			require.NoError(t, err)
			require.Equal(t, tt.ok, call(t, pool, address) == nil)
		})
	}
}

// Guards against a certificate renewal that requires a restart.
func TestCertificatesAreReloaded(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	serverFiles, clientFiles := oldCA.issue(t, serverDir), oldCA.issue(t, clientDir)
	address := serve(t, &serverFiles)
	pool, err := peer.NewPool(&clientFiles)
	require.NoError(t, err)
	require.NoError(t, call(t, pool, address))

	newCA.issue(t, serverDir)
	newCA.issue(t, clientDir)
	later := time.Now().Add(time.Minute)
	for _, dir := range []string{serverDir, clientDir} {
		require.NoError(t, os.Chtimes(filepath.Join(dir, "cert.pem"), later, later))
	}
	fresh, err := peer.NewPool(&clientFiles)
	require.NoError(t, err)
	require.NoError(t, call(t, fresh, address))
}

// Guards against reusing a connection on which a call has timed out.
func TestSilentConnectionIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan net.Conn, 8)
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			accepted <- c
		}
	})
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := pool.Get(listener.Addr().String()).Control.Propose(ctx, &peerpb.ProposeRequest{})
		cancel()
		require.Error(t, err)
		c := <-accepted // Each call opens its own connection.
		t.Cleanup(func() { c.Close() })
	}
	listener.Close()
	require.NoError(t, g.Wait())
}

// Guards against traces that lack the calls between nodes, and against spans for the many calls that belong to no
// trace.
func TestCallsKeepTheTrace(t *testing.T) {
	var out bytes.Buffer
	p, err := trace.New(t.Context(), trace.Config{ServiceName: "node", Output: &out})
	require.NoError(t, err)
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		return s.Serve(ctx, peer.Services{Replica: echo{}, Control: echo{}, Spread: echo{}, Tracer: p.Tracer("peer")})
	})
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	require.NoError(t, call(t, pool, s.Address()))
	traced, span := p.Tracer("frontend").Start(t.Context(), "claim")
	_, err = pool.Get(s.Address()).Control.Propose(traced, &peerpb.ProposeRequest{})
	require.NoError(t, err)
	span.End()
	cancel()
	require.NoError(t, g.Wait())
	require.NoError(t, p.Close(context.Background()))
	const mentions = 3 // Both spans contain the trace ID, and so does the child's reference to its parent.
	require.Equal(t, mentions, bytes.Count(out.Bytes(), []byte(span.SpanContext().TraceID().String())))
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte(`"Name":"peer Propose"`)))
}

// Guards against starting with unusable certificate files.
func TestUnusableFiles(t *testing.T) {
	dir := t.TempDir()
	files := newAuthority(t).issue(t, dir)
	require.NoError(t, os.WriteFile(files.CA, []byte("not PEM"), 0o600))
	_, err := peer.NewPool(&files)
	require.ErrorContains(t, err, "no certificate in")
	files.Cert = filepath.Join(dir, "missing.pem")
	_, err = peer.NewServer("127.0.0.1:0", &files)
	require.ErrorContains(t, err, "missing.pem")
}

// waiting blocks calls after the first until released.
type waiting struct {
	echo
	calls    atomic.Int32
	released chan struct{}
}

func (w *waiting) Propose(ctx context.Context, req *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	if w.calls.Add(1) > 1 {
		<-w.released
	}
	return w.echo.Propose(ctx, req)
}

// Guards against core nodes that run out of descriptors when the requests of many entry nodes wait for engines: the
// calls of one node share a connection.
func TestWaitingCallsShareAConnection(t *testing.T) {
	// A core node has 4,096 descriptors for 330 entry nodes.
	const calls, connections = 200, 4096 / 330
	for _, tt := range []struct {
		name string
		tls  bool
	}{{name: "plain"}, {name: "TLS", tls: true}} {
		t.Run(tt.name, func(t *testing.T) {
			var files *peer.Files
			if tt.tls {
				issued := newAuthority(t).issue(t, t.TempDir())
				files = &issued
			}
			s, err := peer.NewServer("127.0.0.1:0", files)
			require.NoError(t, err)
			w := &waiting{released: make(chan struct{})}
			ctx, cancel := context.WithCancel(context.Background())
			var g, callers errgroup.Group
			g.Go(func() error { return s.Serve(ctx, peer.Services{Replica: w, Control: w, Spread: w}) })
			pool, err := peer.NewPool(files)
			require.NoError(t, err)
			require.NoError(t, call(t, pool, s.Address()))
			for range calls {
				callers.Go(func() error {
					_, err := pool.Get(s.Address()).Control.Propose(ctx, &peerpb.ProposeRequest{Command: []byte("x")})
					return err
				})
			}
			require.Eventually(t, func() bool { return w.calls.Load() == 1+calls }, 5*time.Second, time.Millisecond)
			require.LessOrEqual(t, s.Connections(), int64(connections))
			close(w.released)
			require.NoError(t, callers.Wait())
			cancel()
			require.NoError(t, g.Wait())
		})
	}
}

// Guards upgrades one node at a time: a peer that only speaks HTTP/1.1 is called at once, without a failed call.
func TestPeerOfEarlierVersion(t *testing.T) {
	s := httptest.NewServer(peerpb.NewControlServer(echo{}))
	defer s.Close()
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	for range 3 {
		require.NoError(t, call(t, pool, s.Listener.Addr().String()))
	}
}
