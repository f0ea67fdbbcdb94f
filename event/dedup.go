package event

import "github.com/charmbracelet/log"

// Events of idempotency keys and of requests suspected of crashing backend servers.
const (
	RequestPoisoned ID = 701
	RecordsLost     ID = 702
	RequestTried    ID = 703
	RequestCleared  ID = 704
)

var dedupEvents = map[ID]Def{
	RequestPoisoned: {log.WarnLevel, "request refused after repeated crashes"},
	RequestTried:    {log.InfoLevel, "request that was refused after crashes is tried"},
	RequestCleared:  {log.InfoLevel, "request that was refused after crashes was answered"},
	RecordsLost:     {log.WarnLevel, "idempotency records of the previous process are lost"},
}
