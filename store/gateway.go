package store

// Messages of the etcd v3 JSON gateway. Keys and values are in base64, 64-bit integers are
// strings, and fields with the zero value are omitted.

// GatewayHeader is the header of each answer.
type GatewayHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// GatewayKV is a key with its value.
type GatewayKV struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// GatewayRange requests a key, or the keys from Key up to but not including RangeEnd.
type GatewayRange struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// GatewayRangeResponse answers a GatewayRange.
type GatewayRangeResponse struct {
	Header GatewayHeader `json:"header,omitzero"`
	KVs    []GatewayKV   `json:"kvs,omitempty"`
	Count  int64         `json:"count,string,omitempty"`
}

// GatewayPut writes a key.
type GatewayPut struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// GatewayDelete deletes a key.
type GatewayDelete struct {
	Key []byte `json:"key,omitempty"`
}

// GatewayDeleteResponse answers a GatewayDelete.
type GatewayDeleteResponse struct {
	Header  GatewayHeader `json:"header,omitzero"`
	Deleted int64         `json:"deleted,string,omitempty"`
}

// GatewayCompare is a condition of a transaction on the revision of a key.
type GatewayCompare struct {
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	Key         []byte `json:"key,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Values of GatewayCompare.Target and GatewayCompare.Result.
const (
	GatewayTargetMod   = "MOD"
	GatewayResultEqual = "EQUAL"
)

// GatewayOp is one operation of a transaction; exactly one field is set.
type GatewayOp struct {
	Put    *GatewayPut    `json:"request_put,omitempty"`
	Range  *GatewayRange  `json:"request_range,omitempty"`
	Delete *GatewayDelete `json:"request_delete_range,omitempty"`
}

// GatewayTxn runs Success if all comparisons hold, else Failure.
type GatewayTxn struct {
	Compare []GatewayCompare `json:"compare,omitempty"`
	Success []GatewayOp      `json:"success,omitempty"`
	Failure []GatewayOp      `json:"failure,omitempty"`
}

// GatewayOpResponse answers a GatewayOp.
type GatewayOpResponse struct {
	Range *GatewayRangeResponse `json:"response_range,omitempty"`
}

// GatewayTxnResponse answers a GatewayTxn.
type GatewayTxnResponse struct {
	Header    GatewayHeader       `json:"header,omitzero"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []GatewayOpResponse `json:"responses,omitempty"`
}

// GatewayLease requests or describes a lease. TTL is in seconds.
type GatewayLease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// GatewayKeepAlive is one message of the stream that answers a keepalive request. A TTL of zero
// means that the lease has ended.
type GatewayKeepAlive struct {
	Result GatewayLease  `json:"result,omitzero"`
	Error  *GatewayError `json:"error,omitempty"`
}

// GatewayWatch opens a watch.
type GatewayWatch struct {
	Create GatewayWatchCreate `json:"create_request"`
}

// GatewayWatchCreate names the key to watch and the first revision to report.
type GatewayWatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// GatewayWatchMessage is one message of the stream that answers a GatewayWatch.
type GatewayWatchMessage struct {
	Result GatewayWatchResult `json:"result,omitzero"`
	Error  *GatewayError      `json:"error,omitempty"`
}

// GatewayWatchResult holds events, or reports that the store has cancelled the watch.
type GatewayWatchResult struct {
	Header          GatewayHeader  `json:"header,omitzero"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision int64          `json:"compact_revision,string,omitempty"`
	Events          []GatewayEvent `json:"events,omitempty"`
}

// GatewayEvent is one change of a key. An empty Type means that the key was written.
type GatewayEvent struct {
	Type string    `json:"type,omitempty"`
	KV   GatewayKV `json:"kv"`
}

// GatewayEventDelete is the Type of a deletion.
const GatewayEventDelete = "DELETE"

// GatewayError is the body of a failed call. Code is a gRPC status code.
type GatewayError struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// Values of GatewayError.Code.
const (
	GatewayInvalidArgument   = 3
	GatewayNotFound          = 5
	GatewayResourceExhausted = 8
	GatewayUnavailable       = 14
)

// Values of GatewayError.Message for errors that the code alone does not identify.
const (
	GatewayTextTooLarge = "etcdserver: request is too large"
	GatewayTextNoLeader = "etcdserver: no leader"
	GatewayTextNoLease  = "etcdserver: requested lease not found"
)
