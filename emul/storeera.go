package emul

import (
	"net/http"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// eraWriter writes an answer that states an era. It aborts the connection if the store was restored meanwhile, since
// the answer may be from either era.
type eraWriter struct {
	http.ResponseWriter
	s   *Store
	era store.Era
}

// WriteHeader writes the header of the answer.
func (w *eraWriter) WriteHeader(status int) {
	w.check()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *eraWriter) Write(b []byte) (int, error) {
	w.check()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer that w wraps, for http.ResponseController.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *eraWriter) check() {
	if w.s.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
}
