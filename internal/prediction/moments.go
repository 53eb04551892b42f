package prediction

// moments are a mean and a variance in which recent values weigh more.
type moments struct {
	count    float64
	mean     float64
	variance float64
}

// add takes a value. Until window values have come, all weigh alike.
func (m *moments) add(value, window float64) {
	m.count = min(m.count+1, window)
	weight := 1 / m.count
	deviation := value - m.mean
	m.mean += weight * deviation
	m.variance = (1 - weight) * (m.variance + weight*deviation*deviation)
}
