package runtimeestimator

import "math/bits"

const (
	// fractionBits is the number of fractional bits of a logarithm; unit is the logarithm of 2.
	fractionBits = 10
	unit         = 1 << fractionBits
	// mantissaBits is the number of bits after the point of a mantissa between 1 and 2.
	mantissaBits = 31
)

// roots holds 2^(1/2), 2^(1/4) and so on, with mantissaBits bits after the point.
var roots = [fractionBits]uint64{
	3037000500, 2553802834, 2341847524, 2242560872, 2194507417, 2170868212, 2159144272, 2153306067, 2150392887, 2148937775,
}

// logarithm returns the binary logarithm of a number of at least 1, in units of 1/unit, rounded down.
func logarithm(n uint32) int64 {
	whole := bits.Len32(n) - 1
	mantissa := uint64(n) << (mantissaBits - whole)
	log := int64(whole)
	for range fractionBits {
		mantissa = mantissa * mantissa >> mantissaBits
		log <<= 1
		if mantissa >= 2<<mantissaBits {
			mantissa >>= 1
			log++
		}
	}
	return log
}

// power returns 2 to the power of a logarithm, rounded to the nearest number; logarithms below 0 give 1, and those of 32
// and more the largest number.
func power(log int64) uint32 {
	whole := log >> fractionBits
	switch {
	case log < 0:
		return 1
	case whole >= 32:
		return 1<<32 - 1
	}
	mantissa := uint64(1) << mantissaBits
	for i, root := range roots {
		if log&(unit>>(i+1)) != 0 {
			mantissa = mantissa * root >> mantissaBits
		}
	}
	shift := mantissaBits - whole
	return uint32(min(1<<32-1, (mantissa+(1<<shift)>>1)>>shift))
}
