package operator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// minToken is the minimum length of a token, in bytes.
	minToken = 16
	// maxToken is the maximum length of a token, in bytes.
	maxToken = 4096
)

// token checks bearer tokens against a file, which it rereads when the file has changed.
type token struct {
	path string

	mu       sync.Mutex
	modified time.Time
	size     int64
	info     os.FileInfo
	hash     [sha256.Size]byte
	err      error
}

// check returns nil if the Authorization header carries the token in the file. It refuses all requests if the file is
// unreadable or has no valid token.
func (t *token) check(header []byte) error {
	sum, err := t.digest()
	if err != nil {
		return &Error{Op: "check token", Kind: KindUnavailable, Err: err, Message: err.Error()}
	}
	bearer, ok := bytes.CutPrefix(header, []byte("Bearer "))
	// Hashes have a fixed length, so that the comparison takes the same time for tokens of any length.
	got := sha256.Sum256(bearer)
	if same := subtle.ConstantTimeCompare(got[:], sum[:]) == 1; !ok || !same {
		err := errors.New("want the header Authorization: Bearer TOKEN with the operator's token")
		return &Error{Op: "check token", Kind: KindDenied, Err: err, Message: err.Error()}
	}
	return nil
}

// digest returns the hash of the token in the file.
func (t *token) digest() ([sha256.Size]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	info, err := os.Stat(t.path)
	if err != nil {
		t.info = nil
		return t.hash, fmt.Errorf("token file: %w", err)
	}
	if t.info != nil && os.SameFile(info, t.info) && info.ModTime().Equal(t.modified) && info.Size() == t.size {
		return t.hash, t.err
	}
	t.info, t.modified, t.size = info, info.ModTime(), info.Size()
	t.hash, t.err = readToken(t.path)
	return t.hash, t.err
}

func readToken(path string) ([sha256.Size]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return [sha256.Size]byte{}, fmt.Errorf("token file: %w", err)
	}
	text = bytes.TrimSpace(text)
	if len(text) < minToken || len(text) > maxToken {
		return [sha256.Size]byte{}, fmt.Errorf("token file %s: token of %d bytes, want %d to %d", path, len(text), minToken, maxToken)
	}
	return sha256.Sum256(text), nil
}
