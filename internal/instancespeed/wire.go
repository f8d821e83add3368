package instancespeed

import (
	"encoding/binary"
	"errors"
	"math"
)

// An entry is encoded in 12 bytes: six for its key, and one each for the two weights, the two
// means, the failures and the refusals. Weights have a resolution of about a tenth, means of a
// thirty-second.
const (
	keyBytes   = keyBits / 8
	entryBytes = keyBytes + 6
	// weightSteps is the number of steps per doubling of a weight, weightZero the step of the
	// weight 1.
	weightSteps = 8
	weightZero  = 64
	meanSteps   = 32
)

// errTruncated is returned when the length of encoded entries is not a multiple of entryBytes.
var errTruncated = errors.New("instancespeed: encoded entries are truncated")

// Encode returns the wire format of entries, nil if there are none.
func Encode(entries []Entry) []byte {
	var encoded []byte
	for _, entry := range entries {
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], uint64(entry.Key))
		encoded = append(encoded, key[8-keyBytes:]...)
		f := entry.Statistics
		encoded = append(encoded, weightByte(f.Stable.Weight), meanByte(f.Stable), weightByte(f.Recent.Weight), meanByte(f.Recent))
		encoded = append(encoded, weightByte(f.Failed), weightByte(f.Refused))
	}
	return encoded
}

// Decode decodes the output of Encode. It returns an error if the entries are truncated.
func Decode(encoded []byte) ([]Entry, error) {
	if len(encoded)%entryBytes != 0 {
		return nil, errTruncated
	}
	entries := make([]Entry, 0, len(encoded)/entryBytes)
	for ; len(encoded) > 0; encoded = encoded[entryBytes:] {
		var key [8]byte
		copy(key[8-keyBytes:], encoded)
		statistics := encoded[keyBytes:entryBytes]
		entries = append(entries, Entry{Key: Key(binary.BigEndian.Uint64(key[:])), Statistics: Statistics{
			Stable: weightedSumOf(statistics[0], statistics[1]), Recent: weightedSumOf(statistics[2], statistics[3]),
			Failed: weightOf(statistics[4]), Refused: weightOf(statistics[5]),
		}})
	}
	return entries, nil
}

func weightByte(weight float64) byte {
	if weight < minWeight {
		return 0
	}
	return byte(max(1, min(math.MaxUint8, math.Round(weightSteps*math.Log2(weight))+weightZero)))
}

func weightOf(encoded byte) float64 {
	if encoded == 0 {
		return 0
	}
	return math.Exp2((float64(encoded) - weightZero) / weightSteps)
}

func meanByte(sum WeightedSum) byte {
	mean := sum.mean(0, 0)
	if math.IsNaN(mean) || math.IsInf(mean, 0) {
		mean = 0
	}
	return byte(int8(max(math.MinInt8, min(math.MaxInt8, math.Round(meanSteps*mean)))))
}

func weightedSumOf(weight, mean byte) WeightedSum {
	count := weightOf(weight)
	return WeightedSum{Weight: count, Sum: count * float64(int8(mean)) / meanSteps}
}
