package capacity

// slope is a straight line fitted to measured points.
type slope struct {
	// base is the value at size 0 and per the increase for each unit of size.
	base, per float64
}

// fit returns the least-squares line through the points (sizes[i], values[i]).
func fit(sizes, values []float64) slope {
	n := float64(len(sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range sizes {
		sx += x
		sy += values[i]
		sxx += x * x
		sxy += x * values[i]
	}
	den := n*sxx - sx*sx
	if den == 0 {
		return slope{base: sy / n}
	}
	per := (n*sxy - sx*sy) / den
	return slope{base: (sy - per*sx) / n, per: per}
}

// at returns the line's value at a size.
func (s slope) at(size float64) float64 { return s.base + s.per*size }
