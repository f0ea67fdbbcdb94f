package event

import "github.com/charmbracelet/log"

// Events of the distribution of agreement versions.
const (
	VersionInForce    ID = 301
	UpdateCorrupt     ID = 302
	UpdateDuplicate   ID = 303
	UpdateStale       ID = 304
	UpdateReordered   ID = 305
	UpdateWrongBase   ID = 306
	UpdateWrongHash   ID = 307
	UpdateInvalid     ID = 308
	UpdateDiverged    ID = 309
	VersionBelowFloor ID = 310
	UpstreamConnected ID = 311
	UpstreamLost      ID = 312
	RootAcquired      ID = 313
	RootLost          ID = 314
	HeadUnreadable    ID = 315
	FloorUnknown      ID = 316
	FloorKnown        ID = 317
	SubscriberSent    ID = 318
)

var fanoutEvents = map[ID]Def{
	VersionInForce:    {log.InfoLevel, "agreement version in force"},
	UpdateCorrupt:     {log.WarnLevel, "corrupt update dropped"},
	UpdateDuplicate:   {log.DebugLevel, "duplicate update dropped"},
	UpdateStale:       {log.DebugLevel, "stale update dropped"},
	UpdateReordered:   {log.InfoLevel, "update ahead of its base dropped"},
	UpdateWrongBase:   {log.InfoLevel, "update with wrong base dropped"},
	UpdateWrongHash:   {log.WarnLevel, "update with wrong result hash dropped"},
	UpdateInvalid:     {log.ErrorLevel, "invalid update dropped"},
	UpdateDiverged:    {log.ErrorLevel, "update with other content under the same version dropped"},
	VersionBelowFloor: {log.WarnLevel, "version below the floor withheld"},
	UpstreamConnected: {log.DebugLevel, "subscribed to upstream"},
	UpstreamLost:      {log.InfoLevel, "subscription to upstream lost"},
	RootAcquired:      {log.InfoLevel, "became root of region"},
	RootLost:          {log.InfoLevel, "no longer root of region"},
	HeadUnreadable:    {log.WarnLevel, "head cannot be read from the store"},
	FloorUnknown:      {log.WarnLevel, "no store, root or peer answers, not serving"},
	FloorKnown:        {log.InfoLevel, "floor known, serving permitted"},
	SubscriberSent:    {log.DebugLevel, "snapshot sent to subscriber"},
}
