package job

// milliCoresPerCore is the number of thousandths in a core.
const milliCoresPerCore = 1000

// Demand is an amount of resources: asked for, in use or free. A difference of two may be
// negative.
type Demand struct {
	Cores int64 `json:"cores"`
	// Mem is in mebibytes.
	Mem int64 `json:"memMb"`
	// MilliCores are thousandths of a core beyond Cores. Only CPU, which adds both,
	// counts; in a difference the two may have unlike signs.
	MilliCores int64 `json:"milliCores,omitempty"`
	GPUs       int64 `json:"gpus,omitempty"`
}

// CPU is the processors, in thousandths of a core.
func (d Demand) CPU() int64 { return d.Cores*milliCoresPerCore + d.MilliCores }

// Fits tells whether d is no more than room in processors, memory and GPUs.
func (d Demand) Fits(available Demand) bool {
	return d.CPU() <= available.CPU() && d.Mem <= available.Mem && d.GPUs <= available.GPUs
}

// WithinLimit tells whether d keeps within a limit that does not mention GPUs.
func (d Demand) WithinLimit(limit Demand) bool {
	return d.CPU() <= limit.CPU() && d.Mem <= limit.Mem
}

// Plus adds field by field.
func (d Demand) Plus(other Demand) Demand {
	return Demand{
		Cores:      d.Cores + other.Cores,
		Mem:        d.Mem + other.Mem,
		MilliCores: d.MilliCores + other.MilliCores,
		GPUs:       d.GPUs + other.GPUs,
	}
}

// Minus subtracts field by field; it does not stop at zero.
func (d Demand) Minus(other Demand) Demand {
	return Demand{
		Cores:      d.Cores - other.Cores,
		Mem:        d.Mem - other.Mem,
		MilliCores: d.MilliCores - other.MilliCores,
		GPUs:       d.GPUs - other.GPUs,
	}
}

// shareUnit is a share of 1: shares are in millionths.
const shareUnit = 1_000_000

// Share is the largest of the shares that d has of the total, in millionths.
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
