package ident

// ServiceID names a service, a set of interchangeable backend servers.
type ServiceID string
