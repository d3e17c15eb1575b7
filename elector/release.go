package elector

// release identifies the lease of one holder, which another node may take without waiting until it expires.
type release struct {
	// holder is an incarnation.
	holder string
	epoch  int64
}

// release returns the release of the row's lease.
func (r Row) release() release {
	return release{holder: r.Lease.Holder.Incarnation, epoch: r.Lease.Epoch}
}
