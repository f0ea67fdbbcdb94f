package peers_test

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// contactsWritten is the time within which the first forwarder of a data centre reads the contacts, each minute, and
// writes those that differ.
const contactsWritten = time.Minute + 3*time.Second

// Guards against contacts in the store that stay those of a copy from which it came back, so that daemons which start
// later search for forwarders that are gone.
func TestContactsWrittenAgainAfterRestore(t *testing.T) {
	tests := map[string]func(f *emul.Fleet) (restore func()){
		"copy without contacts": func(f *emul.Fleet) func() { return f.Platform.CopyContacts() },
		"copy with forwarders that are gone": func(f *emul.Fleet) func() {
			time.Sleep(settled + contactsWritten)
			restore := f.Platform.CopyContacts()
			for _, d := range f.Daemons() {
				if d.Place.DataCentre == "riga-a" && d.Agent.IsForwarder() {
					d.Kill()
				}
			}
			return restore
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := emul.NewFleet(40, twoRegions, services)
				f.NoContacts = true
				f.Start()
				defer f.Stop()
				restore := prepare(f)
				time.Sleep(2 * time.Minute)
				before := f.Platform.Contacts()
				is.Equal(len(before), 4)
				restore()
				is.True(!reflect.DeepEqual(f.Platform.Contacts(), before))
				start := time.Now()
				for !reflect.DeepEqual(f.Platform.Contacts(), before) && time.Since(start) < contactsWritten {
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("written again after %s", time.Since(start))
				is.Equal(f.Platform.Contacts(), before)
				for _, d := range f.Daemons() {
					if d.Running() {
						is.True(len(d.Agent.Forwarders()) > 0)
					}
				}
				var late *emul.Daemon
				for _, d := range f.Daemons() {
					if late == nil && d.Place.DataCentre == "riga-a" && d.Running() && !d.Agent.IsForwarder() {
						late = d
					}
				}
				late.Kill()
				late.Start()
				time.Sleep(settled)
				is.Equal(late.Agent.Forwarders(), before[ident.DataCentre("riga-a")])
			})
		})
	}
}
