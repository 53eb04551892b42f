package policy

import (
	"strings"
	"testing"
)

// TestScore checks the scores of expressions that use the fields and functions available to
// policies.
func TestScore(t *testing.T) {
	inputs := Inputs{
		FreeCores:     6,
		Cores:         16,
		RunnerDefects: 2,
		Labels:        map[string]bool{"ssd": true},
		Zone:          "north",
		NeedCores:     2,
		Urgency:       3,
	}
	for source, want := range map[string]float64{
		"runner.freeCores - task.cores":                                4,
		"10 if label(\"ssd\") and not zone(\"east\") else -runner.bad": 10,
		"max(runner.freeCores * 100 // runner.cores, 5) + 0.5":         37.5,
		"zone(\"north\")": 1,
		"(runner.bad > 1) == (task.urgency\n  >= 3)":                              1,
		"min(runner.cores, abs(-3), task.urgency + label(\"x\") if False else 7)": 3,
	} {
		policy, err := Compile(source)
		if err != nil {
			t.Errorf("%s: %v", source, err)
			continue
		}
		if score, err := policy.Score(inputs); err != nil || score != want {
			t.Errorf("%s: %v, %v, want %v", source, score, err, want)
		}
	}
}

// TestCompileRejects checks that expressions that could build unbounded values, loop, recurse
// or read anything besides their inputs are rejected, with the line and column in the source.
func TestCompileRejects(t *testing.T) {
	for source, want := range map[string]string{
		"runner.freeCores +":               "policy:1:19",
		"(1 +\n  nothing)":                 "policy:2:3: unknown name nothing",
		"\"a\" * 1000000000":               "text is only for",
		"[0] * 1000000000":                 "not for policies",
		"sum([x for x in range(1000000)])": "may be called",
		"(lambda x: x)(1)":                 "may be called",
		"1 << 500":                         "operator << is not for policies",
		"runner.name":                      "no such field",
		"runner.freeCores.bad":             "no such field",
		"label(1)":                         "wants one word",
		"min(\"a\", 2)":                    "text is only for",
		"max(1, other)":                    "unknown name other",
		"print(1)":                         "may be called",
		"runner":                           "unknown name runner",
		"def f(): pass":                    "policy:1:1",
		strings.Repeat("1+", MaxSourceBytes/2+1) + "1": "longer than",
	} {
		if _, err := Compile(source); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40s: %v, want %s", source, err, want)
		}
	}
}

// TestScoreFails checks that a policy that compiles but fails in evaluation returns an error.
func TestScoreFails(t *testing.T) {
	for _, source := range []string{
		"1 // (runner.running - runner.running)",
		"runner.freeCores / 0",
		"label(\"a\") + 1 < 2 and 1 // 0",
		strings.Repeat("runner.freeCores*", 40) + "1e300",
	} {
		policy, err := Compile(source)
		if err != nil {
			t.Errorf("%s: %v", source, err)
			continue
		}
		if score, err := policy.Score(Inputs{FreeCores: 1 << 30}); err == nil {
			t.Errorf("%s: score %v, want an error", source, score)
		}
	}
}
