"""Routes calls about jobs to the owner of a partition, with retries.

While a partition changes owners, its calls are retried here instead of failing:
they are idempotent, so a repeat is harmless.
"""

import asyncio
from collections import abc
import math
import random
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import host_messages
from chervillead.entries import job_messages
from chervillead.entries import job_streams
from chervillead.pools import group_members
from chervillead.pools import job_refusals
from chervillead.pools import job_service
from chervillead.pools import owner_calls
from chervillead.pools import ownership
from chervillead.pools import pool_partitions
from chervillead.pools import queue_assignments
from chervillead.pools import retry_after
from chervillead.store import interface as store_interface

# The list of owners is refreshed at this interval, and earlier after a failed
# call, but never more often than at the minimum interval.
REFRESH_INTERVAL_S = 1.0
MIN_REFRESH_INTERVAL_S = 0.15
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.3
# Shortest delay when a caller's wait for a loading owner is nearly over.
MIN_RETRY_DELAY_S = 0.05
MIN_ATTEMPT_S = 0.1
# Time that a reply of an owner may take on a slow link. The owner stops waiting
# for the store that much before the calling host stops waiting for the owner.
REPLY_MARGIN_S = 0.2
MIN_STORE_WAIT_S = 0.05
# Most partitions load within this time; a caller that submits a job to another
# one is told to come back.
MAX_LOADING_WAIT_S = 0.5

# Reasons of refusals without a call to the owner.
OWNER_SILENT = "owner-silent"
OWNER_BUSY = "owner-busy"
# The list of owners is up to date if calls are refused for these reasons.
_OWNER_IS_KNOWN = frozenset(
    (
        job_service.OWNER_LOADING,
        job_refusals.OWNER_OVERLOADED,
        job_refusals.POOL_OVERLOADED,
        OWNER_BUSY,
    )
)
# Submissions refused for these reasons are not retried here.
_FINAL_FOR_SUBMISSIONS = frozenset(
    (
        OWNER_SILENT,
        OWNER_BUSY,
        job_refusals.OWNER_OVERLOADED,
        job_refusals.POOL_OVERLOADED,
        job_refusals.CANCELLED,
        queue_assignments.QUEUE_MOVING,
    )
)

# Serves calls about hosts if this host owns the hosts partition.
ServeHostCall = abc.Callable[
    [host_messages.HostCall], abc.Awaitable[host_messages.HostReply]
]
ReplyOutcome = result.Result[job_messages.JobReply, verdicts.Refusal]


class JobRouter:
    """Caches the list of owners and calls them."""

    def __init__(
        self,
        store: store_interface.Store,
        streams: job_streams.JobStreams,
        local_ownership: ownership.Ownership,
        clock: types.Clock,
        log: abc.Callable[..., None],
        serve_host_call: ServeHostCall,
    ) -> None:
        self._serve_host_call = serve_host_call
        self._store = store
        self._streams = streams
        self._local_ownership = local_ownership
        self._clock = clock
        self._log = log
        self._call_limits = owner_calls.CallLimits(clock.monotonic)
        self._members: dict[int, group_members.Member] = {}
        self._refresh_requested = asyncio.Event()
        self._owners: dict[int, str] = {}
        self._refreshed_s = float("-inf")

    @property
    def members(self) -> abc.Mapping[int, group_members.Member]:
        """The owners by partition, as last read."""
        return self._members

    def peer_addresses(self) -> list[types.Address]:
        """Returns the addresses of the other hosts that own partitions."""
        addresses = {member.address for member in self._members.values()}
        return sorted(addresses - {self._local_ownership.member.address})

    def members_age_s(self) -> float:
        """Returns the time since the store answered with the list of owners.

        Lists from peers don't count.
        """
        return self._clock.monotonic() - self._refreshed_s

    async def refresh_owners(self) -> None:
        """Refreshes the list of owners until cancelled."""
        is_lost = False
        while True:
            self._refresh_requested.clear()
            outcome = await self._store.owners(pool_partitions.OWNERS_GROUP)
            if pipeline.is_successful(outcome):
                self._apply_owners(outcome.unwrap())
                self._refreshed_s = self._clock.monotonic()
            if is_lost == pipeline.is_successful(outcome):
                is_lost = not is_lost
                self._log(
                    "dependency:lost" if is_lost else "dependency:regained",
                    name="list of owners",
                )
            await asyncio.sleep(MIN_REFRESH_INTERVAL_S)
            try:
                async with asyncio.timeout(
                    REFRESH_INTERVAL_S - MIN_REFRESH_INTERVAL_S
                ):
                    await self._refresh_requested.wait()
            except TimeoutError:
                pass

    def owners_for_peer(self) -> dict[int, str]:
        """Returns the list of owners for a host that cannot reach the store."""
        return self._owners

    def apply_peer_owners(self, owners: dict[int, str]) -> None:
        """Applies a peer's list of owners if the own list is out of date."""
        if (
            owners
            and self._clock.monotonic() - self._refreshed_s > REFRESH_INTERVAL_S
        ):
            self._apply_owners(owners)

    def _apply_owners(self, owners: dict[int, str]) -> None:
        self._owners = owners
        parsed = {
            partition: group_members.parse_member(text)
            for partition, text in owners.items()
        }
        self._members = {
            partition: member
            for partition, member in parsed.items()
            if member is not None
        }

    async def call(
        self, call: job_messages.JobCall, timeout_s: float
    ) -> ReplyOutcome:
        """Calls the owner of a partition until it answers or times out.

        The verdict covers all attempts: if an earlier attempt may have been
        executed, a later failure does not claim that the call did not run.
        """
        began_s = self._clock.monotonic()
        deadline_s = began_s + timeout_s
        may_have_run = False
        delays_s = _retry_delays_s()
        while True:
            left_s = deadline_s - self._clock.monotonic()
            outcome = await self._attempt(call, left_s)
            refusal = _refusal_of(outcome)
            if refusal is None or refusal.status == 410:
                return outcome
            if refusal.verdict is not verdicts.Verdict.NOT_RUN:
                may_have_run = True
            now_s = self._clock.monotonic()
            wait_left_s = _max_wait_s(call, refusal) - (now_s - began_s)
            delay_s = max(MIN_RETRY_DELAY_S, min(next(delays_s), wait_left_s))
            if (
                wait_left_s <= 0
                or deadline_s - now_s <= delay_s + MIN_ATTEMPT_S
            ):
                return result.Failure(_with_verdict(refusal, may_have_run))
            if refusal.reason not in _OWNER_IS_KNOWN:
                self._refresh_requested.set()
            await asyncio.sleep(delay_s)

    async def call_hosts_owner(
        self, call: host_messages.HostCall
    ) -> result.Result[host_messages.HostReply, verdicts.Refusal]:
        """Calls the owner of the hosts partition once, without retries."""
        partition = pool_partitions.HOSTS_PARTITION
        if self._local_ownership.owner_of(partition) is not None:
            return result.Success(await self._serve_host_call(call))
        member = self._members.get(partition)
        if (
            member is None
            or member.address == self._local_ownership.member.address
        ):
            return result.Failure(_no_owner(partition))
        outcome = await self._streams.ask(member.address, call)
        return outcome.map(
            lambda reply: typing.cast(host_messages.HostReply, reply)
        )

    def _is_owner(self, partition: int) -> bool:
        local = self._local_ownership
        return local.owner_of(partition) is not None or job_service.is_loading(
            partition, local
        )

    async def _attempt(
        self, call: job_messages.JobCall, left_s: float
    ) -> ReplyOutcome:
        if self._is_owner(call.partition):
            reply = await job_service.serve(
                _with_store_wait(call, left_s), self._local_ownership
            )
            return result.Success(reply)
        member = self._members.get(call.partition)
        if (
            member is None
            or member.address == self._local_ownership.member.address
        ):
            return result.Failure(_no_owner(call.partition))
        return await self._call_peer(member.address, call, left_s)

    async def _call_peer(
        self,
        address: types.Address,
        call: job_messages.JobCall,
        left_s: float,
    ) -> ReplyOutcome:
        owner = self._call_limits.of(address)
        # Cancelling takes load off an owner, and each job is cancelled once.
        is_limited = not isinstance(call, job_messages.CancelJob)
        if is_limited and not owner.may_call:
            return result.Failure(_owner_limited(address, owner))
        timeout_s = min(left_s, job_streams.CALL_TIMEOUT_S)
        sent_s = self._clock.monotonic()
        with owner.in_progress():
            outcome = await self._streams.call(
                address,
                _with_store_wait(call, timeout_s - REPLY_MARGIN_S),
                timeout_s,
            )
        if pipeline.is_successful(outcome):
            owner.record_reply()
        elif outcome.failure().reason == job_streams.PEER_SILENT:
            owner.record_silence(sent_s)
        return outcome


def _retry_delays_s() -> abc.Iterator[float]:
    """Yields the delays before the next attempts, in seconds."""
    delay_s = FIRST_RETRY_DELAY_S
    while True:
        yield random.uniform(0.5, 1.5) * delay_s
        delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)


def _owner_limited(
    address: types.Address, owner: owner_calls.OwnerCalls
) -> verdicts.Refusal:
    """Returns the refusal of a call that the owner's limit doesn't allow."""
    reason, problem = (
        (OWNER_SILENT, "has not answered earlier calls in time")
        if owner.is_silent
        else (
            OWNER_BUSY,
            f"has yet to answer {owner_calls.MAX_CALLS_IN_PROGRESS} calls",
        )
    )
    return verdicts.not_run(
        reason,
        503,
        f"{address.host}:{address.port} {problem}",
        retry_after_s=retry_after.draw_s(),
    )


def _no_owner(partition: int) -> verdicts.Refusal:
    return verdicts.not_run(
        "no-owner",
        503,
        f"partition {partition} has no known owner",
        retry_after_s=1.0,
    )


def _max_wait_s(call: job_messages.JobCall, refusal: verdicts.Refusal) -> float:
    """Returns after how long the caller is told instead of another retry."""
    if refusal.reason == "store-away":
        return 0.0
    if not isinstance(call, job_messages.SubmitJob):
        return math.inf
    if refusal.reason == job_service.OWNER_LOADING:
        return MAX_LOADING_WAIT_S
    return 0.0 if refusal.reason in _FINAL_FOR_SUBMISSIONS else math.inf


def _with_store_wait(
    call: job_messages.JobCall, wait_s: float
) -> job_messages.JobCall:
    """Returns a call whose owner waits at most that long for the store."""
    if not isinstance(call, job_messages.FindJob):
        wait_ms = int(1000 * max(MIN_STORE_WAIT_S, wait_s))
        return call._replace(timeout_ms=min(call.timeout_ms, wait_ms))
    return call


def _refusal_of(outcome: ReplyOutcome) -> verdicts.Refusal | None:
    if pipeline.is_successful(outcome):
        return job_service.reply_refusal(outcome.unwrap())
    return outcome.failure()


def _with_verdict(
    refusal: verdicts.Refusal, may_have_run: bool
) -> verdicts.Refusal:
    if may_have_run and refusal.verdict is verdicts.Verdict.NOT_RUN:
        return verdicts.may_have_run(refusal.reason, 504, refusal.detail)
    return refusal
