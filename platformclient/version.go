package platformclient

// The store may come back from a copy that is some seconds old. Its era rises then, and its row versions go back and are given out again. So
// that versions can still be compared, each Version of a row is ordered first by the era in which it was read or written: it holds the era
// above versionBits bits and the row version of the store below them. On platforms whose store has no era, the era is 0.
const versionBits = 40

// maxEra is the highest era that a version can hold.
const maxEra = 1<<(63-versionBits) - 1

// NewVersion returns the version of a row with a row version of the store in an era. It returns false if one of them is out of range.
func NewVersion(era, rowVersion int64) (int64, bool) {
	if era < 0 || era > maxEra || rowVersion < 0 || rowVersion >= 1<<versionBits {
		return 0, false
	}
	return era<<versionBits | rowVersion, true
}

// Era returns the era of a version.
func Era(version int64) int64 { return version >> versionBits }

// RowVersion returns the store's own row version; 0 means that the row does not exist.
func RowVersion(version int64) int64 { return version & (1<<versionBits - 1) }
