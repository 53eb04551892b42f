package main

import "orchidward/tests/sourceedit"

// ablations maps the name of an ablation to its edits; each disables one mechanism.
var ablations = map[string][]sourceedit.Edit{
	"no-timeliness": {{
		File:        "internal/scheduler/job_order.go",
		Original:    "		cmp.Compare(a.timeliness, b.timeliness),\n",
		Replacement: "",
	}},
	"no-priority": {{
		File:        "internal/scheduler/job_order.go",
		Original:    "		cmp.Compare(a.job.Terms.Priority, b.job.Terms.Priority),\n",
		Replacement: "",
	}},
	"no-reservation": {{
		File:        "internal/scheduler/queues.go",
		Original:    "	c.poolReserved[pool] = true\n	reserve(u, nodes)\n",
		Replacement: "	c.poolReserved[pool] = true\n",
	}},
	"no-tight-fit": {{
		File:        "internal/scheduler/node.go",
		Original:    "	score := left.Share(n.runner.Capacity)/1000/tightFitDivisor + 2*",
		Replacement: "	score := -left.Share(n.runner.Capacity)/1000/tightFitDivisor + 2*",
	}},
	"no-avoid": {{
		File:        "internal/scheduler/node.go",
		Original:    "		score += avoidPenalty\n",
		Replacement: "		score += 0 * avoidPenalty\n",
	}},
	"no-trial": {{
		File:        "internal/scheduler/node.go",
		Original:    "	return r.Defects >= minTrialDefects && defectRate(r)",
		Replacement: "	return r.Defects >= 1000*minTrialDefects && defectRate(r)",
	}},
	"no-leaving-rack": {{
		File:        "internal/scheduler/node.go",
		Original:    "		score += rackLeavingPenalty\n",
		Replacement: "		score += 0 * rackLeavingPenalty\n",
	}},
	"no-work-rate": {{
		File:        "internal/scheduler/node.go",
		Original:    " / max(n.workRate, minWorkRate)\n",
		Replacement: " / max(prediction.NominalRate, minWorkRate)\n",
	}},
	"no-near-data": {{
		File:        "internal/scheduler/node.go",
		Original:    "		run = run * c.view.DistantFactor / oneInThousandths\n",
		Replacement: "		run += 0 * c.view.DistantFactor\n",
	}},
	"no-defect-rate": {{
		File:        "internal/scheduler/node.go",
		Original:    "/1000/tightFitDivisor + 2*defectRate(n.runner)\n",
		Replacement: "/1000/tightFitDivisor + 0*defectRate(n.runner)\n",
	}},
	"no-prediction": {{
		File:        "internal/prediction/durations.go",
		Original:    "	if runs == nil {\n",
		Replacement: "	if runs == nil || len(d.queues) > 0 {\n",
	}},
	"no-predicted-order": {{
		File:        "internal/scheduler/job_order.go",
		Original:    "if queue := c.queue(j.Terms.Queue); queue != nil {",
		Replacement: "if queue := c.queue(j.Terms.Queue); queue != nil && c.full() {",
	}},
	"no-deferral": {{
		File:        "internal/scheduler/deferral.go",
		Original:    "if gain <= minDeferralGain {",
		Replacement: "if gain >= 0 {",
	}},
	"no-headroom": {{
		File:        "internal/scheduler/headroom.go",
		Original:    "return headroom.Fits(free)",
		Replacement: "return headroom.Fits(free) || length >= 0",
	}},
	"no-trial-growth": {{
		File:        "internal/scheduler/node.go",
		Original:    "return 1 << min(streak/successesPerDoubling, maxTrialDoublings)",
		Replacement: "return 1 << min(0*streak/successesPerDoubling, maxTrialDoublings)",
	}},
	"no-quantum": {{
		File:        "internal/scheduler/node.go",
		Original:    "	runQuantum = 250\n",
		Replacement: "	runQuantum = 1\n",
	}},
	"no-stall-revocation": {{
		File:        "internal/controlplane/runner_health.go",
		Original:    "	return p.stalledFor+s.now.Since(c.lastHeard) > span\n",
		Replacement: "	return p.stalledFor+s.now.Since(c.lastHeard) > 1000*span\n",
	}},
	"no-quarantine": {{
		File:        "internal/controlplane/runner_health.go",
		Original:    "	return contact.agent != nil && s.now < contact.agent.quarantinedUntil\n",
		Replacement: "	return contact.agent != nil && s.now < 0*contact.agent.quarantinedUntil\n",
	}},
	"no-checkpoints": {{
		File:        "internal/state/checkpoints.go",
		Original:    "	if data == \"\" || j.Terms == nil ||",
		Replacement: "	if data != \"\" || j.Terms == nil ||",
	}},
}
