package controlplane

import (
	"cmp"
	"encoding/json"
	"slices"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

const (
	// discoveryInterval is how often a server without a group asks its seeds.
	discoveryInterval clock.Millis = 300
	// announcementTTL is how long what a seed said of itself counts.
	announcementTTL clock.Millis = 1500
	// quietBeforeFounding is how long a server listens for a group before it founds
	// one without the seeds that have no disk.
	quietBeforeFounding clock.Millis = 5000
	// joinTimeout is how long the answer to a request to join is awaited.
	joinTimeout clock.Millis = 1500
	// searchInterval is how often a member without a leader asks for the group.
	searchInterval = 4 * discoveryInterval
	// rejoinAfter is how long a member has no leader before it searches for its group: longer
	// than most elections take. Who was stopped and removed waits as long after its start.
	rejoinAfter clock.Millis = 2500
)

// discovery is the search of a server whose disk is empty for its group. It asks its
// seeds until it is told of a group that has it among the founders, or of one that it
// may join as a learner, or until it finds all seeds as empty as itself and founds a
// group with them.
type discovery struct {
	nextAttempt clock.Monotonic
	// lastSeen is when each seed last answered.
	lastSeen map[string]clock.Monotonic
	// emptySeeds are the seeds with an empty disk, as members of a group to found,
	// and diskless those without a disk; both by their own word.
	emptySeeds map[string]raft.Member
	diskless   map[string]bool
	// creating says that the log of a group is being created.
	creating bool
	// since is when this search began, and groupHeardAt when a message among members
	// of a group was last heard.
	since        clock.Monotonic
	groupHeardAt clock.Monotonic
}

func newDiscovery(now clock.Monotonic) *discovery {
	return &discovery{
		since:      now,
		emptySeeds: map[string]raft.Member{},
		lastSeen:   map[string]clock.Monotonic{},
		diskless:   map[string]bool{},
	}
}

// quietLongEnough reports whether no group was heard of for so long that a leader would
// have made itself heard. Seeds without a disk forget at a restart that there is one.
func (d *discovery) quietLongEnough(now clock.Monotonic) bool {
	if now.Since(d.since) < quietBeforeFounding {
		return false
	}
	return d.groupHeardAt == 0 || now.Since(d.groupHeardAt) >= quietBeforeFounding
}

// discover asks the seeds when it is time to.
func (s *Server) discover() {
	d := s.discovery
	if s.now < d.nextAttempt || d.creating {
		return
	}
	d.nextAttempt = s.now.Add(discoveryInterval)
	for _, seed := range s.config.Seeds {
		s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(true)})
	}
	s.tryFound()
}

// discoverGroup takes what a process says while this server looks for its group.
func (s *Server) discoverGroup(from wire.Peer, announcement *wire.Announcement) {
	if announcement.Founded {
		for _, founder := range announcement.Founders {
			if founder.ID == s.config.ID {
				s.createInitialLog(announcement.Founders, 1)
				return
			}
		}
		s.requestJoin(from, announcement)
		return
	}
	seed := string(from)
	switch announcement.Role {
	case wire.RoleForwarder:
		s.discovery.lastSeen[seed] = s.now
		s.discovery.diskless[seed] = true
	case wire.RoleServer:
		s.discovery.lastSeen[seed] = s.now
		s.discovery.diskless[seed] = false
		s.discovery.emptySeeds[seed] = raft.Member{ID: announcement.Node, Addr: announcement.Addr, Domain: announcement.Domain, Voter: true}
	}
}

// tryFound founds a group when every seed has lately said that it is an empty server,
// this one among them, or that it has no disk. Which seeds have no disk is fixed, and
// all servers have the same seeds at their first start, so that all of them come to
// the same group.
func (s *Server) tryFound() {
	if !s.config.MayFound {
		return
	}
	founders, ok := s.foundersAmongSeeds()
	if !ok {
		return
	}
	everySeed := len(founders) == len(s.config.Seeds)
	if !everySeed && !s.discovery.quietLongEnough(s.now) {
		return
	}
	slices.SortFunc(founders, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	s.createInitialLog(founders, 1)
}

// foundersAmongSeeds lists the seeds that can found a group. It is not ok while some
// seed is silent, or this server is not among them, or two seeds are one server.
func (s *Server) foundersAmongSeeds() (founders []raft.Member, ok bool) {
	ids := map[identifier.Node]bool{}
	for _, seed := range s.config.Seeds {
		seenAt, seen := s.discovery.lastSeen[seed]
		if !seen || s.now.Since(seenAt) > announcementTTL {
			return nil, false
		}
		if s.discovery.diskless[seed] {
			continue
		}
		member := s.discovery.emptySeeds[seed]
		ids[member.ID] = true
		founders = append(founders, member)
	}
	return founders, ids[s.config.ID] && len(ids) == len(founders)
}

// createInitialLog asks for a log that begins with this member list. Index 1 is that
// of a founder; a server that joins begins at 0 and is sent a snapshot.
func (s *Server) createInitialLog(members []raft.Member, index identifier.Index) {
	s.discovery.creating = true
	s.output.CreateLog = &raft.Snapshot{
		Index:   index,
		Term:    identifier.Term(index),
		Members: members,
		Data:    s.initialState().Encode(),
	}
	s.logEvent("log-created", "founder", index == 1, "members", members)
}

// initialState is the state that a group begins with.
func (s *Server) initialState() *state.Store {
	initial := state.New()
	for name, text := range s.config.InitialLimits {
		initial.Limits.Rows[limits.SiteRow][name] = text
	}
	return initial
}

// LogCreated reports that the log which Output.CreateLog asked for is on disk.
func (s *Server) LogCreated(snapshot *raft.Snapshot, now clock.Monotonic, wall clock.WallTime) {
	s.advanceClocks(now, wall)
	if err := s.Resume(raft.HardState{}, snapshot, nil); err != nil {
		s.halt(err.Error())
	}
}

// joinRequest is what a server that wants to join a group says of itself.
type joinRequest struct {
	ID     string            `json:"id"`
	Addr   string            `json:"addr"`
	Domain identifier.Domain `json:"domain"`
	Level  uint16            `json:"level,omitempty"`
}

// requestJoin asks to be taken in as a learner: whoever told of the group, if that
// was a server with a disk, or else the members that were told of.
func (s *Server) requestJoin(from wire.Peer, announcement *wire.Announcement) {
	for _, member := range announcement.Members {
		if member.ID == s.config.ID && member.Addr == s.config.Addr {
			if s.raft == nil {
				s.createInitialLog(announcement.Members, 0)
			}
			return
		}
	}
	body, err := json.Marshal(joinRequest{s.config.ID.String(), s.config.Addr, s.config.Domain, s.config.Level})
	if err != nil {
		panic("controlplane: a request to join does not encode: " + err.Error())
	}
	to := []wire.Peer{from}
	if announcement.Role != wire.RoleServer {
		to = nil
		for _, member := range announcement.Members {
			to = append(to, wire.Peer(member.Addr))
		}
	}
	for _, peer := range to {
		s.send(peer, wire.Message{Request: &wire.Request{
			ID:     s.takeRequestID(),
			Method: endpoint.MethodJoin,
			Path:   "/",
			Body:   body,
			Budget: joinTimeout,
		}})
	}
}

// requestRejoin asks to be taken in again when this server, long without a leader,
// hears of a group that has removed it or knows it by an earlier address.
func (s *Server) requestRejoin(from wire.Peer, announcement *wire.Announcement) {
	if s.raft == nil || s.now.Since(s.leaderlessSince) <= rejoinAfter {
		return
	}
	if announcement.Founded && announcement.LeaderID != 0 && announcement.Node != s.config.ID {
		s.requestJoin(from, announcement)
	}
}

// searchForGroup keeps asking the seeds and members while no leader is heard.
func (s *Server) searchForGroup() {
	// Ticks come every TickInterval, so that one of them falls into the beginning of each
	// searchInterval.
	due := clock.Millis(s.now)%searchInterval < TickInterval
	if s.now.Since(s.leaderlessSince) < rejoinAfter || !due {
		return
	}
	for _, seed := range s.config.Seeds {
		s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(true)})
	}
	for _, member := range s.raft.Members() {
		if member.ID != s.config.ID {
			s.send(wire.Peer(member.Addr), wire.Message{Announcement: s.announcement(true)})
		}
	}
}
