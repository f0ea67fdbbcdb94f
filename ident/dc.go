package ident

// DataCentre names a data centre.
type DataCentre string
