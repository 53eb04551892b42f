package main

import "testing"

// TestUsage checks that spaces and parentheses in the program name do not shift the fields,
// that KiB are converted to bytes, and that rates are per second.
func TestUsage(t *testing.T) {
	cpu, err := parseCPU("12 (a ) b) S 1 12 12 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 9 0 100 1 1")
	if err != nil || cpu != 3 {
		t.Errorf("CPU time %v s, error %v; want 3 s", cpu, err)
	}
	if _, err = parseCPU("12 (a"); err == nil {
		t.Error("parseCPU accepted a truncated line")
	}
	u := usage{cpu: 3}
	u.parse("Name:\tx\nVmRSS:\t   100 kB\nrchar: 3000\nwchar: 2000\nsyscr: 30\nsyscw: 20\n")
	if u.rss != 102400 || u.readBytes != 3000 || u.writtenBytes != 2000 || u.readCalls != 30 || u.writeCalls != 20 {
		t.Errorf("%+v", u)
	}
	r := u.ratesSince(usage{cpu: 1, readBytes: 1000}, 4)
	if r.cpu != 0.5 || r.readBytes != 500 || r.rss != 102400 {
		t.Errorf("%+v", r)
	}
}
