"""Tasks that restore a zone's dispatch after a holder or a stream is lost."""

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

# Asks whether the task of a grant no longer runs; False if nobody knows.
IsTaskFinished = abc.Callable[[slots.HeldSlot], abc.Awaitable[bool]]

CHECK_S = 0.25
# A holder that lost its seat can grant until its last confirmation is over,
# so reports go on until the new holder is active.
REPORTS = 16


async def report_held_grants(
    report: abc.Callable[[str, str], bool],
    reader: log_reader.LogReader,
    streams: streams_module.PeerStreams,
) -> None:
    """Reports to each zone's dispatcher when it or a stream to it is new.

    Args:
        report: Sends the report of a zone to an entry host.
        reader: Holder of the newest state.
        streams: Streams to the other hosts.
    """
    reported: dict[str, tuple[str, int, int]] = {}
    due: dict[str, int] = {}
    while True:
        for zone in reader.configuration.zones:
            holder = seats.zone_leader(reader.configuration, zone)
            if holder is None:
                continue
            version = seats.incarnation(
                reader.configuration, seats.seat_subject(zone, 0)
            )
            current = (holder, version, streams.times_opened(holder))
            if reported.get(zone) != current:
                reported[zone] = current
                due[zone] = REPORTS
            if due[zone] > 0:
                due[zone] -= 1
                report(zone, holder)
        await asyncio.sleep(CHECK_S)


async def watch_peers(
    host: str,
    dispatcher: dispatcher_module.Dispatcher,
    claims: claims_module.ClaimTable,
    reader: log_reader.LogReader,
    streams: streams_module.PeerStreams,
    membership: membership_module.Membership,
    is_task_finished: IsTaskFinished,
) -> None:
    """Frees what lost entry hosts held and marks their claims as lost."""
    started_s = asyncio.get_running_loop().time()

    def silent_s(peer: str) -> float:
        uptime_s = asyncio.get_running_loop().time() - started_s
        return min(membership.silent_s(peer), uptime_s)

    def is_dead(owner: str, seat: claims_module.OwnerSeat) -> bool:
        if owner == host:
            return False
        present = seats.seat_of(reader.configuration, owner)
        if seat is not None and _was_replaced(seat, present):
            return True
        return silent_s(owner) > dispatcher_module.GRANT_EXPIRY_S

    while True:
        _drop_waiting_of_lost(host, dispatcher, streams)
        holders = {s.entry_host for s in dispatcher.slots.held.values()}
        for peer in holders - {host}:
            if silent_s(peer) > dispatcher_module.GRANT_EXPIRY_S:
                await _free_lapsed(peer, dispatcher, is_task_finished)
        claims.mark_lost_claims(is_dead)
        await asyncio.sleep(CHECK_S)


async def _free_lapsed(
    peer: str, dispatcher: dispatcher_module.Dispatcher, is_over: IsTaskFinished
) -> None:
    """Frees the grants of a silent entry host whose tasks are over."""
    lapsed = dispatcher.expired_grants(peer)
    answers = await asyncio.gather(*(is_over(slot) for slot in lapsed))
    for slot, over in zip(lapsed, answers, strict=True):
        if over:
            dispatcher.free_expired(slot.grant_id)


def _drop_waiting_of_lost(
    host: str,
    dispatcher: dispatcher_module.Dispatcher,
    streams: streams_module.PeerStreams,
) -> None:
    """Drops what waits for hosts without a stream; they report it again."""
    for entry in dispatcher.waiting.entries:
        peer = entry.entry_host
        if peer != host and not streams.is_connected(peer):
            dispatcher.waiting.remove(entry.register.request_id)


def _was_replaced(
    claimed: tuple[str, int], present: claims_module.OwnerSeat
) -> bool:
    """Returns whether an owner's seat went to another process.

    An owner that moved from a standby seat to the duty seat is the same one.
    """
    if present is None:
        return True
    return present[0] == claimed[0] and present[1] != claimed[1]


def handover_messages(
    zone: str,
    dispatcher: dispatcher_module.Dispatcher,
    claims: claims_module.ClaimTable,
    known_for_s: float,
) -> abc.Iterator[messages.Handover]:
    """Yields the state of a leaving holder; the last message says so."""
    held = grant_handover.grants_by_entry_host(dispatcher.slots)
    parts = list(claims.handover_batches())
    for index, part in enumerate(parts):
        is_last = index == len(parts) - 1
        yield messages.Handover(
            zone,
            held if is_last else {},
            part,
            int(known_for_s * 1000) if is_last else -1,
        )
