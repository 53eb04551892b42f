package state

import "orchidward/internal/api/limits"

// maxJobsExpired bounds the number of ended jobs that one command drops.
const maxJobsExpired = 8

// expireRecords drops records past their retention. Each command drops a bounded number,
// so that no single command takes long.
func (s *Store) expireRecords() {
	s.expireEndedJobs()
	s.Dedup.expire(s.Now.Add(-s.Limits.SiteMillis(limits.SiteRememberedJobSpan)))
	s.expireTombstones()
	s.expireDrains()
}

// expireEndedJobs drops the details of ended jobs; their ids move to the dedup cache.
func (s *Store) expireEndedJobs() {
	retention := s.Limits.SiteMillis(limits.SiteJobRetention)
	for range min(len(s.EndedJobs), maxJobsExpired) {
		j := s.Jobs[s.EndedJobs[0]]
		if j.EndedAt.Add(retention) > s.Now {
			return
		}
		if j.Parent == "" {
			s.Dedup.add(j, s.Now)
		}
		delete(s.Jobs, j.Key)
		s.jobIndex.remove(j.Key)
		s.EndedJobs = s.EndedJobs[1:]
	}
}

// expireDrains drops the oldest finished drains while there are more than
// maxDrains.
func (s *Store) expireDrains() {
	if len(s.Drains) <= maxDrains {
		return
	}
	for _, id := range s.DrainIDs() {
		if s.Drains[id].Stage == Open && len(s.Drains) > maxDrains {
			delete(s.Drains, id)
		}
	}
}
