package event

import "github.com/charmbracelet/log"

// Events of the store client and of the acceptance of changes.
const (
	StoreUnavailable    ID = 201
	StoreRecovered      ID = 202
	StoreOutcomeUnknown ID = 203
	StoreBudgetExceeded ID = 204

	ChangeAccepted    ID = 221
	ChangeRefused     ID = 222
	ChangeRebased     ID = 223
	ChangeUnknown     ID = 224
	ChangeResolved    ID = 225
	HistoryNotWritten ID = 226
	ChunksCollected   ID = 227
	AgreementCorrupt  ID = 228
	HeadRepaired      ID = 229
	HeadConfirmed     ID = 230
)

var storeEvents = map[ID]Def{
	StoreUnavailable:    {log.WarnLevel, "store unavailable, circuit breaker open"},
	StoreRecovered:      {log.InfoLevel, "store answers again, circuit breaker closed"},
	StoreOutcomeUnknown: {log.WarnLevel, "store answer lost, outcome of the write unknown"},
	StoreBudgetExceeded: {log.WarnLevel, "store call budget exceeded, call not sent"},

	ChangeAccepted:    {log.InfoLevel, "change accepted"},
	ChangeRefused:     {log.WarnLevel, "change refused"},
	ChangeRebased:     {log.InfoLevel, "change rebased on a newer version"},
	ChangeUnknown:     {log.ErrorLevel, "change's outcome unknown"},
	ChangeResolved:    {log.InfoLevel, "change's outcome determined after a lost answer"},
	HistoryNotWritten: {log.WarnLevel, "history record not written"},
	ChunksCollected:   {log.InfoLevel, "unreferenced chunks removed"},
	AgreementCorrupt:  {log.ErrorLevel, "stored agreement is corrupt"},
	HeadRepaired:      {log.WarnLevel, "damaged head replaced by a restore"},
	HeadConfirmed:     {log.WarnLevel, "store was restored from a copy, head confirmed"},
}
