package ident

// Place is the location of a process.
type Place struct {
	Region     Region
	DataCentre DataCentre
}

// Distance returns 0 if p and q are the same data centre, 1 if they are in the same region and 2 if they
// are in different regions.
func (p Place) Distance(q Place) int {
	if p.Region != q.Region {
		return 2
	}
	if p.DataCentre != q.DataCentre {
		return 1
	}
	return 0
}
