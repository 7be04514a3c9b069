"""Numbered seats of a zone: who holds them and what they decide.

A seat is taken by a record in the log; the record's offset is the seat's
incarnation. Duties follow from the log alone: if hosts with different views of
who is live chose the dispatcher, two of them could grant the same units.
"""

from collections import abc
import typing

from chervillead import types
from chervillead.platform import configuration as configuration_module
from chervillead.platform import records

# The holder of this seat dispatches and holds claims; the others stand by.
DUTY_NUMBER = 0


class SeatProposal(typing.NamedTuple):
    """A seat to take, with the fields of its record."""

    subject: str
    fields: dict[str, typing.Any]


def seat_subject(zone: str, number: int) -> str:
    """Returns the name of a seat in the log."""
    return f"{zone}/{number}"


def held_seat(
    configuration: configuration_module.Configuration, host: str
) -> str | None:
    """Returns the name of the seat that `host` holds, if any."""
    for subject, seat in configuration.seats.items():
        if seat.host == host:
            return subject
    return None


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
    silent: abc.Container[str],
) -> SeatProposal:
    """Returns the seat that `host` should ask for.

    Args:
        configuration: The newest state.
        host: Name of the entry host.
        zone: Its zone.
        address: Where other entry hosts reach it.
        silent: Hosts known to be silent, whose seats may be taken.
    """
    number = 0
    while True:
        seat = configuration.seats.get(seat_subject(zone, number))
        if seat is None or seat.host == host or seat.host in silent:
            break
        number += 1
    fields = {
        "zone": zone,
        "number": number,
        "host": host,
        "address": list(address),
    }
    return SeatProposal(seat_subject(zone, number), fields)


def duty_holder(
    configuration: configuration_module.Configuration, zone: str
) -> str | None:
    """Returns the entry host that dispatches and holds claims for `zone`."""
    seat = configuration.seats.get(seat_subject(zone, DUTY_NUMBER))
    return None if seat is None else seat.host


def claim_zone(
    configuration: configuration_module.Configuration, claim_byte: int
) -> str | None:
    """Returns the zone that holds the claim on a request id.

    The zone follows from the declared zones alone, whatever their status, so
    that hosts on both sides of a partition choose the same one.
    """
    zones = sorted(
        configuration.zones, key=lambda name: configuration.zones[name].index
    )
    return zones[claim_byte % len(zones)] if zones else None
