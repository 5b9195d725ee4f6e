// Package wire holds the messages and headers that callers, targets and
// operators exchange with the system over HTTP.
//
// # Usage
//
//	r.Header.Set(wire.HeaderRequestID, "exam-4711")
//	r.Header.Set(wire.HeaderDeadline, "800")
//
// Bodies are JSON with camelCase names. Durations are milliseconds.
package wire

import (
	"encoding/json"

	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// The headers of requests and answers.
const (
	// HeaderRequestID names the request; a resend carries the same id.
	HeaderRequestID = "Eel-Request-Id"
	// HeaderAttempt counts, from 1, the submissions of a request that were answered with notRun.
	HeaderAttempt = "Eel-Attempt"
	// HeaderDeadline is the time left for the answer in milliseconds.
	HeaderDeadline = "Eel-Deadline-Millis"
	// HeaderRegion is the caller's region.
	HeaderRegion = "Eel-Region"
	// HeaderOutcome is the outcome of a request.
	HeaderOutcome = "Eel-Outcome"
	// HeaderClosed comes with notRun where no copy of the attempt can run, by
	// whichever entry it was sent: its claim is closed.
	HeaderClosed = "Eel-Closed"
	// HeaderReason says why a request was not answered.
	HeaderReason = "Eel-Reason"
	// HeaderTryEntries lists the addresses of other entries, comma separated.
	HeaderTryEntries = "Eel-Try-Entries"
	// HeaderPolicy is the policy that steered the request.
	HeaderPolicy = "Eel-Policy"
	// HeaderTarget is the target that answered.
	HeaderTarget = "Eel-Target"
	// HeaderShed is set by a target that refuses a request before it started.
	HeaderShed = "Eel-Shed"
	// HeaderLeader is the address of the leading replica.
	HeaderLeader = "Eel-Leader"
	// HeaderRetryAfterMillis is Retry-After in milliseconds.
	HeaderRetryAfterMillis = "Eel-Retry-After-Millis"
)

// The paths of the HTTP APIs.
const (
	PathEntries   = "/v1/entries"
	PathServices  = "/v1/services"
	PathAnnounce  = "/v1/announce"
	PathCatalogue = "/v1/catalogue"
	PathChanges   = "/v1/changes"
	PathStatus    = "/v1/status"
	PathReplicas  = "/v1/replicas"
	PathBurn      = "/v1/burn"
	PathVM        = "/v1/vm"
	PathHealth    = "/healthz"
)

// Outcome says what happened to a request.
type Outcome string

// The outcomes.
const (
	// Answered means that the body is the target's whole answer.
	Answered Outcome = "answered"
	// NotRun means that the request did not run and no copy of this attempt will.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Entries is the answer to which entry VMs a caller should use.
type Entries struct {
	// TTLMillis is how long the list may be used.
	TTLMillis model.Millis `json:"ttlMillis"`
	Entries   []Entry      `json:"entries"`
}

// Entry is an entry VM, best first.
type Entry struct {
	ID            model.VMID            `json:"id"`
	Addr          string                `json:"addr"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Region        model.RegionID        `json:"region"`
}

// TargetState is what a target says of itself.
type TargetState string

// The states of a target.
const (
	Starting TargetState = "starting"
	Ready    TargetState = "ready"
	Draining TargetState = "draining"
)

// Announcement is what a target tells an entry, again and again.
type Announcement struct {
	ID            model.TargetID        `json:"id"`
	Service       model.ServiceID       `json:"service"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Addr          string                `json:"addr"`
	// Slots is how many requests the target works on at once.
	Slots int `json:"slots"`
	// Connections is how many connections the target accepts.
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
	// InFlight is how many requests the target says it works on.
	InFlight int `json:"inFlight"`
	// Incarnation rises with each start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Sequence rises with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Token is the token of the entry's last reply; it proves the age of the announcement.
	Token string `json:"token,omitempty"`
}

// Announced answers an announcement.
type Announced struct {
	Token string `json:"token"`
	// AnnounceTo are the entries to announce to from now on.
	AnnounceTo []string `json:"announceTo"`
	// EveryMillis is the time between two announcements.
	EveryMillis model.Millis `json:"everyMillis"`
	// DrainedMillis is how long it took until a draining target was free of work; absent before.
	DrainedMillis *model.Millis `json:"drainedMillis,omitempty"`
}

// Failure is the body of an answer that says no.
type Failure struct {
	Error   string  `json:"error"`
	Outcome Outcome `json:"outcome,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	// RetryAfterMillis says when to come back.
	RetryAfterMillis model.Millis `json:"retryAfterMillis,omitempty"`
	TryEntries       []string     `json:"tryEntries,omitempty"`
}

// Catalogue is the catalogue at a version.
type Catalogue struct {
	Version model.Version  `json:"version"`
	Objects []model.Object `json:"objects"`
}

// Change is a change of the catalogue, taken whole or not at all.
type Change struct {
	// ChangeID is the same when the change is sent again.
	ChangeID string `json:"changeId"`
	// BaseVersion is the version that the change was made from.
	BaseVersion model.Version  `json:"baseVersion"`
	Put         []model.Object `json:"put,omitempty"`
	// Remove lists objects as kind/name.
	Remove []string `json:"remove,omitempty"`
}

// ChangeResult is the first and lasting result of a change.
type ChangeResult struct {
	ChangeID string `json:"changeId"`
	Accepted bool   `json:"accepted"`
	// Version is the version that the change made, or the one that it conflicted with.
	Version        model.Version `json:"version"`
	WinnerChangeID string        `json:"winnerChangeId,omitempty"`
	WinnerAuthor   model.OwnerID `json:"winnerAuthor,omitempty"`
}

// ReplicaChange adds, removes or replaces a state replica.
type ReplicaChange struct {
	Action string `json:"action"`
	ID     uint64 `json:"id"`
	Addr   string `json:"addr,omitempty"`
}

// VM is an entry VM as operators see it.
type VM struct {
	ID            model.VMID            `json:"id"`
	Addr          string                `json:"addr"`
	FailureDomain model.FailureDomainID `json:"failureDomain"`
	Leaving       bool                  `json:"leaving"`
	// Version is the catalogue version in force on the VM.
	Version model.Version `json:"version"`
}

// Status is what a replica tells operators.
type Status struct {
	Version model.Version   `json:"version"`
	Replica json.RawMessage `json:"replica"`
	VMs     []VM            `json:"vms,omitempty"`
	Targets json.RawMessage `json:"targets,omitempty"`
	// Workspaces are those of which anything was used of late.
	Workspaces []WorkspaceUse `json:"workspaces,omitempty"`
	Claims     int            `json:"claims"`
	ClaimBytes int64          `json:"claimBytes"`
}

// WorkspaceUse is what the callers of a workspace used of its allowance.
type WorkspaceUse struct {
	Workspace model.WorkspaceID `json:"workspace"`
	// Used counts the requests of the last window, Most those that may run in one,
	// and Credited those that VMs may take without asking.
	Used     int `json:"used"`
	Most     int `json:"most"`
	Credited int `json:"credited"`
	// VMs is how many VMs used some.
	VMs int `json:"vms"`
}
