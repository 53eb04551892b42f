package state

// The level of commands and rules in use is raised by a command once every member
// has said that it supports the next one, so that all members of a cluster whose
// programs differ in version do the same with a command.
const (
	// SupportedLevel is the highest level that this program supports.
	SupportedLevel = TenantLevel

	// ChecksumLevel is the level from which on the checksum is kept.
	ChecksumLevel uint16 = 1
	// PolicyLevel is the level from which on the limits table may have placement
	// policies.
	PolicyLevel uint16 = 2
	// CatalogLevel is the level from which on there are a catalogue, jobs for its
	// queues, and agents.
	CatalogLevel uint16 = 3
	// ResendLevel is the level from which on accepted changes of the catalogue are
	// remembered by the thousand, a cancel of an unknown job leaves a tombstone, and
	// reopening a domain finds the drain in force.
	ResendLevel uint16 = 4
	// RackScopeLevel is the level from which on the drain of a rack concerns just the
	// runners that have announced that they leave and are not lost.
	RackScopeLevel uint16 = 5
	// TenantLevel is the level from which on a catalogue has tenants, and jobs belong to
	// them.
	TenantLevel uint16 = 6
)
