package sizing

import "math"

// Point is a value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a least-squares fit: value = Intercept + Slope × size.
type Line struct {
	Intercept float64
	Slope     float64
	// RSquared is the coefficient of determination, R².
	RSquared float64
	// MaxResidual is the largest absolute residual of a point.
	MaxResidual float64
}

// At returns the value of the line at the given size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// FitLine returns the least-squares line through the points. At least two points
// must differ in size.
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
	l.Intercept = (sumY - l.Slope*sumX) / n
	l.setQuality(points, sumY/n)
	return l
}

// setQuality sets RSquared and MaxResidual for points with the given mean value.
func (l *Line) setQuality(points []Point, mean float64) {
	var residualSquares, totalSquares float64
	for _, p := range points {
		residual := p.Value - l.At(p.Size)
		residualSquares += residual * residual
		totalSquares += (p.Value - mean) * (p.Value - mean)
		l.MaxResidual = max(l.MaxResidual, math.Abs(residual))
	}
	l.RSquared = 1
	if totalSquares > 0 {
		l.RSquared = 1 - residualSquares/totalSquares
	}
}
