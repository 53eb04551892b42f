package main

import "orchidward/tests/sourceedit"

// versionMutations break the checks between servers of different versions.
var versionMutations = []mutation{
	{
		name:        "level is raised before every server supports it",
		file:        "internal/controlplane/levels.go",
		original:    "if status.SilentFor > levelSilentLimit || status.Level <= s.state.Level {",
		replacement: "if status.SilentFor > levelSilentLimit {",
		also: []sourceedit.Edit{
			{
				File:        "internal/controlplane/levels.go",
				Original:    "to = min(to, status.Level)",
				Replacement: "",
			},
		},
		tests: test("./tests/simulation/scenarios", "TestUpgrade"),
		want:  "upgraded, the level is",
	},
	{
		name:        "unknown entries are read as empty",
		file:        "internal/state/commands.go",
		original:    "\td.DisallowUnknownFields()\n",
		replacement: "",
		tests:       test("./tests/simulation/scenarios", "TestUnknownEntry"),
		want:        "went on past an entry",
	},
	{
		name:        "state checksums are not compared",
		file:        "internal/controlplane/levels.go",
		original:    "if !ok || checksum == command.Checksum {",
		replacement: "if !ok || checksum > 0 || checksum == command.Checksum {",
		tests:       test("./tests/simulation/scenarios", "TestStateDivergence"),
		want:        "its state diverged",
	},
}
