"""Task that holds a seat for this host and replaces silent leaders."""

import asyncio
from collections import abc

import eliot

from chervillead import settings as settings_module
from chervillead.entries import leadership as leadership_module
from chervillead.entries import membership as membership_module
from chervillead.entries import seats
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records

CHECK_INTERVAL_S = 0.1

Publish = abc.Callable[
    [records.Record], abc.Awaitable[publisher.PublishedRecord]
]


async def manage_seat(
    settings: settings_module.Settings,
    reader: log_reader.LogReader,
    leadership: leadership_module.Leadership,
    membership: membership_module.Membership,
    releases_seat: abc.Callable[[], bool],
    publish: Publish,
) -> None:
    """Proposes seat records as they become necessary, until cancelled.

    Args:
        settings: Settings of this host.
        reader: Reader of the log, with the newest configuration.
        leadership: Seat of this process.
        membership: Liveness of the entry hosts.
        releases_seat: Returns whether this host should release its seat.
        publish: Appends a record and waits for its outcome.
    """
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        # A proposal based on an outdated state would be refused as stale.
        if reader.unconfirmed_s > leadership_module.CONFIRMATION_VALID_S:
            continue
        proposal = _next_proposal(
            settings,
            reader,
            leadership,
            membership,
            releases_seat=releases_seat(),
        )
        if proposal is None:
            continue
        record = publisher.propose(
            reader, records.SEAT, proposal.subject, proposal.fields
        )
        leadership.record_proposal(record)
        published = await publish(record)
        eliot.log_message(
            "entries:seat-proposed",
            seat=proposal.subject,
            publication=published.publication.value,
            detail=published.detail,
        )


def _next_proposal(
    settings: settings_module.Settings,
    reader: log_reader.LogReader,
    leadership: leadership_module.Leadership,
    membership: membership_module.Membership,
    *,
    releases_seat: bool,
) -> seats.SeatProposal | None:
    """Returns the proposal that is due, or None."""
    own = leadership.own_seats
    if leadership.is_superseded:
        return None
    if releases_seat:
        # Once the seat is free, other hosts needn't wait for this one.
        return seats.SeatProposal(own[-1].subject, {}) if own else None
    if not own:
        return seats.propose_seat(
            reader.configuration,
            host=settings.host,
            zone=settings.zone,
            address=settings.entries,
        )
    if len(own) > 1:
        return seats.SeatProposal(own[-1].subject, {})
    if own[0].number < seats.LEADER_SEATS:
        return None
    standby = seats.Standby(
        settings.host,
        settings.zone,
        settings.entries,
        own[0].incarnation,
        leadership.held_for_s,
    )
    if leadership.expects_complete_handover():
        return seats.propose_leader_seat(standby)
    return seats.propose_takeover(
        reader.configuration,
        standby,
        silent_s=membership.silent_s,
        reported_offset=membership.offset_of,
    )
