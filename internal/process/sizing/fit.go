package sizing

import "math"

// Point is one measurement: a value at a size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a least-squares fit, value = Base + Slope × size.
type Line struct {
	Base  float64
	Slope float64
	// Fit is R², and Off the largest distance of a point from the line.
	Fit float64
	Off float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// FitLine returns the line of least squares through points, of which at least
// two must differ in size.
func FitLine(points []Point) Line {
	var sumX, sumY, sumXX, sumXY float64
	n := float64(len(points))
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	var l Line
	l.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	l.Base = (sumY - l.Slope*sumX) / n
	l.measure(points, sumY/n)
	return l
}

// measure sets how well the line fits points with the given mean.
func (l *Line) measure(points []Point, mean float64) {
	var left, spread float64
	for _, p := range points {
		off := p.Value - l.At(p.Size)
		left += off * off
		spread += (p.Value - mean) * (p.Value - mean)
		l.Off = max(l.Off, math.Abs(off))
	}
	l.Fit = 1
	if spread > 0 {
		l.Fit = 1 - left/spread
	}
}
