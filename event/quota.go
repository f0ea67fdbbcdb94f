package event

import "github.com/charmbracelet/log"

// Events of the enforcement of caps.
const (
	KeeperElected     ID = 501
	KeeperEnded       ID = 502
	KeeperUnreachable ID = 503
	HoldersSilent     ID = 504
	HolderRemoved     ID = 505
)

var quotaEvents = map[ID]Def{
	KeeperElected:     {log.InfoLevel, "became quota keeper of service"},
	KeeperEnded:       {log.InfoLevel, "no longer quota keeper of service"},
	KeeperUnreachable: {log.WarnLevel, "quota keeper unreachable, only base units available"},
	HoldersSilent:     {log.WarnLevel, "holders silent at takeover, floating units withheld"},
	HolderRemoved:     {log.WarnLevel, "holder removed from list"},
}
