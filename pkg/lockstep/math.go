package lockstep

import (
	"math"
	"time"
)

// decay returns the fraction of a quantity that remains after elapsed.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// distance returns the total variation distance between the distributions a and b of
// expert selections in a layer, or 0 if either of them is empty.
func distance(a, b []float64) float64 {
	sumA, sumB := sum(a), sum(b)
	if sumA == 0 || sumB == 0 {
		return 0
	}
	d := 0.0
	for i := range a {
		d += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return d / 2
}
