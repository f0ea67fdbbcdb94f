package event

import "github.com/charmbracelet/log"

// Events of the membership of daemons and data centres.
const (
	ServerState      ID = 401
	DaemonSuspect    ID = 402
	DaemonGone       ID = 403
	CentreLost       ID = 404
	CentreRecovered  ID = 405
	CentreForgotten  ID = 406
	ForwarderStarted ID = 407
	ForwarderStopped ID = 408
)

var peersEvents = map[ID]Def{
	ServerState:      {log.InfoLevel, "backend server changed state"},
	DaemonSuspect:    {log.WarnLevel, "daemon missed three heartbeats"},
	DaemonGone:       {log.WarnLevel, "daemon and its backend servers declared gone"},
	CentreLost:       {log.WarnLevel, "data centre not heard"},
	CentreRecovered:  {log.InfoLevel, "data centre heard again"},
	CentreForgotten:  {log.WarnLevel, "servers of lost data centre forgotten"},
	ForwarderStarted: {log.InfoLevel, "became forwarder of data centre"},
	ForwarderStopped: {log.InfoLevel, "no longer forwarder of data centre"},
}
