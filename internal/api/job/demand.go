package job

const milliCoresPerCore = 1000

// Demand is an amount of resources: requested, in use or free. The difference of two demands
// may be negative.
type Demand struct {
	Cores int64 `json:"cores"`
	// Mem is in mebibytes.
	Mem int64 `json:"memMb"`
	// MilliCores is added to Cores, in thousandths of a core. Use CPU, which returns the
	// sum, for comparisons; in a difference the two fields may have different signs.
	MilliCores int64 `json:"milliCores,omitempty"`
	GPUs       int64 `json:"gpus,omitempty"`
}

// CPU returns the amount of CPU, in thousandths of a core.
func (d Demand) CPU() int64 { return d.Cores*milliCoresPerCore + d.MilliCores }

// Fits reports whether d does not exceed the available CPU, memory and GPUs.
func (d Demand) Fits(available Demand) bool {
	return d.CPU() <= available.CPU() && d.Mem <= available.Mem && d.GPUs <= available.GPUs
}

// WithinLimit reports whether d does not exceed the CPU and memory of a limit. GPUs are
// ignored.
func (d Demand) WithinLimit(limit Demand) bool {
	return d.CPU() <= limit.CPU() && d.Mem <= limit.Mem
}

// Plus returns the sum of d and other, field by field.
func (d Demand) Plus(other Demand) Demand {
	return Demand{
		Cores:      d.Cores + other.Cores,
		Mem:        d.Mem + other.Mem,
		MilliCores: d.MilliCores + other.MilliCores,
		GPUs:       d.GPUs + other.GPUs,
	}
}

// Minus returns d less other, field by field. Fields may become negative.
func (d Demand) Minus(other Demand) Demand {
	return Demand{
		Cores:      d.Cores - other.Cores,
		Mem:        d.Mem - other.Mem,
		MilliCores: d.MilliCores - other.MilliCores,
		GPUs:       d.GPUs - other.GPUs,
	}
}

// shareUnit is the unit of shares, which are in millionths.
const shareUnit = 1_000_000

// Share returns d's dominant share of the total: the largest of its shares of CPU, memory and
// GPUs, in millionths.
func (d Demand) Share(total Demand) int64 {
	var share int64
	if total.CPU() > 0 {
		share = d.CPU() * shareUnit / total.CPU()
	}
	if total.Mem > 0 {
		share = max(share, d.Mem*shareUnit/total.Mem)
	}
	if total.GPUs > 0 {
		share = max(share, d.GPUs*shareUnit/total.GPUs)
	}
	return share
}
