"""Messages between entry hosts.

Times are sent as remaining or elapsed milliseconds, never as clock readings,
since the clocks of hosts differ. Messages are idempotent: each names the
request or grant that it is about.
"""

import typing

from chervillead import types
from chervillead import verdicts
from chervillead.entries import job_messages


class Hello(typing.NamedTuple):
    """First message on a stream, sent by both sides."""

    host: str
    zone: str


class QueueLoad(typing.NamedTuple):
    """Load of a queue in the sender's zone.

    Attributes:
        waiting: Number of requests that wait for a slot.
        running: Number of active grants.
        run_ms: Mean run time; 0 if unknown.
    """

    waiting: int
    running: int
    run_ms: int


class Heartbeat(typing.NamedTuple):
    """Sent on every stream at a fixed interval.

    Attributes:
        offset: Offset of the sender's configuration.
        log_age_ms: Time since a read of the log confirmed the configuration; -1
            if none did.
        leaving: Whether the sender is shutting down.
        free_slots: Free slots by queue if the sender is a dispatcher.
        unit_shortages: Waiting requests that lack a unit of their team's limit,
            by team, if the sender is a dispatcher.
        ejected: Ejected upstreams by pool, if the sender is a dispatcher.
        teams_over_units: Teams that run more than their units after their limit
            was lowered, if the sender is a dispatcher.
        queue_loads: Load by queue; queues without any have no entry.
    """

    offset: int
    log_age_ms: int
    leaving: bool
    free_slots: dict[str, int]
    unit_shortages: dict[str, int]
    ejected: dict[str, int] = {}
    teams_over_units: list[str] = []
    queue_loads: dict[str, QueueLoad] = {}


class Register(typing.NamedTuple):
    """Asks a dispatcher for a slot; answered by Granted, Waiting or Refused."""

    request_id: str
    queue: str
    team: str
    size: types.Size
    time_left_ms: int
    run_ms: int


class Granted(typing.NamedTuple):
    """Grant of a slot on an upstream, to be used within `start_by_ms`."""

    request_id: str
    grant_id: str
    upstream: types.Upstream
    start_by_ms: int
    lease_ms: int


class Waiting(typing.NamedTuple):
    """The request is on the waiting list; Granted or Refused follows."""

    request_id: str


class Refused(typing.NamedTuple):
    """The dispatcher refuses a slot; the request did not run."""

    request_id: str
    reason: str
    status: int
    detail: str
    retry_after_ms: int


class Withdraw(typing.NamedTuple):
    """Ends the wait of a request: cancelled, expired or granted elsewhere."""

    request_id: str


class Release(typing.NamedTuple):
    """Releases the slot of a grant.

    Attributes:
        grant_id: The grant.
        started: Whether the request was sent to the upstream.
        failed: Whether the request failed on the upstream.
        run_ms: Run time of the request.
    """

    grant_id: str
    started: bool
    failed: bool
    run_ms: int


class Claim(typing.NamedTuple):
    """Asks to become the only owner of a request id.

    Attributes:
        request_id: The request.
        digest: Digest of its body.
        owner: Entry host that asks.
        team: Team of the key that came with the request.
        attempt: Number of the submission; `Finished` repeats it.
    """

    request_id: str
    digest: int
    owner: str
    team: str = ""
    attempt: int = 0


class ClaimState(typing.NamedTuple):
    """Answer to Claim and Lookup.

    Attributes:
        request_id: The request.
        state: One of the `CLAIM_*` constants.
        owner: Entry host that owns the request, if known.
        verdict: Whether it ran, once that is known.
        answer: The stored answer; None if it was too large.
        team: Team that the request belongs to.
        attempt: Number of the submission that holds the claim.
    """

    request_id: str
    state: str
    owner: str = ""
    verdict: verdicts.Verdict | None = None
    answer: types.Answer | None = None
    team: str = ""
    attempt: int = 0


CLAIM_ACCEPTED = "accepted"
CLAIM_RUNNING = "running"
CLAIM_FINISHED = "finished"
CLAIM_LOST = "lost"  # the owner died, or the id predates this holder
CLAIM_CONFLICT = "conflict"  # the id was used with another body
CLAIM_UNKNOWN = "unknown"  # only in answers to Lookup


class Lookup(typing.NamedTuple):
    """Asks for the state of the claim on a request id."""

    request_id: str


class Finished(typing.NamedTuple):
    """Reports the outcome of a submission to the claim holder."""

    request_id: str
    verdict: verdicts.Verdict
    answer: types.Answer | None
    attempt: int = 0


class Cancel(typing.NamedTuple):
    """Asks the owner to cancel a request."""

    request_id: str


class HeldGrant(typing.NamedTuple):
    """A grant that an entry host holds and has not released."""

    grant_id: str
    request_id: str
    upstream: str
    queue: str
    team: str
    size: types.Size


class HeldGrantsReport(typing.NamedTuple):
    """Reports the sender's grants and waiting requests to a dispatcher."""

    held: list[HeldGrant]
    waiting: list[Register]


class Handover(typing.NamedTuple):
    """State of a leaving leader, for its successor.

    Attributes:
        zone: Zone of the leader.
        held: Active grants, by the entry host that holds them.
        claims: Digest of the body and state of each claim.
        known_for_ms: In the last message of a handover, the time for which the
            sender has had every claim; -1 in the messages before it.
    """

    zone: str
    held: dict[str, list[HeldGrant]]
    claims: list[tuple[int, ClaimState]]
    known_for_ms: int = -1


class ConfigRequest(typing.NamedTuple):
    """Asks a peer for the log records from an offset on."""

    offset: int


class ConfigRecords(typing.NamedTuple):
    """Encoded log records of consecutive offsets from `first` on."""

    first: int
    records: list[bytes]


class ConfigSnapshot(typing.NamedTuple):
    """The whole configuration, encoded by `fleet.snapshots`."""

    offset: int
    state: bytes


Message: typing.TypeAlias = (
    Hello
    | Heartbeat
    | Register
    | Granted
    | Waiting
    | Refused
    | Withdraw
    | Release
    | Claim
    | ClaimState
    | Lookup
    | Finished
    | Cancel
    | HeldGrantsReport
    | Handover
    | ConfigRequest
    | ConfigRecords
    | ConfigSnapshot
    | job_messages.Call
    | job_messages.Reply
)
