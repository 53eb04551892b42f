// Demand is room asked for, held or free: cores, mebibytes and accelerators.
// Milli are thousandths of a core beyond Cores; only the sum of both counts, so
// a difference may bear them with unlike signs.

package job

// Demand is an amount of resources: asked for, in use or free. Mem is in
// mebibytes, Milli in thousandths of a core. A difference may be negative.
type Demand struct {
	Cores      int64 `json:"cores"`
	Mem        int64 `json:"memMb"`
	MilliCores int64 `json:"milliCores,omitempty"`
	GPUs       int64 `json:"gpus,omitempty"`
}

// CPU is the processor asked for, in thousandths of a core.
func (d Demand) CPU() int64 { return d.Cores*1000 + d.MilliCores }

// Fits tells whether d is no more than room in processor, memory and
// accelerators.
func (d Demand) Fits(room Demand) bool {
	return d.CPU() <= room.CPU() && d.Mem <= room.Mem && d.GPUs <= room.GPUs
}

// WithinLimit tells whether d keeps within a limit that says nothing of accelerators.
func (d Demand) WithinLimit(limit Demand) bool {
	return d.CPU() <= limit.CPU() && d.Mem <= limit.Mem
}

// Plus adds field by field.
func (d Demand) Plus(b Demand) Demand {
	return Demand{d.Cores + b.Cores, d.Mem + b.Mem, d.MilliCores + b.MilliCores, d.GPUs + b.GPUs}
}

// Minus subtracts field by field; it does not stop at zero.
func (d Demand) Minus(b Demand) Demand {
	return Demand{d.Cores - b.Cores, d.Mem - b.Mem, d.MilliCores - b.MilliCores, d.GPUs - b.GPUs}
}

// Share is the largest of the shares of whole, in millionths.
func (d Demand) Share(whole Demand) int64 {
	var out int64
	if whole.CPU() > 0 {
		out = d.CPU() * 1_000_000 / whole.CPU()
	}
	if whole.Mem > 0 {
		out = max(out, d.Mem*1_000_000/whole.Mem)
	}
	if whole.GPUs > 0 {
		out = max(out, d.GPUs*1_000_000/whole.GPUs)
	}
	return out
}
