package instancespeed

import (
	"encoding/binary"
	"errors"
	"math"
)

// An entry travels in 12 bytes: six of its key, and one for each of the two weights and means and
// for failures and refusals. Weights are told to a tenth, means to a thirty-second.
const (
	keyBytes   = keyBits / 8
	entryBytes = keyBytes + 6
	// weightSteps is how many steps a doubling of a weight has, weightZero the step of the
	// weight 1.
	weightSteps = 8
	weightZero  = 64
	meanSteps   = 32
)

// errLength says that encoded entries have no proper length.
var errLength = errors.New("instancespeed: entries are cut off")

// Encode returns entries as they travel, nil if there are none.
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

// Decode reads what Encode wrote.
func Decode(encoded []byte) ([]Entry, error) {
	if len(encoded)%entryBytes != 0 {
		return nil, errLength
	}
	entries := make([]Entry, 0, len(encoded)/entryBytes)
	for ; len(encoded) > 0; encoded = encoded[entryBytes:] {
		var key [8]byte
		copy(key[8-keyBytes:], encoded)
		figures := encoded[keyBytes:entryBytes]
		entries = append(entries, Entry{Key: Key(binary.BigEndian.Uint64(key[:])), Statistics: Statistics{
			Stable: evidenceOf(figures[0], figures[1]), Recent: evidenceOf(figures[2], figures[3]),
			Failed: weightOf(figures[4]), Refused: weightOf(figures[5]),
		}})
	}
	return entries, nil
}

func weightByte(weight float64) byte {
	if weight < leastWeight {
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

func meanByte(evidence WeightedSum) byte {
	mean := evidence.mean(0, 0)
	if math.IsNaN(mean) || math.IsInf(mean, 0) {
		mean = 0
	}
	return byte(int8(max(math.MinInt8, min(math.MaxInt8, math.Round(meanSteps*mean)))))
}

func evidenceOf(weight, mean byte) WeightedSum {
	count := weightOf(weight)
	return WeightedSum{Weight: count, Sum: count * float64(int8(mean)) / meanSteps}
}
