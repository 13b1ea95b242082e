package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files for mutual TLS between nodes.
type Files struct {
	Cert, Key, CA string
}

// credentials provides the current certificate and CA pool of Files.
type credentials struct {
	files Files

	mu      sync.Mutex
	modTime time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// newCredentials loads the files, so that an unusable file is reported at startup.
func newCredentials(files Files) (*credentials, error) {
	c := &credentials{files: files}
	if err := c.read(); err != nil {
		return nil, &Error{Op: "credentials", Kind: KindTLS, Err: err}
	}
	return c, nil
}

func (c *credentials) read() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.New("no certificate in " + c.files.CA)
	}
	c.cert, c.pool, c.modTime = &cert, pool, c.newestModTime()
	return nil
}

// newestModTime returns the latest modification time of the files.
func (c *credentials) newestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificate and CA pool, which it reloads if a file has changed. If the files cannot be loaded,
// for example because they are being replaced, it returns the previous ones.
func (c *credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.newestModTime().Equal(c.modTime) {
		if err := c.read(); err != nil {
			return c.cert, c.pool
		}
	}
	return c.cert, c.pool
}

func (c *credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// clientConfig returns a configuration that verifies the peer's certificate chain but not its name: peers are addressed
// by IP address, and the CA signs certificates of this cluster only.
func (c *credentials) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection below checks the chain against the current pool.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := c.current()
			intermediates := x509.NewCertPool()
			for _, cert := range state.PeerCertificates[1:] {
				intermediates.AddCert(cert)
			}
			_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			})
			return err
		},
	}
}
