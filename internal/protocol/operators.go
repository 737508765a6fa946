package protocol

import "strings"

// Overview is what a controller shows its operators. All of it is what this
// controller knows itself: nothing is asked of the state service, the cloud or
// the siblings for it.
type Overview struct {
	Controller string       `json:"controller"`
	Zone       string       `json:"zone"`
	UpS        float64      `json:"upS"`
	Generation int          `json:"generation"` // what its version understands
	Session    SessionView  `json:"session"`
	Leader     string       `json:"leader"`
	Holds      MachineCount `json:"holds"`
	OwnerView
	State ClientView `json:"stateService"`
	Cloud ClientView `json:"cloud"`
	// Busy are parts of the controller that did not answer in time.
	Busy []string `json:"busy,omitempty"`
}

// OwnerView is the part of an overview that the controller's owner knows.
type OwnerView struct {
	Window   *WindowView   `json:"window"`
	Slots    []SlotState   `json:"slots"`
	Fleet    []FleetCount  `json:"fleet"`
	Jobs     JobCount      `json:"jobs"`
	Waiting  []JobView     `json:"waiting"` // the longest waiting, no more than MaxWaiting
	Siblings []SiblingView `json:"siblings"`
	// NoCapacity are kinds of machines that the cloud had none of a while ago;
	// only the leader knows.
	NoCapacity []string `json:"noCapacity"`
	// Quotas are nested quotas, if they are switched on: the accounts that use most.
	Quotas *QuotaView `json:"quotas,omitempty"`
}

// MaxWaiting bounds the jobs that an overview lists.
const MaxWaiting = 25

// SessionView is a controller's standing with the state service.
type SessionView struct {
	Valid bool    `json:"valid"`
	Term  uint64  `json:"term"`
	LeftS float64 `json:"leftS"` // for how long it may act without a renewal
	// Deaf: its workers can't reach it.
	Deaf bool `json:"deaf"`
}

// WindowView is the division of the ring that a controller goes by.
type WindowView struct {
	Number uint64   `json:"number"`
	Owners []string `json:"owners"`
	Newest uint64   `json:"newest"` // published, may begin later
}

// SlotState is a share of the workers.
type SlotState struct {
	Slot     int    `json:"slot"`
	Holder   string `json:"holder"`
	Complete bool   `json:"complete"`
	Machines int    `json:"machines"`
	Awaited  int    `json:"awaited"`
}

// MachineCount sums up the machines that a controller holds.
type MachineCount struct {
	Machines int `json:"machines"`
	Silent   int `json:"silent"`
	Suspect  int `json:"suspect"`
	Doubted  int `json:"doubted"`
	Draining int `json:"draining"`
	// Vacating are those of the draining ones whose services are moved elsewhere.
	Vacating int `json:"vacating"`
	Tasks    int `json:"tasks"`
	Running  int `json:"running"`
	// Answers: it answers its workers, with a session or on promises. HorizonS is how long ago
	// the time was up to which it surely knows all cancellations; when that grows too old it
	// answers nobody.
	Answers  bool    `json:"answers"`
	HorizonS float64 `json:"horizonS"`
}

// FleetCount sums up the machines of a kind, of all controllers.
type FleetCount struct {
	Type    string  `json:"type"`
	Spot    bool    `json:"spot"`
	Up      int     `json:"up"`
	Booting int     `json:"booting"`
	Used    float64 `json:"used"` // part of the room of those that are up
}

// JobCount sums up the jobs that are not over.
type JobCount struct {
	Active  int            `json:"active"`
	Owned   int            `json:"owned"` // in this controller's range
	Waiting map[string]int `json:"waiting"`
	// Chained are jobs that others need or that need others, Unclear those of
	// which it is being looked up what became of jobs that they need.
	Chained int `json:"chained"`
	Unclear int `json:"unclear"`
	// AsksPending are requests to holders without an answer yet, Unmoved
	// jobs that are over and whose records still stand with the others.
	AsksPending int `json:"asksPending"`
	Unmoved     int `json:"unmoved"`
	// Moves is how many moves of services' replicas this controller began, Patient how many
	// tasks wait now for room where their image is.
	Moves   int `json:"moves"`
	Patient int `json:"patient"`
}

// SiblingView is what a controller knows of another one, or of itself.
type SiblingView struct {
	Name    string  `json:"name"`
	Session bool    `json:"session"`
	HeardS  float64 `json:"heardS"` // since its last news, negative if there were none
	// Generation is what its version understands, 0 if that is not known, 1 for
	// versions that don't say.
	Generation int `json:"generation"`
}

// ClientView is what requests to a service came to.
type ClientView struct {
	Requests   int64            `json:"requests"`
	Refused    int64            `json:"refused"`
	Unanswered int64            `json:"unanswered"`
	NoBudget   int64            `json:"noBudget"` // given up before they were sent
	Changes    map[string]int64 `json:"changes,omitempty"`
}

// JobView tells operators how a job stands, and why it waits.
type JobView struct {
	ID       string `json:"id"`
	Status   string `json:"status"`
	Class    string `json:"class"`
	Team     string `json:"team"`
	Shape    Shape  `json:"shape"`
	Priority string `json:"priority"`
	// Name, Queue and Account are those of a batch script, and of quotas.
	Name    string  `json:"name,omitempty"`
	Queue   string  `json:"queue,omitempty"`
	Account string  `json:"account,omitempty"`
	Owner   string  `json:"owner"`
	AgeS    float64 `json:"ageS"`
	Tasks   int     `json:"tasks"`
	Done    int     `json:"done"`
	Running int     `json:"running"`
	Placed  int     `json:"placed"` // on machines, running or not
	Reason  string  `json:"reason,omitempty"`
	// StartsInS is when the first waiting task should start, nil if it can't
	// be told.
	StartsInS *float64 `json:"startsInS"`
	// Needs are jobs that it waits for, NeededBy some that wait for it, and
	// CancelledWith is the one that it was cancelled with.
	Needs         []string `json:"needs,omitempty"`
	NeededBy      []string `json:"neededBy,omitempty"`
	CancelledWith string   `json:"cancelledWith,omitempty"`
	// RaisedTo is the priority that it has for those that need it, if that is
	// higher than its own; DueInS is what is left until its own deadline,
	// MustEndInS until it has to end for all.
	RaisedTo   string   `json:"raisedTo,omitempty"`
	DueInS     *float64 `json:"dueInS,omitempty"`
	MustEndInS *float64 `json:"mustEndInS,omitempty"`
	// FailedOn are machines on which tasks of the job failed.
	FailedOn int `json:"failedOn,omitempty"`
}

// ScriptTaken answers a batch script that was accepted.
type ScriptTaken struct {
	// ID is the name that PBS's commands use, Job the native id.
	ID     string `json:"id"`
	Job    string `json:"job"`
	Status string `json:"status"`
	// Notes name directives that have no effect here.
	Notes []string `json:"notes,omitempty"`
}

// JobFilter chooses jobs; what is empty does not choose.
type JobFilter struct {
	Queue, Account, Name, Class, Team string
	// Over: also jobs that ended lately. Batch: only those of batch scripts.
	Over, Batch bool
	// After is the id that the list goes on behind.
	After string
}

// Chooses tells whether a job is chosen.
func (f *JobFilter) Chooses(s *JobSpec, over bool) bool {
	name, queue := "", ""
	if s.Batch != nil {
		name, queue = s.Batch.Name, s.Batch.Queue
	}
	is := func(want, got string) bool { return want == "" || want == got }
	return (f.Over || !over) && (!f.Batch || s.Batch != nil) && is(f.Queue, queue) && is(f.Name, name) && is(f.Class, s.Class) && is(f.Team, s.Team) &&
		(f.Account == "" || s.Account == f.Account || strings.HasPrefix(s.Account, f.Account+"/")) && s.ID > f.After
}

// JobList is a part of the jobs that a filter chooses, in the order of their ids.
type JobList struct {
	Jobs []JobView `json:"jobs"`
	// More: there are others behind the last one.
	More bool `json:"more"`
}

// MaxListed bounds the jobs of one part.
const MaxListed = 200

// HoldAnswer tells how a job stands after it was to be held or released.
type HoldAnswer struct {
	ID   string `json:"id"`
	Held bool   `json:"held"`
	// Changed: by this very request.
	Changed bool   `json:"changed"`
	Status  string `json:"status"`
}

// QuotaAccount is an account of nested quotas as it stands.
type QuotaAccount struct {
	Name      string  `json:"name"`
	Guarantee Room    `json:"guarantee"`
	Limit     Room    `json:"limit"` // 0: none
	Weight    float64 `json:"weight"`
	// Used is by the account and all below it; Borrowed what it uses beyond its
	// guarantee, Lent what of its guarantee others may use.
	Used     Room `json:"used"`
	Borrowed Room `json:"borrowed"`
	Lent     Room `json:"lent"`
	// Waiting are jobs of this controller's range that this account binds.
	Waiting int `json:"waiting,omitempty"`
}

// QuotaView is what a controller knows of nested quotas.
type QuotaView struct {
	// Revision counts changes at run time; 0: as the settings have them.
	Revision uint64 `json:"revision"`
	By       string `json:"by,omitempty"`
	Why      string `json:"why,omitempty"`
	At       string `json:"at,omitempty"`
	// Authorities are the controllers that lend, by team, as far as is known.
	Authorities map[string]string `json:"authorities,omitempty"`
	// Permits are out that this controller gave as an authority; Over are accounts
	// whose live services alone exceed the limit.
	Permits int `json:"permits"`
	// Requests this controller made of authorities so far, and the permits Granted.
	Requests int64          `json:"requests"`
	Granted  int64          `json:"granted"`
	Over     []string       `json:"over,omitempty"`
	Accounts []QuotaAccount `json:"accounts,omitempty"`
}

// Why a job that isn't over waits.
const (
	ReasonSlots      = "slots incomplete"
	ReasonLimit      = "limit of its team"
	ReasonQuota      = "quota of " // and the account that binds
	ReasonFailing    = "failing everywhere"
	ReasonFetching   = "fetching"
	ReasonGang       = "waiting for its gang"
	ReasonBooting    = "booting"
	ReasonNoCapacity = "no capacity"
	ReasonNoRoom     = "no room"
	ReasonPlacing    = "being placed"
	ReasonNeeds      = "waits for other jobs"
	ReasonHeld       = "held"
	ReasonTime       = "waits for its time"
)
