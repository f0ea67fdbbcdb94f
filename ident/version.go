package ident

// Version numbers an accepted agreement. Versions are strictly increasing; zero means no agreement.
type Version uint64
