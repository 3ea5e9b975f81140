package lockstep

import (
	"math"
	"time"
)

// decay returns what is left after a time of something with a half-life.
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

// distance returns the part of all picks by which two layers' picks differ, 0
// when one of them is empty.
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
