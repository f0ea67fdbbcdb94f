package demo

import (
	_ "embed" // example sheets
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

//go:embed school.csv
var schoolSheet string

//go:embed laundry.csv
var laundrySheet string

// Deployment describes an example deployment. The store is in the region of the first
// place.
type Deployment struct {
	emul.Deployment
	Sheet      string
	Services   []ident.ServiceID
	Conns      int
	LongPaths  map[ident.ServiceID]string
	Correction agree.Row
	Mix        []emul.LoadKind
	Rate       float64 // calls/s
	// Host is the loopback address on which all processes listen; empty means 127.0.0.1.
	Host string
	// Handover is the setting Stop.Handover of the daemons; zero means 1 s.
	Handover time.Duration
	// Restart is the time between a crash of a backend server and its next start; zero means 1 s.
	Restart time.Duration
}

// School returns the deployment of a school.
func School() Deployment {
	return Deployment{
		Deployment: emul.School(), Sheet: schoolSheet,
		Services:   []ident.ServiceID{"lessons", "bookings", "registry"},
		Conns:      120,
		LongPaths:  map[ident.ServiceID]string{"lessons": "/lessons/video"},
		Correction: agree.Row{Kind: agree.KindCap, Member: "families", Service: "registry", Units: 14},
		Rate:       400,
		Mix: []emul.LoadKind{
			{Member: "learners", Weight: 10, Method: http.MethodGet, Path: "/lessons/7"},
			{Member: "learners", Weight: 1, Method: http.MethodGet, Path: "/lessons/video/7", Long: true},
			{Member: "learners", Weight: 5, Method: http.MethodGet, Path: "/timetable"},
			{Member: "families", Weight: 2, Method: http.MethodPost, Path: "/bookings", Body: 200, Once: true, Keyed: true},
			{Member: "families", Weight: 2, Method: http.MethodPost, Path: "/fees", Body: 200, Once: true, Keyed: true},
			{Member: "office", Weight: 3, Method: http.MethodGet, Path: "/registry/1"},
			{Member: "office", Weight: 1, Method: http.MethodPost, Path: "/registry", Body: 500, Once: true},
		},
	}
}

// Laundry returns the deployment of a laundry.
func Laundry() Deployment {
	return Deployment{
		Deployment: emul.Laundry(), Sheet: laundrySheet,
		Services:   []ident.ServiceID{"counter", "dispatch", "ledger"},
		Conns:      110,
		LongPaths:  map[ident.ServiceID]string{"ledger": "/batch"},
		Correction: agree.Row{Kind: agree.KindCap, Member: "hotels", Service: "dispatch", Units: 16},
		Rate:       400,
		Mix: []emul.LoadKind{
			{Member: "wards", Weight: 8, Method: http.MethodGet, Path: "/orders/3"},
			{Member: "hotels", Weight: 4, Method: http.MethodGet, Path: "/orders/4"},
			{Member: "couriers", Weight: 6, Method: http.MethodGet, Path: "/status/9"},
			{Member: "couriers", Weight: 2, Method: http.MethodPost, Path: "/pickups", Body: 200, Once: true, Keyed: true},
			{Member: "hotels", Weight: 1, Method: http.MethodPost, Path: "/pickups", Body: 200, Once: true},
			{Member: "billing", Weight: 1, Method: http.MethodPost, Path: "/invoices", Body: 800, Once: true, Keyed: true},
			{Member: "billing", Weight: 1, Method: http.MethodGet, Path: "/batch/1", Long: true},
		},
	}
}
