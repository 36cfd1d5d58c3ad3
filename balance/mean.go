package balance

// learningRate is the weight of a new observation in a running mean of many observations.
const learningRate = 0.1

// mean is an exponentially weighted running mean.
type mean struct {
	count float64
	value float64
}

func (m *mean) observe(x float64) {
	m.count++
	m.value += (x - m.value) * max(learningRate, 1/m.count)
}

// withPrior returns the mean, combined with a prior value that counts for the given number of observations.
func (m *mean) withPrior(prior, weight float64) float64 {
	n := min(m.count, 1/learningRate)
	return (n*m.value + weight*prior) / (n + weight)
}

// meansByName holds a mean for each name.
type meansByName map[string]*mean

// forName returns the mean of a name. All callers with the same name share it.
func (m meansByName) forName(name string) *mean {
	if m[name] == nil {
		m[name] = &mean{}
	}
	return m[name]
}
