package event

import "github.com/charmbracelet/log"

// Events of calls and of the backend servers that run them.
const (
	ServerProbation   ID = 601
	ServerRestored    ID = 602
	LimitLowered      ID = 603
	ServerDraining    ID = 604
	ServerDrained     ID = 605
	AnswerMismatched  ID = 650
	AnswerTruncated   ID = 651
	BackendCrashed    ID = 652
	AnswerNotRecorded ID = 653
	CallLost          ID = 654
)

var callsEvents = map[ID]Def{
	ServerProbation:   {log.WarnLevel, "backend server on probation"},
	ServerRestored:    {log.InfoLevel, "backend server off probation"},
	LimitLowered:      {log.WarnLevel, "admission limit lowered"},
	ServerDraining:    {log.InfoLevel, "backend server draining"},
	ServerDrained:     {log.InfoLevel, "backend server drained"},
	AnswerMismatched:  {log.ErrorLevel, "response belongs to another call, dropped"},
	AnswerTruncated:   {log.WarnLevel, "response ended early, caller's connection broken"},
	BackendCrashed:    {log.WarnLevel, "backend server ended with a call in flight"},
	AnswerNotRecorded: {log.WarnLevel, "answer of a keyed call not recorded"},
	CallLost:          {log.WarnLevel, "no answer to a call that may have run"},
}
