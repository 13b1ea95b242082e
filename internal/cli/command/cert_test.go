package command

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

type statusOnly struct{ peerpb.Control }

func (statusOnly) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return &peerpb.StatusResponse{}, nil
}

// TestCert guards against certificates that nodes don't accept, and against a second call that replaces the certificate
// authority and so invalidates the certificates of the first.
func TestCert(t *testing.T) {
	dir := t.TempDir()
	var out, errs bytes.Buffer
	for _, nodes := range [][]string{{"n1", "n2"}, {"n3"}} {
		require.Zero(t, Run(t.Context(), append([]string{"cert", "--dir", dir}, nodes...), &out, &errs), errs.String())
	}
	files := func(name string) *peer.Files {
		return &peer.Files{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem"), CA: filepath.Join(dir, "ca.pem")}
	}
	s, err := peer.NewServer("127.0.0.1:0", files("n1"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Control: statusOnly{}}) })
	for _, name := range []string{"n2", "n3"} {
		pool, err := peer.NewPool(files(name))
		require.NoError(t, err)
		_, err = pool.Get(s.Address()).Control.Status(t.Context(), &peerpb.StatusRequest{})
		require.NoError(t, err, name)
		pool.Close()
	}
	cancel()
	require.NoError(t, g.Wait())
}
