"""Tasks that restore a zone's dispatch after a leader or stream is lost."""

import asyncio
from collections import abc

from chervillead.entries import claims as claims_module
from chervillead.entries import dispatcher as dispatcher_module
from chervillead.entries import grant_handover
from chervillead.entries import membership as membership_module
from chervillead.entries import messages
from chervillead.entries import seats
from chervillead.entries import streams as streams_module
from chervillead.fleet import log_reader
from chervillead.upstreams import slots

# Returns whether the task of a grant has finished; False if that is unknown.
IsTaskFinished = abc.Callable[[slots.HeldSlot], abc.Awaitable[bool]]

CHECK_INTERVAL_S = 0.25
# A leader that lost its seat can grant until its last confirmation expires, so
# reports are repeated until the new leader is active.
REPORT_COUNT = 16


async def report_held_grants(
    report: abc.Callable[[str, str], bool],
    reader: log_reader.LogReader,
    streams: streams_module.PeerStreams,
) -> None:
    """Reports held grants to each new leader and on each new stream to one.

    Args:
        report: Sends the report of a zone to an entry host.
        reader: Reader of the log, with the newest configuration.
        streams: Streams to the other hosts.
    """
    reported: dict[str, tuple[str, int, int]] = {}
    reports_left: dict[str, int] = {}
    while True:
        for zone in reader.configuration.zones:
            leader = seats.zone_leader(reader.configuration, zone)
            if leader is None:
                continue
            version = seats.incarnation(
                reader.configuration, seats.seat_subject(zone, 0)
            )
            current = (leader, version, streams.times_opened(leader))
            if reported.get(zone) != current:
                reported[zone] = current
                reports_left[zone] = REPORT_COUNT
            if reports_left[zone] > 0:
                reports_left[zone] -= 1
                report(zone, leader)
        await asyncio.sleep(CHECK_INTERVAL_S)


async def watch_peers(
    host: str,
    dispatcher: dispatcher_module.Dispatcher,
    claims: claims_module.ClaimTable,
    reader: log_reader.LogReader,
    streams: streams_module.PeerStreams,
    membership: membership_module.Membership,
    is_task_finished: IsTaskFinished,
) -> None:
    """Frees the grants of lost entry hosts and marks their claims as lost."""
    started_s = asyncio.get_running_loop().time()

    def silent_s(peer: str) -> float:
        uptime_s = asyncio.get_running_loop().time() - started_s
        return min(membership.silent_s(peer), uptime_s)

    def is_dead(owner: str, seat: claims_module.OwnerSeat) -> bool:
        if owner == host:
            return False
        current_seat = seats.seat_of(reader.configuration, owner)
        if seat is not None and _was_replaced(seat, current_seat):
            return True
        return silent_s(owner) > dispatcher_module.GRANT_EXPIRY_S

    while True:
        _remove_waiting_of_disconnected(host, dispatcher, streams)
        holders = {s.entry_host for s in dispatcher.slots.held.values()}
        for peer in holders - {host}:
            if silent_s(peer) > dispatcher_module.GRANT_EXPIRY_S:
                await _free_expired(peer, dispatcher, is_task_finished)
        claims.mark_lost_claims(is_dead)
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _free_expired(
    peer: str,
    dispatcher: dispatcher_module.Dispatcher,
    is_finished: IsTaskFinished,
) -> None:
    """Frees the grants of a silent entry host whose tasks have finished."""
    expired = dispatcher.expired_grants(peer)
    answers = await asyncio.gather(*(is_finished(slot) for slot in expired))
    for slot, finished in zip(expired, answers, strict=True):
        if finished:
            dispatcher.free_expired(slot.grant_id)


def _remove_waiting_of_disconnected(
    host: str,
    dispatcher: dispatcher_module.Dispatcher,
    streams: streams_module.PeerStreams,
) -> None:
    """Removes waiting requests of disconnected hosts.

    A host reports its waiting requests again on a new stream.
    """
    for entry in dispatcher.waiting.entries:
        peer = entry.entry_host
        if peer != host and not streams.is_connected(peer):
            dispatcher.waiting.remove(entry.register.request_id)


def _was_replaced(
    claimed: tuple[str, int], current: claims_module.OwnerSeat
) -> bool:
    """Returns whether an owner's seat went to another process.

    An owner that moved from a standby seat to the leader seat is the same
    process.
    """
    if current is None:
        return True
    return current[0] == claimed[0] and current[1] != claimed[1]


def handover_messages(
    zone: str,
    dispatcher: dispatcher_module.Dispatcher,
    claims: claims_module.ClaimTable,
    known_for_s: float,
) -> abc.Iterator[messages.Handover]:
    """Yields the state of a leaving leader; the last message is marked."""
    held = grant_handover.grants_by_entry_host(dispatcher.slots)
    batches = list(claims.handover_batches())
    for index, batch in enumerate(batches):
        is_last = index == len(batches) - 1
        yield messages.Handover(
            zone,
            held if is_last else {},
            batch,
            int(known_for_s * 1000) if is_last else -1,
        )
