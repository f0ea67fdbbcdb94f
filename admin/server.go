package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"reflect"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Prefix is the path prefix of the requests that the daemon answers itself.
const Prefix = "/marjoramcroft/"

// maxBodyBytes is the max size of a request body.
const maxBodyBytes = 64 << 10

// ErrWrongServer is returned by Deps.Announce if the backend server belongs to another service than the
// daemon's.
var ErrWrongServer = errors.New("announcement of another backend server")

// ErrFormerProcess is returned by Deps.Announce if a later process of the backend server has already
// announced itself.
var ErrFormerProcess = errors.New("announcement of a former process of the backend server: another Incarnation has followed it")

// ErrLeftProcess is returned by Deps.Announce if the same process of the backend server has already announced
// Draining or Gone.
var ErrLeftProcess = errors.New("announcement of a process of the backend server that has left: it has announced Draining or Gone")

// ErrStopping is returned by Deps.Announce if the first announcement comes while the daemon stops.
var ErrStopping = errors.New("daemon is stopping")

// Deps are the functions of the daemon that the Server calls.
type Deps struct {
	Ready    func() error // returns why the daemon does not serve calls, or nil
	Status   func() Status
	Explain  func(member ident.MemberID, method, path string) Explanation
	Announce func(a Announcement) error
	IssueKey func(service ident.ServiceID) (string, error)
	Retire   func(addr ident.Addr) error
	Stats    *stats.Set
}

// Server serves the paths below Prefix.
type Server struct {
	deps Deps
	mux  *http.ServeMux
}

// New returns a Server that serves the daemon's paths with the functions in deps.
func New(deps Deps) *Server {
	s := &Server{deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+Prefix+"live", s.live)
	s.mux.HandleFunc("GET "+Prefix+"ready", s.ready)
	s.mux.HandleFunc("GET "+Prefix+"metrics", s.metrics)
	s.mux.HandleFunc("GET "+Prefix+"version", s.version)
	s.mux.HandleFunc("GET "+Prefix+"status", s.status)
	s.mux.HandleFunc("GET "+Prefix+"explain", s.explain)
	s.mux.HandleFunc("POST "+Prefix+"announce", s.announce)
	s.mux.HandleFunc("POST "+Prefix+"key", s.issueKey)
	s.mux.HandleFunc("POST "+Prefix+"retire", s.retire)
	return s
}

// Handles reports whether path is below Prefix.
func (s *Server) Handles(path string) bool { return strings.HasPrefix(path, Prefix) }

// ServeHTTP serves a request for a path below Prefix.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "live")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.deps.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.deps.Stats.All(r.URL.Query().Get("prefix")))
}

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, fmt.Sprint(s.deps.Status().Version))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.deps.Status())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	member, path, method := q.Get("member"), q.Get("path"), q.Get("method")
	if member == "" || path == "" {
		writeText(w, http.StatusBadRequest, "parameters member and path are required")
		return
	}
	if method == "" {
		method = http.MethodGet
	}
	writeJSON(w, s.deps.Explain(ident.MemberID(member), method, path))
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		writeText(w, http.StatusBadRequest, "announcement: "+fieldError(err).Error())
		return
	}
	if err := a.Check(); err != nil {
		writeText(w, http.StatusBadRequest, "announcement: "+err.Error())
		return
	}
	if err := s.deps.Announce(a); err != nil {
		writeText(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// fieldError returns an error that names the field and the expected type if err is a type mismatch of a
// field, else err.
func fieldError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) || typeErr.Field == "" {
		return err
	}
	want := "a string"
	if k := typeErr.Type.Kind(); k == reflect.Int || k == reflect.Int64 {
		want = fmt.Sprintf("a whole number of at most %d, without fraction or exponent", math.MaxInt64)
	}
	return fmt.Errorf("field %s is a %s, must be %s", typeErr.Field, typeErr.Value, want)
}

func (s *Server) issueKey(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	if service == "" {
		writeText(w, http.StatusBadRequest, "parameter service is required")
		return
	}
	key, err := s.deps.IssueKey(ident.ServiceID(service))
	if err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, key)
}

func (s *Server) retire(w http.ResponseWriter, r *http.Request) {
	addr := r.URL.Query().Get("addr")
	if addr == "" {
		writeText(w, http.StatusBadRequest, "parameter addr is required")
		return
	}
	if err := s.deps.Retire(ident.Addr(addr)); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write fails only if the client has closed the connection, so the error is ignored.
	_, _ = fmt.Fprintln(w, text)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
