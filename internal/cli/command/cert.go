package command

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// clockSkewAllowance backdates certificates, so that VMs whose clock is slightly behind accept a new one.
	clockSkewAllowance = time.Hour
	// serialNumberBits is the length of the random serial number of a certificate.
	serialNumberBits = 127
	// privateFileMode denies other users of the VM access to the keys.
	privateFileMode = 0o600
)

// cert issues certificates for the peer port.
func (a *app) cert(cmd *kingpin.CmdClause) func(context.Context) error {
	dir := cmd.Flag("dir", "Folder of the certificate authority, ca.pem and ca-key.pem; created when missing.").Required().String()
	valid := cmd.Flag("valid", "Validity period of new certificates.").Default("8760h").Duration()
	names := cmd.Arg("node", "Node to issue NODE.pem and NODE-key.pem for.").Required().Strings()
	return func(context.Context) error {
		if err := a.issue(*dir, *names, *valid); err != nil {
			return &Error{Op: "cert", Kind: KindRun, Err: err}
		}
		return nil
	}
}

func (a *app) issue(dir string, names []string, valid time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, err := loadAuthority(dir)
	if errors.Is(err, fs.ErrNotExist) {
		ca, err = newAuthority(dir, valid)
	}
	if err != nil {
		return err
	}
	for _, name := range names {
		template := &x509.Certificate{
			Subject:     pkix.Name{CommonName: name},
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		if _, err := ca.sign(dir, name, template, valid); err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s and %s written\n", filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
	}
	return nil
}

// authority is a certificate with its key. The zero value signs certificates with their own key.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(dir string, valid time.Duration) (*authority, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "camphorhinge cluster"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	return (&authority{}).sign(dir, "ca", template, valid)
}

func loadAuthority(dir string) (*authority, error) {
	certDER, err := readPEM(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, err
	}
	keyDER, err := readPEM(filepath.Join(dir, "ca-key.pem"))
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, err
	}
	return &authority{cert: cert, key: key}, nil
}

// sign generates a key, issues a certificate for it, writes both to dir and returns them.
func (ca *authority) sign(dir, name string, template *x509.Certificate, valid time.Duration) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, err
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-clockSkewAllowance), time.Now().Add(valid)
	parent, signer := ca.cert, ca.key
	if parent == nil {
		parent, signer = template, key
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(dir, name+"-key.pem"), "EC PRIVATE KEY", keyDER); err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", certDER); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, err
	}
	return &authority{cert: cert, key: key}, nil
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), privateFileMode)
}

func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("%s: expected PEM", path)
	}
	return block.Bytes, nil
}
