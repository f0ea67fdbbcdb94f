package origin

// Names are the header fields by which daemon and backend server tell each other about a request.
type Names struct {
	Request  string // id of the request, echoed in the response
	Deadline string // milliseconds that the backend server may use
	Instance string // id of the backend server that is meant
	Caller   string // service of the VM where the request began
	Answerer string // id of the backend server, in a response
	Stamp    string // present in every response that the backend server made itself
	NotRun   string // present in a response to a request that was not run
	Load     string // running, waiting, slots and slowness in percent, separated by commas
}
