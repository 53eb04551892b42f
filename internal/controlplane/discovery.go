// Finding the group. A keeper whose folder is empty asks its seeds until it is
// told of a group that has it as a founder, or of one it may join as learner,
// or finds all three seeds as empty as itself and founds one with them.

package controlplane

import (
	"encoding/json"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

type discovery struct {
	nextAttempt clock.Monotonic
	emptySeeds  map[string]raft.Member
	lastSeen    map[string]clock.Monotonic
	// diskless are the seeds that have no disk, by their own word.
	diskless map[string]bool
	creating bool
	// since is when this search began, stirred when a message among members of a
	// group was last heard.
	since, groupHeardAt clock.Monotonic
}

func newDiscovery(now clock.Monotonic) *discovery {
	return &discovery{since: now, emptySeeds: map[string]raft.Member{}, lastSeen: map[string]clock.Monotonic{}, diskless: map[string]bool{}}
}

const (
	discoveryInterval = 300
	discoveryLife     = 1500
	// quietBeforeFounding is how long a keeper listens for a group before it founds one past
	// seeds without a disk, and seedAnnounceInterval how often a leader tells the seeds.
	quietBeforeFounding  = 5000
	seedAnnounceInterval = 1000
)

func (s *Server) announcement(ask bool) *wire.Announcement {
	t := &wire.Announcement{WantReply: ask, Role: "keeper", Node: s.config.ID, Addr: s.config.Addr, Domain: s.config.Domain, Gateways: s.liveGateways()}
	if p := s.forwarder; p != nil {
		t.Role, t.Node, t.Founded, t.Members = "porter", 0, p.knowsGroup(), p.members
		if mem, ok := p.leader(s.now); ok {
			t.LeaderID = mem.ID
		}
	}
	if s.raft != nil {
		t.Founded, t.LeaderID, t.Members, t.Founders = true, s.raft.Leader(), s.raft.Members(), s.founders
		if s.isActiveLeader() {
			t.LeaderTime = s.leaderTime()
		}
	}
	return t
}

func (s *Server) discover() {
	f := s.discovery
	if s.now < f.nextAttempt || f.creating {
		return
	}
	f.nextAttempt = s.now.Add(discoveryInterval)
	for _, seed := range s.config.Seeds {
		s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(true)})
	}
	s.tryFound()
}

// tryFound lays the first view when every seed has lately said that it is an empty
// keeper, this one among them, or that it has no disk. Who has none is fixed, and
// all have the same seeds at the first start, so that all come to the same group.
func (s *Server) tryFound() {
	if !s.config.MayFound {
		return
	}
	list, own := []raft.Member{}, false
	names := map[identifier.Node]bool{}
	for _, seed := range s.config.Seeds {
		if at, ok := s.discovery.lastSeen[seed]; !ok || s.now.Since(at) > discoveryLife {
			return
		}
		if s.discovery.diskless[seed] {
			continue
		}
		mem := s.discovery.emptySeeds[seed]
		own = own || mem.ID == s.config.ID
		names[mem.ID] = true
		list = append(list, mem)
	}
	if !own || len(list) == 0 || len(names) != len(list) || len(list) < len(s.config.Seeds) && !s.discovery.quietLongEnough(s.now) {
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.createInitialLog(list, 1)
}

// still tells whether, for long enough for a leader to make itself heard, no
// group was. Seeds without a disk forget at a restart that there is one.
func (f *discovery) quietLongEnough(now clock.Monotonic) bool {
	return now.Since(f.since) >= quietBeforeFounding && (f.groupHeardAt == 0 || now.Since(f.groupHeardAt) >= quietBeforeFounding)
}

func (s *Server) createInitialLog(list []raft.Member, at identifier.Index) {
	s.discovery.creating = true
	v := &raft.Snapshot{Index: at, Term: identifier.Term(at), Members: list, Data: s.initialState().Encode()}
	s.out.CreateLog = v
	s.logEvent("begin", "founder", at == 1, "members", list)
}

// initialState is the book a group begins with.
func (s *Server) initialState() *state.Store {
	b := state.New()
	for name, text := range s.config.InitialLimits {
		b.Limits.Rows[limits.SiteRow][name] = text
	}
	return b
}

// LogCreated says that the ring Out.CreateLog asked for is on disk.
func (s *Server) LogCreated(v *raft.Snapshot, now clock.Monotonic, wall clock.WallTime) {
	s.advanceClocks(now, wall)
	if err := s.Resume(raft.HardState{}, v, nil); err != nil {
		s.stepDown(err.Error())
	}
}

func (s *Server) handleAnnouncement(from wire.Peer, t *wire.Announcement) {
	if t.Role == "gate" {
		s.gatewaySeen(t.HTTP)
		if _, known := s.gatewayPeers[t.Addr]; known || len(s.gatewayPeers) < maxGateways {
			s.gatewayPeers[t.Addr] = s.now
		}
	}
	if t.WantReply && s.forwarder != nil && s.forwarder.undecided(s.now) {
		s.learnGroup(t)
		return
	}
	if t.WantReply {
		s.send(from, wire.Message{Announcement: s.announcement(false)})
		if s.discovery == nil || !t.Founded {
			return
		}
	}
	if s.forwarder != nil {
		s.learnGroup(t)
		return
	}
	if s.discovery == nil || s.discovery.creating {
		if s.raft != nil && s.now.Since(s.leaderlessSince) > memberDeadAfter/2 {
			s.requestRejoin(from, t)
		}
		return
	}
	if t.Founded {
		for _, one := range t.Founders {
			if one.ID == s.config.ID {
				s.createInitialLog(t.Founders, 1)
				return
			}
		}
		s.requestJoin(from, t)
		return
	}
	if t.Role == "porter" {
		s.discovery.lastSeen[string(from)], s.discovery.diskless[string(from)] = s.now, true
	}
	if t.Role == "keeper" {
		s.discovery.lastSeen[string(from)], s.discovery.diskless[string(from)] = s.now, false
		s.discovery.emptySeeds[string(from)] = raft.Member{ID: t.Node, Addr: t.Addr, Domain: t.Domain, Voter: true}
	}
}

// joinRequest is what a would-be learner says of itself.
type joinRequest struct {
	ID     string            `json:"id"`
	Addr   string            `json:"addr"`
	Domain identifier.Domain `json:"domain"`
	Level  uint16            `json:"level,omitempty"`
}

// requestJoin asks for a place as a learner: whoever told of the group, if that was a
// keeper, or else the keepers that a gate told of.
func (s *Server) requestJoin(from wire.Peer, t *wire.Announcement) {
	for _, one := range t.Members {
		if one.ID == s.config.ID && one.Addr == s.config.Addr {
			if s.raft == nil {
				s.createInitialLog(t.Members, 0)
			}
			return
		}
	}
	body, err := json.Marshal(joinRequest{s.config.ID.String(), s.config.Addr, s.config.Domain, s.config.Level})
	if err != nil {
		panic(err)
	}
	to := []wire.Peer{from}
	if t.Role != "keeper" {
		to = nil
		for _, one := range t.Members {
			to = append(to, wire.Peer(one.Addr))
		}
	}
	for _, peer := range to {
		s.nextID++
		s.send(peer, wire.Message{Request: &wire.Request{ID: s.nextID, Method: "JOIN", Path: "/", Body: body, Budget: discoveryLife}})
	}
}

// requestRejoin asks for a place again when this keeper, long without a leader,
// hears of a group that has given its seat away or has an old address of it.
func (s *Server) requestRejoin(from wire.Peer, t *wire.Announcement) {
	if t.Founded && t.LeaderID != 0 && t.Node != s.config.ID {
		s.requestJoin(from, t)
	}
}

// stray keeps asking the seeds and members when no leader is heard.
func (s *Server) searchForGroup() {
	if s.now.Since(s.leaderlessSince) < memberDeadAfter/2 || int64(s.now)%(discoveryInterval*4) >= tickMillis {
		return
	}
	for _, seed := range s.config.Seeds {
		s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(true)})
	}
	for _, mem := range s.raft.Members() {
		if mem.ID != s.config.ID {
			s.send(wire.Peer(mem.Addr), wire.Message{Announcement: s.announcement(true)})
		}
	}
}

// announceLeadership tells gates and agents that this keeper leads, so that none of them
// waits on the one before it.
func (s *Server) announceLeadership() {
	t := s.announcement(false)
	list := []string{}
	for addr, at := range s.gatewayPeers {
		if s.now.Since(at) < gatewayLife {
			list = append(list, addr)
		}
	}
	for _, n := range s.state.RunnerNames() {
		if r := s.state.Runners[n]; r.AgentAddr != "" && !r.Gone {
			list = append(list, r.AgentAddr)
		}
	}
	sort.Strings(list)
	for _, addr := range list {
		s.send(wire.Peer(addr), wire.Message{Announcement: t})
	}
}

// announceToSeeds tells seeds that are no members where the group is: porters, which
// forget it, and machines that have come back empty.
func (s *Server) announceToSeeds() {
	if s.now.Since(s.leader.seedsToldAt) < seedAnnounceInterval {
		return
	}
	s.leader.seedsToldAt = s.now
	members := map[string]bool{}
	for _, mem := range s.raft.Members() {
		members[mem.Addr] = true
	}
	for _, seed := range s.config.Seeds {
		if !members[seed] {
			s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(false)})
		}
	}
}

// gatewaySeen notes that a gate lives; past the bound no more are taken in.
func (s *Server) gatewaySeen(http string) {
	if _, known := s.gatewayClients[http]; known || http != "" && len(s.gatewayClients) < maxGateways {
		s.gatewayClients[http] = s.now
	}
}

func (s *Server) liveGateways() []string {
	var out []string
	for g, at := range s.gatewayClients {
		if s.now.Since(at) < gatewayLife {
			out = append(out, g)
		}
	}
	sort.Strings(out)
	return out
}
