package ident

// RouteID names a route in an agreement.
type RouteID string
