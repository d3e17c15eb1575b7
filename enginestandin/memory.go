package enginestandin

import (
	"sort"

	"github.com/samber/lo"
)

// Phases of a resident unit, one that is loaded or loading.
const (
	PhaseLoading = "loading"
	PhaseReady   = "ready"
)

// Tiers from which a checkpoint can be loaded, from the fastest to the slowest.
const (
	TierMemory = "memory"
	TierDisk   = "disk"
	TierRemote = "remote"
)

// Unit is a loaded or loading model version, with or without an adapter.
type Unit struct {
	// Unit is the unit's name.
	Unit string `json:"unit"`
	// Phase is PhaseLoading or PhaseReady.
	Phase string `json:"phase"`
	// Memory is the memory that the unit uses, in bytes.
	Memory int64 `json:"memory"`
}

// modelMemory holds the resident units and the memory that they use.
type modelMemory struct {
	// total is the memory for models, in bytes.
	total int64
	// units holds the loaded and loading units by name.
	units map[string]Unit
	// overcommits counts the additions after which the memory used exceeded total.
	overcommits int64
	// cache holds the units that were unloaded.
	cache Cache
}

func (m *modelMemory) used() int64 {
	var used int64
	for _, unit := range m.units {
		used += unit.Memory
	}
	return used
}

// add adds a unit. It refuses none; if the memory used then exceeds total, it counts an overcommit.
func (m *modelMemory) add(unit Unit) {
	m.units[unit.Unit] = unit
	if m.used() > m.total {
		m.overcommits++
	}
}

// remove unloads a unit and caches its checkpoint; a unit that is not resident is ignored.
func (m *modelMemory) remove(unit string) {
	if _, resident := m.units[unit]; !resident {
		return
	}
	delete(m.units, unit)
	m.cache.AddUnloaded(unit)
}

// Numbers of unloaded units whose checkpoints stay in host memory and on disk.
const (
	memoryCacheUnits = 2
	diskCacheUnits   = 8
)

// Cache holds the most recently unloaded units: the checkpoints of the last
// memoryCacheUnits are in host memory, those of the diskCacheUnits before them on disk.
// The zero value is empty.
type Cache struct {
	// recent lists the unloaded units, most recent last.
	recent []string
}

// AddUnloaded makes a unit the most recently unloaded one and evicts the oldest beyond the capacity.
func (c *Cache) AddUnloaded(unit string) {
	c.recent = append(lo.Without(c.recent, unit), unit)
	c.recent = c.recent[max(len(c.recent)-memoryCacheUnits-diskCacheUnits, 0):]
}

// Tier returns the tier from which a unit would be loaded.
func (c *Cache) Tier(unit string) string {
	for i, cached := range c.recent {
		if cached == unit && len(c.recent)-i <= memoryCacheUnits {
			return TierMemory
		}
		if cached == unit {
			return TierDisk
		}
	}
	return TierRemote
}

// Tiers maps each cached unit to its tier.
func (c *Cache) Tiers() map[string]string {
	tiers := map[string]string{}
	for _, unit := range c.recent {
		tiers[unit] = c.Tier(unit)
	}
	return tiers
}

// sortedUnits returns the resident units in the order of their names.
func (m *modelMemory) sortedUnits() []Unit {
	units := make([]Unit, 0, len(m.units))
	for _, unit := range m.units {
		units = append(units, unit)
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Unit < units[j].Unit })
	return units
}
