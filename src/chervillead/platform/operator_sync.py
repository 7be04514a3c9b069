"""Fetches the operators' records from peers while the store doesn't bring them.

A host asks a peer when the store has not confirmed its records for some time:
the store may be away, reject this host, or send more than its link carries.
What a peer sends takes part of that link too, so a host fetches from one peer
at a time, learns first how long the reply is, and gives it the time it needs.
"""

import asyncio
from collections import abc
import random
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead.entries import job_messages
from chervillead.entries import job_streams
from chervillead.entries import packed_records
from chervillead.platform import fleet_view
from chervillead.platform import store_client

# Fraction of their maximum age at which records are fetched from a peer.
SYNC_AGE_FRACTION = 0.62
SYNC_INTERVAL_S = 0.4
# Time for a reply without records, or with few.
REPLY_TIMEOUT_S = 0.4
# Longest records that a peer sends unasked: at the lowest rate of a link they
# take half of the time for a reply.
MAX_UNASKED_BYTES = 10_000

Ask = abc.Callable[
    [types.Address, job_messages.Call, float],
    abc.Awaitable[job_streams.AnyOutcome],
]


class SyncPorts(typing.NamedTuple):
    """What fetching from peers needs of the host.

    Attributes:
        view: The host's view of the records.
        peers: Returns the addresses of the other hosts that own partitions.
        ask: Calls a peer; the last argument is the timeout in seconds.
        max_age_s: Returns the age at which the records are out of date.
        boot_time: Clock in seconds that also runs while the host is suspended.
        apply_owners: Receives a peer's list of owners.
        increment: Increments a counter, by name and label values.
        log: Writes a log line.
    """

    view: fleet_view.FleetView
    peers: abc.Callable[[], abc.Sequence[types.Address]]
    ask: Ask
    max_age_s: abc.Callable[[], float]
    boot_time: abc.Callable[[], float]
    apply_owners: abc.Callable[[dict[int, str]], None]
    increment: abc.Callable[..., None]
    log: abc.Callable[..., None]


async def sync(ports: SyncPorts) -> None:
    """Keeps the records current with the help of peers until cancelled."""
    while True:
        await asyncio.sleep(SYNC_INTERVAL_S)
        peers = ports.peers()
        sync_age_s = SYNC_AGE_FRACTION * ports.max_age_s()
        if peers and ports.view.age_s() >= sync_age_s:
            await _fetch(random.choice(peers), ports)


async def _fetch(peer: types.Address, ports: SyncPorts) -> None:
    """Fetches from one peer what it knows and this host doesn't."""
    age_s, started_s = ports.view.age_s(), ports.boot_time()
    outcome = await _fetch_parts(peer, ports)
    is_answered = pipeline.is_successful(outcome)
    ports.increment(
        "chervillead_operator_syncs", "answered" if is_answered else "failed"
    )
    ports.log(
        "operator-records:synced"
        if is_answered
        else "operator-records:sync-failed",
        peer=f"{peer.host}:{peer.port}",
        age_before_s=_loggable(age_s),
        age_s=_loggable(ports.view.age_s()),
        took_s=_loggable(ports.boot_time() - started_s),
        error=None if is_answered else outcome.failure(),
    )


async def _fetch_parts(
    peer: types.Address, ports: SyncPorts
) -> result.Result[None, str]:
    """Asks once, and again if the records are too long to come unasked.

    Returns:
        Nothing, or what went wrong.
    """
    max_bytes, timeout_s = MAX_UNASKED_BYTES, REPLY_TIMEOUT_S
    for _ in range(2):
        requested_s = ports.boot_time()
        outcome = await ports.ask(
            peer,
            job_messages.AskOperatorRecords(
                ports.view.operator_state.position, max_bytes
            ),
            timeout_s,
        )
        if not pipeline.is_successful(outcome):
            return result.Failure(outcome.failure().detail)
        reply = outcome.unwrap()
        if not isinstance(reply, job_messages.OperatorRecords):
            return result.Failure(f"unexpected reply {type(reply).__name__}")
        ports.apply_owners(reply.owners)
        if reply.packed is not None:
            return _apply(reply, reply.packed, requested_s, ports)
        max_bytes = reply.packed_bytes
        timeout_s = REPLY_TIMEOUT_S + transfer_time_s(reply.packed_bytes)
    return result.Failure(
        f"the records grew beyond {max_bytes} bytes meanwhile"
    )


def _apply(
    reply: job_messages.OperatorRecords,
    packed: bytes,
    requested_s: float,
    ports: SyncPorts,
) -> result.Result[None, str]:
    try:
        records = packed_records.unpack(packed)
    except packed_records.MalformedRecordsError as error:
        return result.Failure(f"malformed records: {error}")
    ports.view.apply_peer_records(reply, records, requested_s)
    return result.Success(None)


def transfer_time_s(size: int) -> float:
    """Returns how long a link of the lowest rate takes for some bytes."""
    return size / store_client.MIN_LINK_BYTES_PER_S


def _loggable(seconds: float) -> float | None:
    """Returns a duration for a log line, where infinity can't be encoded."""
    return round(seconds, 3) if seconds < float("inf") else None
