package backend

import (
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"hash"
	"net/http"
	"strings"

	"egretline.example/egretline/service/api"
)

// digestCheck compares a response body with the digest in its Content-Digest header (RFC 9530). A nil check matches any
// body.
type digestCheck struct {
	hash hash.Hash
	want []byte
}

// newDigestCheck returns a check for the first digest with a known algorithm, or nil if there is none. If the digest
// cannot be decoded, no body passes the check. A response to HEAD is not checked: its digest is that of a body that is
// not sent.
func newDigestCheck(method string, r *http.Response) *digestCheck {
	if method == http.MethodHead || r.StatusCode == http.StatusNotModified {
		return nil
	}
	for _, line := range r.Header.Values(api.HeaderContentDigest) {
		for member := range strings.SplitSeq(line, ",") {
			algorithm, value, _ := strings.Cut(strings.TrimSpace(member), "=")
			if sum := newHash(algorithm); sum != nil {
				want, _ := base64.StdEncoding.DecodeString(strings.Trim(value, ":"))
				return &digestCheck{hash: sum, want: want}
			}
		}
	}
	return nil
}

func newHash(algorithm string) hash.Hash {
	switch strings.ToLower(algorithm) {
	case "sha-256":
		return sha256.New()
	case "sha-512":
		return sha512.New()
	}
	return nil
}

func (d *digestCheck) write(p []byte) {
	if d != nil {
		_, _ = d.hash.Write(p)
	}
}

func (d *digestCheck) matches() bool {
	return d == nil || bytes.Equal(d.hash.Sum(nil), d.want)
}
