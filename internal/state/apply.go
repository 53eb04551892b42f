// Apply takes one command and changes the book. What it returns is the answer
// for whoever asked: a status in HTTP's terms and a document.

package state

import (
	"encoding/json"

	"orchidward/internal/clock"
)

// Result is an outcome. Code names a refusal in one word.
type Result struct {
	Status     int
	Code       string
	Message    string
	Body       any
	RetryAfter clock.Millis
}

// OK tells whether the command was accepted.
func (r Result) OK() bool { return r.Status < 300 }

func rejected(status int, code, message string) Result {
	return Result{Status: status, Code: code, Message: message}
}

// Apply carries out one command. It must be called with the commands of the log
// in order. A refused command is not an error: the result bears a status of 400
// or more, and only what is due by cluster time changes (appointed starts, records
// whose time is up). Cluster time never goes back, whatever c.At says.
func (s *Store) Apply(command *Command) Result {
	var result Result
	s.Now = max(s.Now, command.At)
	s.startDelayedJobs()
	switch {
	case command.SubmitJob != nil:
		result = s.submitJob(command.SubmitJob)
	case command.CancelJob != nil:
		result = s.cancelJob(command.CancelJob)
	case command.ChangeLimits != nil:
		result = s.changeLimits(command.ChangeLimits)
	case command.StartDrain != nil:
		result = s.startDrain(command.StartDrain)
	case command.EndDrain != nil:
		result = s.endDrain(command.EndDrain)
	case command.ReportRunner != nil:
		result = s.reportRunner(command.ReportRunner)
	case command.ReportEnds != nil:
		s.reportEnds(command.ReportEnds)
	case command.PlaceTasks != nil:
		s.placeTasks(command.PlaceTasks)
	case command.RevokeLeases != nil:
		for _, id := range command.RevokeLeases.Leases {
			if lease := s.Leases[id]; lease != nil {
				s.revokeLease(lease, command.RevokeLeases.Reason)
			}
		}
	case command.LoseRunner != nil:
		s.loseRunner(command.LoseRunner)
	case command.AdvanceDrain != nil:
		s.advanceDrain(command.AdvanceDrain)
	case command.ChangeCatalog != nil:
		result = s.changeCatalog(command.ChangeCatalog)
	case command.RaiseLevel != nil:
		s.raiseLevel(command.RaiseLevel.Level)
	}
	s.foldChecksum(uint64(s.Now), uint64(s.NextLease), uint64(s.NextJobSeq), uint64(s.Limits.Epoch), uint64(result.Status))
	s.expireRecords()
	return result
}

// raiseLevel lifts the level and brings the state to the form it has from there on.
func (s *Store) raiseLevel(level uint16) {
	s.Level = max(s.Level, level)
	if s.Level >= ResendLevel && s.Catalog != nil {
		s.Catalog = s.Catalog.Deduplicated()
	}
}

// startDelayedJobs moves jobs whose appointed time has come onto their lanes.
func (s *Store) startDelayedJobs() {
	s.startDueOccurrences()
	for {
		j := s.jobIndex.nextDelayed()
		if j == nil || j.StartAt > s.Now {
			return
		}
		s.jobIndex.update(j, s.Now)
	}
}

// expireRecords forgets what its time has run out for, a little with every command.
func (s *Store) expireRecords() {
	retain := s.Limits.SiteMillis("retainMs")
	for n := 0; n < 8 && len(s.EndedJobs) > 0; n++ {
		j := s.Jobs[s.EndedJobs[0]]
		if j.EndedAt.Add(retain) > s.Now {
			break
		}
		if j.Parent == "" {
			s.Dedup.add(j, s.Now)
		}
		delete(s.Jobs, j.Key)
		s.jobIndex.remove(j.Key)
		s.EndedJobs = s.EndedJobs[1:]
	}
	s.Dedup.expire(s.Now.Add(-s.Limits.SiteMillis("knownMs")))
	s.expireTombstones()
	if len(s.Drains) <= maxDrains {
		return
	}
	for _, id := range s.DrainIDs() {
		if s.Drains[id].Stage == Open && len(s.Drains) > maxDrains {
			delete(s.Drains, id)
		}
	}
}

func (s *Store) startDrain(command *StartDrain) Result {
	if command.ID != "" && s.Drains[command.ID] != nil {
		old := s.Drains[command.ID]
		if old.Kind != KindDomain || old.Domain != command.Domain {
			return rejected(409, "id-taken", "this id names another closing")
		}
		return s.drainResult(old)
	}
	known := command.AllowUnknown
	for _, one := range s.Runners {
		known = known || one.Domain == command.Domain
	}
	if !known {
		return rejected(404, "no-domain", "no runner of this domain is known")
	}
	for _, id := range s.DrainIDs() {
		if one := s.Drains[id]; one.Kind == KindDomain && one.Domain == command.Domain && one.Stage.Cordons() && one.Stage != Preopen {
			return s.drainResult(one)
		}
	}
	one := s.createDrain(command.ID, KindDomain, command.Domain, "")
	s.updateCordons()
	return s.drainResult(one)
}

func (s *Store) drainResult(drain *Drain) Result {
	text, err := json.Marshal(drain)
	if err != nil {
		panic(err)
	}
	return Result{Status: 200, Body: json.RawMessage(text)}
}
