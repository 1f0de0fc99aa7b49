package inventory

import (
	"bytes"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// A store that has come back from an older copy may have lost the version of the
// configuration that is in force. Hosts keep it, at revision 0 of the era, and pass it on
// to hosts that start before the operator has written again.

// isLost reports whether the store has lost the object.
func (o Object) isLost() bool { return o.Position.Revision == 0 }

func (s *State) hasLostConfig() bool {
	for _, o := range s.objects[Configuration] {
		if o.isLost() {
			return true
		}
	}
	return false
}

// keepsLostConfig reports whether the configuration in force is kept although the store
// has a lower version, because the store has lost it.
func (s *State) keepsLostConfig(listed Object, newEra bool) bool {
	held, ok := s.objects[Configuration][listed.Name]
	if !ok || s.view.Config == nil || !newEra && !held.isLost() {
		return false
	}
	config, err := s.decodeConfig(listed)
	if err != nil || config.Version >= s.view.Config.Version {
		return false
	}
	s.keepInEra(Configuration, listed.Position.Era)
	return true
}

// keepInEra keeps what a collection has from before an era: the configuration in force.
func (s *State) keepInEra(c Collection, era model.Era) {
	for _, o := range s.objects[c] {
		if o.Position.Era < era {
			o.Position = model.Position{Era: era}
			s.setObject(c, o)
		}
	}
}

// putLostConfig applies a configuration that a peer has kept, if its version is the
// highest. Of two with that version, all hosts choose the same.
func (s *State) putLostConfig(o Object) {
	config, err := s.decodeConfig(o)
	if err != nil {
		s.onSkip(Configuration, o, err)
		return
	}
	held := s.objects[Configuration][o.Name]
	if s.view.Config != nil && (config.Version < s.view.Config.Version ||
		config.Version == s.view.Config.Version && (!held.isLost() || bytes.Compare(o.Body, held.Body) <= 0)) {
		return
	}
	s.view.Config = config
	s.setObject(Configuration, o)
}

// takeLost takes from an older listing of a peer what the store has lost.
func (s *State) takeLost(c Collection, batch Batch) {
	if c != Configuration || batch.Position.Era != s.asOf[c].Era {
		return
	}
	for _, o := range batch.Objects {
		if o.isLost() {
			s.putLostConfig(o)
		}
	}
}
