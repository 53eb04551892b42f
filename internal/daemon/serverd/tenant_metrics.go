package serverd

import (
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

const (
	// tenantMetricsInterval is how often the metrics by tenant are updated.
	tenantMetricsInterval clock.Millis = 1000
	// maxTenantSeries bounds the number of tenants with separate series.
	maxTenantSeries = 16
	tenantLabel     = "tenant"
)

// updateTenantMetrics updates the usage and quota of each of the largest tenants, and the
// combined usage of all others.
func (d *Daemon) updateTenantMetrics() {
	now := d.clock.Now()
	if now.Since(d.tenantMetricsUpdatedAt) < tenantMetricsInterval {
		return
	}
	d.tenantMetricsUpdatedAt = now
	others := job.Demand{}
	usedCPU, usedMem, usedGPUs := map[string]float64{}, map[string]float64{}, map[string]float64{}
	quotaCPU, quotaMem, quotaGPUs := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, usage := range d.server.LargestTenants(maxTenantSeries) {
		name := usage.Tenant
		if name == "" {
			others = usage.Used
			continue
		}
		quotaCPU[name] = float64(usage.Quota.MilliCores)
		quotaMem[name] = float64(usage.Quota.Mem)
		quotaGPUs[name] = float64(usage.Quota.GPUs)
		usedCPU[name] = float64(usage.Used.CPU())
		usedMem[name] = float64(usage.Used.Mem)
		usedGPUs[name] = float64(usage.Used.GPUs)
	}
	for name, values := range map[string]map[string]float64{
		"tenant_used_millicores": usedCPU, "tenant_used_mem_mb": usedMem, "tenant_used_gpus": usedGPUs,
		"tenant_quota_millicores": quotaCPU, "tenant_quota_mem_mb": quotaMem, "tenant_quota_gpus": quotaGPUs,
	} {
		d.gauges.SetGroup(name, tenantLabel, values)
	}
	d.gauges.Set("other_tenants_used_millicores", float64(others.CPU()))
	d.gauges.Set("other_tenants_used_mem_mb", float64(others.Mem))
	d.gauges.Set("other_tenants_used_gpus", float64(others.GPUs))
}
