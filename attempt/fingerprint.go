package attempt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// Fingerprint identifies a request by its client account and its content, so that copies of it
// are recognised whatever their request IDs are and whichever entry receives them. Both halves
// are truncated SHA-256 digests, so that nobody can make a request with the fingerprint of
// another.
type Fingerprint struct {
	// Scope covers everything but the body, Body the body.
	Scope, Body uint64
}

// String returns the fingerprint as 32 hexadecimal digits, as it appears in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.Scope, f.Body) }

// ParseFingerprint returns the fingerprint that String has returned as text.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != 16 {
		return Fingerprint{}, errors.Errorf("%q is no fingerprint", text)
	}
	return Fingerprint{Scope: binary.BigEndian.Uint64(data[:8]), Body: binary.BigEndian.Uint64(data[8:])}, nil
}

// FingerprintScope returns the half of a fingerprint that can be computed without reading the
// body: it covers the account, the method, the host, the target and the body's length.
func FingerprintScope(account, method, host, target string, bodyBytes int) uint64 {
	digest := sha256.New()
	for _, part := range []string{account, method, host, target} {
		_ = binary.Write(digest, binary.LittleEndian, uint64(len(part)))
		_, _ = digest.Write([]byte(part))
	}
	_ = binary.Write(digest, binary.LittleEndian, uint64(bodyBytes))
	return binary.LittleEndian.Uint64(digest.Sum(nil))
}

// FingerprintBody returns the half of a fingerprint that covers the body.
func FingerprintBody(body []byte) uint64 {
	digest := sha256.Sum256(body)
	return binary.LittleEndian.Uint64(digest[:])
}
