"""Messages between entry hosts.

Times are sent as time left in milliseconds, never as clock readings. Each
message can be received twice without harm: it names the request, grant or loan
that it is about.
"""

import typing

from chervillead import types
from chervillead import verdicts
from chervillead.entries import job_messages


class Hello(typing.NamedTuple):
    """First message on a stream, from both sides."""

    host: str
    zone: str


class QueueLoad(typing.NamedTuple):
    """Load of a queue in the sender's zone.

    Attributes:
        waiting: Requests that wait for a slot.
        running: Grants in use.
        run_ms: Mean run time; 0 if none is known.
    """

    waiting: int
    running: int
    run_ms: int


class Heartbeat(typing.NamedTuple):
    """Sent on every stream at a fixed interval.

    Attributes:
        offset: Offset of the sender's configuration.
        log_age_ms: Time since the log confirmed it; -1 if it never did.
        leaving: Whether the sender is stopping.
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
    """A slot on an upstream, to be used within `start_by_ms`."""

    request_id: str
    grant_id: str
    upstream: types.Upstream
    start_by_ms: int
    lease_ms: int


class Waiting(typing.NamedTuple):
    """The request is on the waiting list; Granted or Refused follows."""

    request_id: str


class Refused(typing.NamedTuple):
    """The dispatcher won't grant a slot; the request did not run."""

    request_id: str
    reason: str
    status: int
    detail: str
    retry_after_ms: int


class Withdraw(typing.NamedTuple):
    """The request no longer waits: cancelled, expired or granted elsewhere."""

    request_id: str


class Release(typing.NamedTuple):
    """A grant is over.

    Attributes:
        grant_id: The grant.
        started: Whether the upstream was given the request.
        failed: Whether the upstream failed it.
        run_ms: How long it ran.
    """

    grant_id: str
    started: bool
    failed: bool
    run_ms: int


class Claim(typing.NamedTuple):
    """Asks to be the one owner of a request id.

    Attributes:
        request_id: The request.
        digest: Digest of its body.
        owner: Entry host that asks.
        team: Team of the key that came with the request.
        attempt: Number of the submission, to tell its report from others'.
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
        answer: The stored answer, if it was small enough to keep.
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
CLAIM_LOST = "lost"  # the owner died, or the claim predates this holder
CLAIM_CONFLICT = "conflict"  # the id was used with another body
CLAIM_UNKNOWN = "unknown"  # only in answers to Lookup


class Lookup(typing.NamedTuple):
    """Asks what is known of a request id."""

    request_id: str


class Finished(typing.NamedTuple):
    """Tells the claim holder how a submission ended."""

    request_id: str
    verdict: verdicts.Verdict
    answer: types.Answer | None
    attempt: int = 0


class Cancel(typing.NamedTuple):
    """Asks the owner to cancel a request."""

    request_id: str


class HeldGrant(typing.NamedTuple):
    """A grant that an entry host uses at present."""

    grant_id: str
    request_id: str
    upstream: str
    queue: str
    team: str
    size: types.Size


class HeldGrantsReport(typing.NamedTuple):
    """Report to a new dispatcher: what the sender holds and waits for."""

    held: list[HeldGrant]
    waiting: list[Register]


class Handover(typing.NamedTuple):
    """State of a leaving dispatcher for the host that takes its seat.

    Attributes:
        zone: Zone of the seat.
        held: Grants in use, by the entry host that uses them.
        claims: Claims, with the digest of the body.
        known_for_ms: In the last message of a hand-over, how long the sender
            has known all claims; -1 in the messages before it.
    """

    zone: str
    held: dict[str, list[HeldGrant]]
    claims: list[tuple[int, ClaimState]]
    known_for_ms: int = -1


class ConfigRequest(typing.NamedTuple):
    """Asks a peer for the configuration beyond an offset."""

    offset: int


class ConfigRecords(typing.NamedTuple):
    """Consecutive log entries from `first` on, as bytes of records."""

    first: int
    records: list[bytes]


class ConfigSnapshot(typing.NamedTuple):
    """The whole folded state, encoded by `platform.snapshots`."""

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
