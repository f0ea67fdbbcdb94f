package event

import "github.com/charmbracelet/log"

// Events of idempotency keys and of requests suspected of crashing backend servers.
const (
	RequestPoisoned ID = 701
	RecordsLost     ID = 702
)

var dedupEvents = map[ID]Def{
	RequestPoisoned: {log.WarnLevel, "request refused after repeated crashes"},
	RecordsLost:     {log.WarnLevel, "idempotency records of the previous process are lost"},
}
