"""Numbered seats of a zone: the leader seat and standby seats.

A host takes a seat with a record in the log; the record's offset is the seat's
incarnation. The log alone decides who leads a zone: if hosts chose the leader
by their own views of who is live, two leaders could grant the same units.
"""

from collections import abc
import typing

from chervillead import types
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold_seats
from chervillead.fleet import records

# Seats numbered below `LEADER_SEATS` are leader seats; the others are standby
# seats.
LEADER_SEAT_NUMBER = 0
LEADER_SEATS = fold_seats.LEADER_SEATS
TAKEOVER_SILENCE_S = 2.0
UNHEARD_HOLDER_WAIT_S = 30.0


class SeatProposal(typing.NamedTuple):
    """Subject and fields of a seat record; no fields release the seat."""

    subject: str
    fields: dict[str, typing.Any]


class Standby(typing.NamedTuple):
    """A host with a standby seat, and how long it has held the seat."""

    host: str
    zone: str
    address: types.Address
    incarnation: int
    held_for_s: float


def seat_subject(zone: str, number: int) -> str:
    """Returns the subject of a seat's records in the log."""
    return f"{zone}/{number}"


def held_seat(
    configuration: configuration_module.Configuration, host: str
) -> str | None:
    """Returns the subject of the seat that `host` holds, if any."""
    for subject, seat in configuration.seats.items():
        if seat.host == host:
            return subject
    return None


def seat_of(
    configuration: configuration_module.Configuration, host: str
) -> tuple[str, int] | None:
    """Returns the subject and incarnation of the seat of `host`, if any."""
    subject = held_seat(configuration, host)
    if subject is None:
        return None
    return subject, incarnation(configuration, subject)


def incarnation(
    configuration: configuration_module.Configuration, subject: str
) -> int:
    """Returns the incarnation of a seat: the offset of its last record."""
    return configuration.versions.get(
        (records.SEAT, subject), records.NO_VERSION
    )


def propose_seat(
    configuration: configuration_module.Configuration,
    *,
    host: str,
    zone: str,
    address: types.Address,
) -> SeatProposal:
    """Returns the proposal of a process that holds no seat.

    A restarted host proposes the seat that its name holds, which gives the seat
    a new incarnation; any other host proposes the lowest free seat.
    """
    held = held_seat(configuration, host)
    number = 0
    if held is not None and configuration.seats[held].zone == zone:
        number = configuration.seats[held].number
    else:
        while seat_subject(zone, number) in configuration.seats:
            number += 1
    return _proposal(host, zone, number, address)


def propose_takeover(
    configuration: configuration_module.Configuration,
    standby: Standby,
    *,
    silent_s: abc.Callable[[str], float],
    reported_offset: abc.Callable[[str], int],
) -> SeatProposal | None:
    """Returns the proposal to take over a leader seat, if one is due.

    The leader must be silent. It must also have known of the standby, or have
    had time to read its record from the log: until then the leader counts as
    confirmed without a heartbeat from the standby.

    Args:
        configuration: The newest state.
        standby: The host that would take over, and its standby seat.
        silent_s: Returns the seconds since a host's last heartbeat.
        reported_offset: Returns the offset that a host last reported.
    """
    for number in range(LEADER_SEATS):
        subject = seat_subject(standby.zone, number)
        seat = configuration.seats.get(subject)
        if seat is None:
            return propose_leader_seat(standby, number)
        if (
            seat.host == standby.host
            or silent_s(seat.host) < TAKEOVER_SILENCE_S
        ):
            continue
        if (
            reported_offset(seat.host) >= standby.incarnation
            or standby.held_for_s >= UNHEARD_HOLDER_WAIT_S
        ):
            return propose_leader_seat(standby, number)
    return None


def propose_leader_seat(standby: Standby, number: int = 0) -> SeatProposal:
    """Returns the proposal of a leader seat for a standby."""
    return _proposal(standby.host, standby.zone, number, standby.address)


def handover_target(
    configuration: configuration_module.Configuration,
    host: str,
    zone: str,
    live: abc.Container[str],
) -> str | None:
    """Returns the live host with the lowest standby seat of a zone."""
    standbys = sorted(
        (seat.number, seat.host)
        for seat in configuration.seats.values()
        if seat.zone == zone and seat.host != host and seat.host in live
    )
    return standbys[0][1] if standbys else None


def _proposal(
    host: str, zone: str, number: int, address: types.Address
) -> SeatProposal:
    fields = {
        "zone": zone,
        "number": number,
        "host": host,
        "address": list(address),
    }
    return SeatProposal(seat_subject(zone, number), fields)


def zone_leader(
    configuration: configuration_module.Configuration, zone: str
) -> str | None:
    """Returns the leader of `zone`, which dispatches and holds claims."""
    seat = configuration.seats.get(seat_subject(zone, 0))
    return None if seat is None else seat.host


def zone_led_by(
    configuration: configuration_module.Configuration, host: str
) -> str:
    """Returns the zone that `host` leads; empty if there is none."""
    for seat in configuration.seats.values():
        if seat.host == host and seat.number < LEADER_SEATS:
            return seat.zone
    return ""


def claim_zones(
    configuration: configuration_module.Configuration,
) -> list[str]:
    """Returns the zones whose leaders hold claims, ordered by index.

    All declared zones count, whatever their status, so that hosts on both sides
    of a network partition choose the same claim holder.
    """
    return sorted(
        configuration.zones, key=lambda name: configuration.zones[name].index
    )
