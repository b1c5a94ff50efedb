package attempt

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint names a request by its caller and what it asks, so that copies of it are known
// whatever their IDs are and wherever they come. Both halves are cut from SHA-256: nobody can make
// a request that has another one's.
type Fingerprint struct {
	// Scope is of everything but the body, Body of the body.
	Scope, Body uint64
}

// String gives the fingerprint in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.Scope, f.Body) }

// FingerprintScope is the part of a fingerprint that needs no reading of the body.
func FingerprintScope(account, method, host, target string, bodyBytes int) uint64 {
	digest := sha256.New()
	for _, part := range []string{account, method, host, target} {
		_ = binary.Write(digest, binary.LittleEndian, uint64(len(part)))
		_, _ = digest.Write([]byte(part))
	}
	_ = binary.Write(digest, binary.LittleEndian, uint64(bodyBytes))
	return binary.LittleEndian.Uint64(digest.Sum(nil))
}

// FingerprintBody is the part of a fingerprint that stands for the body.
func FingerprintBody(body []byte) uint64 {
	digest := sha256.Sum256(body)
	return binary.LittleEndian.Uint64(digest[:])
}
