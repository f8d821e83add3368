package shard

import "time"

// Purgeable reports whether any session ended before the given time and is held
// by no engine any more.
func (s *State) Purgeable(endedBefore time.Time) bool {
	held := s.heldByEngines()
	for _, session := range s.Sessions {
		if session.purgeable(endedBefore, held) {
			return true
		}
	}
	return false
}

func (s *State) heldByEngines() map[SessionKey]bool {
	held := map[SessionKey]bool{}
	for release := range s.Releases {
		held[release.Key] = true
	}
	return held
}

func (s *Session) purgeable(endedBefore time.Time, held map[SessionKey]bool) bool {
	return s.Ended && !s.InProgress() && s.LastActiveAt.Before(endedBefore) && !held[s.Key]
}

func (s *State) applyPurge(c Purge) {
	held := s.heldByEngines()
	for key, session := range s.Sessions {
		if session.purgeable(c.EndedBefore, held) {
			delete(s.Sessions, key)
			s.Tombstones[key] = session.LastActiveAt
		}
	}
	for key, endedAt := range s.Tombstones {
		if endedAt.Before(c.TombstonesBefore) {
			delete(s.Tombstones, key)
		}
	}
}
