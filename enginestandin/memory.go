package enginestandin

import "sort"

// Phases of a resident unit.
const (
	PhaseLoading = "loading"
	PhaseReady   = "ready"
)

// Cache tiers of a checkpoint, from the fastest to the slowest.
const (
	TierMemory = "memory"
	TierDisk   = "disk"
	TierRemote = "remote"
)

// Unit is one loaded model version, with or without an adapter.
type Unit struct {
	Unit   string `json:"unit"`
	Phase  string `json:"phase"`
	Memory int64  `json:"memory"`
}

// memory is the engine's own account of what is loaded.
type memory struct {
	// total is the bytes that the engine has.
	total int64
	// units maps each loaded or loading unit to its account.
	units map[string]Unit
	// overcommits counts the loads that took the sum above total.
	overcommits int64
	// recent lists unloaded units, most recent last.
	recent []string
}

func (m *memory) used() int64 {
	var used int64
	for _, unit := range m.units {
		used += unit.Memory
	}
	return used
}

// add accounts for a unit; the sum may exceed total, which is counted.
func (m *memory) add(unit Unit) {
	m.units[unit.Unit] = unit
	if m.used() > m.total {
		m.overcommits++
	}
}

func (m *memory) remove(unit string) {
	if _, loaded := m.units[unit]; !loaded {
		return
	}
	delete(m.units, unit)
	m.remember(unit)
}

// Numbers of unloaded checkpoints that stay in host memory and on disk.
const (
	memoryCacheUnits = 2
	diskCacheUnits   = 8
)

func (m *memory) remember(unit string) {
	kept := m.recent[:0]
	for _, old := range m.recent {
		if old != unit {
			kept = append(kept, old)
		}
	}
	m.recent = append(kept, unit)
	if excess := len(m.recent) - memoryCacheUnits - diskCacheUnits; excess > 0 {
		m.recent = append([]string(nil), m.recent[excess:]...)
	}
}

// tier says from where the unit would be loaded.
func (m *memory) tier(unit string) string {
	for i, recent := range m.recent {
		if recent != unit {
			continue
		}
		if len(m.recent)-i <= memoryCacheUnits {
			return TierMemory
		}
		return TierDisk
	}
	return TierRemote
}

// caches maps each cached unit to its tier.
func (m *memory) caches() map[string]string {
	caches := map[string]string{}
	for _, unit := range m.recent {
		caches[unit] = m.tier(unit)
	}
	return caches
}

func (m *memory) list() []Unit {
	list := make([]Unit, 0, len(m.units))
	for _, unit := range m.units {
		list = append(list, unit)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Unit < list[j].Unit })
	return list
}
