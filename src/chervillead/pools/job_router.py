"""Finds the owner of a partition and calls it, again while time is left.

While a partition changes hands its calls wait here for a moment instead of
failing: a repeat of a call about a job is harmless.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import host_messages
from chervillead.entries import job_messages
from chervillead.entries import job_streams
from chervillead.pools import job_service
from chervillead.pools import ownership
from chervillead.pools import pool_partitions
from chervillead.store import interface as store_interface

# The list of owners is read again at least this often, and at once (but not
# more often than the shorter time) when an owner could not be reached.
REFRESH_S = 1.0
MIN_REFRESH_S = 0.15
RETRY_S = 0.1

# Answers calls about hosts where this host orders them.
ServeHosts = abc.Callable[
    [host_messages.HostCall], abc.Awaitable[host_messages.HostReply]
]
ReplyOutcome = result.Result[job_messages.JobReply, verdicts.Refusal]


class JobRouter:
    """The list of owners, and calls to them."""

    def __init__(
        self,
        store: store_interface.Store,
        streams: job_streams.JobStreams,
        owned: ownership.Ownership,
        clock: types.Clock,
        log: abc.Callable[..., None],
        serve_hosts: ServeHosts,
    ) -> None:
        self._serve_hosts = serve_hosts
        self._store = store
        self._streams = streams
        self._owned = owned
        self._clock = clock
        self._log = log
        self._members: dict[int, ownership.Member] = {}
        self._refresh = asyncio.Event()
        self._owners: dict[int, str] = {}
        self._read_s = float("-inf")

    @property
    def members(self) -> abc.Mapping[int, ownership.Member]:
        """The owners as last read."""
        return self._members

    async def refresh_owners(self) -> None:
        """Reads the list of owners until cancelled."""
        is_lost = False
        while True:
            self._refresh.clear()
            outcome = await self._store.owners(pool_partitions.OWNERS_GROUP)
            if pipeline.is_successful(outcome):
                self._apply(outcome.unwrap())
                self._read_s = self._clock.monotonic()
            if is_lost == pipeline.is_successful(outcome):
                is_lost = not is_lost
                self._log(
                    "dependency:lost" if is_lost else "dependency:regained",
                    name="list of owners",
                )
            await asyncio.sleep(MIN_REFRESH_S)
            try:
                async with asyncio.timeout(REFRESH_S - MIN_REFRESH_S):
                    await self._refresh.wait()
            except TimeoutError:
                pass

    def owners_for_peer(self) -> dict[int, str]:
        """Returns the list of owners for a host without the store."""
        return self._owners

    def apply_peer_owners(self, owners: dict[int, str]) -> None:
        """Applies another host's list while the own one can't be read."""
        if owners and self._clock.monotonic() - self._read_s > REFRESH_S:
            self._apply(owners)

    def _apply(self, owners: dict[int, str]) -> None:
        self._owners = owners
        parsed = {
            partition: ownership.parse_member(text)
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
        """Calls the owner of a partition until it answers or time is up.

        The verdict covers all attempts: once one of them may have been carried
        out, a later failure doesn't deny it.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        may_have_run = False
        while True:
            left_s = deadline_s - self._clock.monotonic()
            outcome = await self._attempt(call, left_s)
            refusal = _refusal_of(outcome)
            if refusal is None or refusal.status == 410:
                return outcome
            if refusal.verdict is not verdicts.Verdict.NOT_RUN:
                may_have_run = True
            left_s = deadline_s - self._clock.monotonic()
            if refusal.reason == "store-away" or left_s <= 2 * RETRY_S:
                return result.Failure(_with_verdict(refusal, may_have_run))
            self._refresh.set()
            await asyncio.sleep(RETRY_S)

    async def call_hosts_owner(
        self, call: host_messages.HostCall
    ) -> result.Result[host_messages.HostReply, verdicts.Refusal]:
        """Sends a call once to the owner of all hosts."""
        partition = pool_partitions.HOSTS_PARTITION
        if self._owned.owner_of(partition) is not None:
            return result.Success(await self._serve_hosts(call))
        member = self._members.get(partition)
        if member is None or member.address == self._owned.member.address:
            return result.Failure(_no_owner(partition))
        outcome = await self._streams.ask(member.address, call)
        return outcome.map(
            lambda reply: typing.cast(host_messages.HostReply, reply)
        )

    async def _attempt(
        self, call: job_messages.JobCall, left_s: float
    ) -> ReplyOutcome:
        if self._owned.owner_of(call.partition) is not None:
            reply = await job_service.serve(call, self._owned.owner_of)
            return result.Success(reply)
        member = self._members.get(call.partition)
        if member is None or member.address == self._owned.member.address:
            return result.Failure(_no_owner(call.partition))
        timeout_s = min(left_s, job_streams.CALL_TIMEOUT_S)
        return await self._streams.call(member.address, call, timeout_s)


def _no_owner(partition: int) -> verdicts.Refusal:
    return verdicts.not_run(
        "no-owner",
        503,
        f"partition {partition} has no owner yet",
        retry_after_s=1.0,
    )


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
