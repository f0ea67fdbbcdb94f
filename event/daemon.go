package event

import "github.com/charmbracelet/log"

// Events of the daemon's process and its backend servers.
const (
	DaemonStarted     ID = 101
	DaemonStopped     ID = 102
	DaemonFailed      ID = 103
	BackendSilent     ID = 104
	DrainIncomplete   ID = 105
	RecordsLeftBehind ID = 106
	LeaveFailed       ID = 107
	CollectFailed     ID = 108
	BackendRestarted  ID = 109
)

var daemonEvents = map[ID]Def{
	DaemonStarted:     {log.InfoLevel, "daemon started"},
	DaemonStopped:     {log.InfoLevel, "daemon stopped"},
	DaemonFailed:      {log.ErrorLevel, "daemon failed"},
	BackendSilent:     {log.WarnLevel, "backend server no longer announces itself"},
	DrainIncomplete:   {log.WarnLevel, "calls still in flight at the stop timeout"},
	RecordsLeftBehind: {log.WarnLevel, "idempotency records not handed over at stop"},
	LeaveFailed:       {log.WarnLevel, "keeper not told of the stop"},
	CollectFailed:     {log.WarnLevel, "collection of unreferenced chunks failed"},
	BackendRestarted:  {log.WarnLevel, "backend server has a new process without a drain of the former one"},
}
