package prediction

// moments is an exponentially weighted mean and variance.
type moments struct {
	count    float64
	mean     float64
	variance float64
}

// add adds a value. The first window values are weighted equally.
func (m *moments) add(value, window float64) {
	m.count = min(m.count+1, window)
	weight := 1 / m.count
	deviation := value - m.mean
	m.mean += weight * deviation
	m.variance = (1 - weight) * (m.variance + weight*deviation*deviation)
}
