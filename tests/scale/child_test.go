package main

import "testing"

// TestUse: a name with blanks and brackets does not shift the fields, kibibytes
// become bytes, and rates are by the second.
func TestUse(t *testing.T) {
	cpu, err := cpuOf("12 (a ) b) S 1 12 12 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 9 0 100 1 1")
	if err != nil || cpu != 3 {
		t.Errorf("%v s, %v", cpu, err)
	}
	if _, err = cpuOf("12 (a"); err == nil {
		t.Error("a torn line was read")
	}
	u := use{cpu: 3}
	u.fill("Name:\tx\nVmRSS:\t   100 kB\nrchar: 3000\nwchar: 2000\nsyscr: 30\nsyscw: 20\n")
	if u.rss != 102400 || u.read != 3000 || u.written != 2000 || u.gets != 30 || u.puts != 20 {
		t.Errorf("%+v", u)
	}
	r := u.minus(use{cpu: 1, read: 1000}, 4)
	if r.cpu != 0.5 || r.read != 500 || r.rss != 102400 {
		t.Errorf("%+v", r)
	}
}
