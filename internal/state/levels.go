package state

// The level determines which commands and rules are in use. A command raises it once
// every member has announced that it supports the next level, so that members running
// different program versions apply each command identically.
const (
	// SupportedLevel is the highest level that this program supports.
	SupportedLevel = LateGangDefectLevel

	// ChecksumLevel is the first level at which the checksum is maintained.
	ChecksumLevel uint16 = 1
	// PolicyLevel is the first level at which the limits table may have placement
	// policies.
	PolicyLevel uint16 = 2
	// CatalogLevel is the first level with a catalogue, jobs for its queues, and agents.
	CatalogLevel uint16 = 3
	// ResendLevel is the first level at which thousands of accepted catalogue changes are
	// remembered, a cancel of an unknown job leaves a tombstone, and reopening a domain
	// finds the drain in force.
	ResendLevel uint16 = 4
	// RackScopeLevel is the first level at which the drain of a rack covers only the
	// runners that have announced their departure and are not lost.
	RackScopeLevel uint16 = 5
	// TenantLevel is the first level at which a catalogue has tenants and jobs belong to
	// them.
	TenantLevel uint16 = 6
	// LateGangSuccessLevel is the first level at which a late success of one member of a
	// queue's gang completes the step for all members.
	LateGangSuccessLevel uint16 = 7
	// LateGangDefectLevel is the first level at which the late defects of an attempt count
	// once, however many members of its gang report one.
	LateGangDefectLevel uint16 = 8
)
