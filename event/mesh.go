package event

import "github.com/charmbracelet/log"

// Events of packages mesh and platform.
const (
	CallAnswered         ID = 801
	CallRefused          ID = 802
	CallerLeft           ID = 803
	TargetRefused        ID = 804
	TargetExchangeFailed ID = 805
	CallUnencodable      ID = 806
	CallerCut            ID = 807
	MemoryFull           ID = 808
	BackendChanged       ID = 810
	BackendReplaced      ID = 811
	BackendUnreachable   ID = 812
	BackendReachable     ID = 813
	PeerChanged          ID = 814
	NoticeUnreadable     ID = 815
	LinkNotAccepted      ID = 816
	BackendRestored      ID = 817
	BackendUnconfirmed   ID = 818
	BackendConfirmed     ID = 819
	ConfigInForce        ID = 820
	ConfigInvalid        ID = 821
	StoreLost            ID = 822
	StoreRegained        ID = 823
	HistoryLost          ID = 824
	EntryUnreadable      ID = 825
	LeaseEnded           ID = 826
	LeaveIncomplete      ID = 827
	StoreRestored        ID = 828
	NodeStarted          ID = 830
	NodeStopping         ID = 831
	NodeStopped          ID = 832
	SettingsReloaded     ID = 833
	SettingsInvalid      ID = 834
	HeartbeatInvalid     ID = 835
	LinesDropped         ID = 836
	NodeFailed           ID = 837
	ConnectionLimited    ID = 845
	LinkLimited          ID = 846
	RateKeeperLost       ID = 850
	RateShardsKept       ID = 851
	RateWithoutKeeper    ID = 852
	RateStateOld         ID = 853
	PacingChanged        ID = 855
	SpillPolicyChanged   ID = 865
	SpillStarted         ID = 866
	SpillEnded           ID = 867
)

var meshEvents = map[ID]Def{
	CallAnswered:         {log.InfoLevel, "call answered"},
	CallRefused:          {log.WarnLevel, "call refused or failed"},
	CallerLeft:           {log.InfoLevel, "caller left before the answer"},
	TargetRefused:        {log.InfoLevel, "request not answered at the target"},
	TargetExchangeFailed: {log.WarnLevel, "exchange with the backend server failed"},
	CallUnencodable:      {log.ErrorLevel, "message cannot be encoded"},
	CallerCut:            {log.WarnLevel, "caller's connection ended by the daemon during a request"},
	MemoryFull:           {log.WarnLevel, "request refused, the memory for requests is in use"},
	BackendChanged:       {log.InfoLevel, "backend server changed its state"},
	BackendReplaced:      {log.WarnLevel, "another backend server has the address"},
	BackendUnreachable:   {log.WarnLevel, "backend server accepts no connection"},
	BackendReachable:     {log.InfoLevel, "backend server accepts connections again"},
	PeerChanged:          {log.InfoLevel, "another daemon changed its state"},
	NoticeUnreadable:     {log.WarnLevel, "notice of another daemon cannot be read"},
	LinkNotAccepted:      {log.WarnLevel, "link cannot be accepted"},
	BackendRestored:      {log.WarnLevel, "backend server goes on reporting, the later one is dropped"},
	BackendUnconfirmed:   {log.WarnLevel, "backend server may have left, not in use until it goes on reporting"},
	BackendConfirmed:     {log.InfoLevel, "backend server goes on reporting, in use"},
	ConfigInForce:        {log.InfoLevel, "configuration in force"},
	ConfigInvalid:        {log.ErrorLevel, "configuration refused, the present one stays in force"},
	StoreLost:            {log.WarnLevel, "store lost, the present state stays in use"},
	StoreRegained:        {log.InfoLevel, "store regained"},
	HistoryLost:          {log.InfoLevel, "the store's history is gone, the whole state is read"},
	EntryUnreadable:      {log.WarnLevel, "entry in the store cannot be read"},
	LeaseEnded:           {log.WarnLevel, "lease of the own entry ended"},
	LeaveIncomplete:      {log.WarnLevel, "own entry stays until its lease ends"},
	StoreRestored:        {log.WarnLevel, "store was restored from a copy, the own entry is written again"},
	NodeStarted:          {log.InfoLevel, "daemon started"},
	NodeStopping:         {log.InfoLevel, "daemon stopping"},
	NodeStopped:          {log.InfoLevel, "daemon stopped"},
	SettingsReloaded:     {log.InfoLevel, "settings read again"},
	SettingsInvalid:      {log.ErrorLevel, "settings refused, the present ones stay in force"},
	HeartbeatInvalid:     {log.WarnLevel, "heartbeat not taken"},
	LinesDropped:         {log.WarnLevel, "log lines dropped"},
	NodeFailed:           {log.ErrorLevel, "daemon failed"},
	PacingChanged:        {log.InfoLevel, "pacing of the VM's link begins or ends"},
	SpillPolicyChanged:   {log.InfoLevel, "policy for other data centres changed"},
	SpillStarted:         {log.InfoLevel, "a share of the calls may leave the data centre"},
	SpillEnded:           {log.InfoLevel, "calls stay in the data centre again"},
	ConnectionLimited:    {log.WarnLevel, "connections over a limit refused or closed"},
	LinkLimited:          {log.WarnLevel, "links over a limit closed"},
	RateKeeperLost:       {log.WarnLevel, "keepers of rate limits do not answer"},
	RateShardsKept:       {log.InfoLevel, "keeps another number of shards of rate limits"},
	RateWithoutKeeper:    {log.WarnLevel, "calls of accounts with a rate limit found no keeper"},
	RateStateOld:         {log.WarnLevel, "state too old for rate limits"},
}
