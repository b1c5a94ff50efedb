package admission

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// diffusionKey identifies requests that are admitted by one share. Lengths are not distinguished, so
// that prompts of all lengths of a kind are admitted at the same rate.
type diffusionKey struct {
	tier    Tier
	account uint32
	kind    string
}

// diffuser admits a share of a sequence of requests evenly: each request adds the share to an
// error, and one that brings the error to 1 is admitted and takes 1 from it. Of any n requests in
// a row, the number that is admitted differs from n times the share by less than 1.
type diffuser struct {
	errors map[diffusionKey]float64
	seed   uint64
}

// maxDiffusionKeys bounds the errors that are kept. Beyond it all are dropped, which shifts the
// admission of each key by less than a request.
const maxDiffusionKeys = 4096

// maxDebt is how many returning requests are admitted ahead of their share. Newcomers make up for it.
const maxDebt = 4

func newDiffuser(seed uint64) *diffuser {
	return &diffuser{errors: map[diffusionKey]float64{}, seed: seed}
}

// admit decides on the next request of a key.
func (d *diffuser) admit(key diffusionKey, share float64, returning bool) bool {
	e, found := d.errors[key]
	if !found {
		if len(d.errors) >= maxDiffusionKeys {
			clear(d.errors)
		}
		e = d.phase(key)
	}
	e += min(max(share, 0), 1)
	admitted := e >= 1 || returning && e > -maxDebt
	if admitted {
		e--
	}
	d.errors[key] = e
	return admitted
}

// phase is the error with which a key starts, 0 to 1. It differs between entries. If all started
// alike, those with few requests would all refuse, or all admit, their first one.
func (d *diffuser) phase(key diffusionKey) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(d.seed)
	var bytes [5]byte
	binary.LittleEndian.PutUint32(bytes[:], key.account)
	bytes[4] = byte(key.tier)
	_, _ = digest.Write(bytes[:])
	_, _ = digest.WriteString(key.kind)
	const bits = 53 // those of a float64's mantissa
	return float64(digest.Sum64()>>(64-bits)) / (1 << bits)
}
