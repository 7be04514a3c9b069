"""Task that transfers spare units of team limits to other zones."""

import asyncio
from collections import abc
import typing

import eliot

from chervillead import types
from chervillead.entries import escrow as escrow_module
from chervillead.entries import messages
from chervillead.entries import seats
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records

TRANSFER_INTERVAL_S = 1.0


class EscrowPorts(typing.NamedTuple):
    """Functions that `transfer_units` needs from the process.

    Attributes:
        demands: Returns this zone's units and the demand for them, by team.
        shortages: Returns the number of requests without a unit in other zones,
            by zone and team.
        may_grant: Returns whether this host is the zone's confirmed dispatcher.
        configuration: Returns the newest configuration.
        propose: Returns the record of a transfer from this zone.
        publish: Appends a record and waits for its outcome.
    """

    demands: abc.Callable[[], abc.Mapping[str, escrow_module.TeamDemand]]
    shortages: abc.Callable[[], abc.Mapping[str, abc.Mapping[str, int]]]
    may_grant: abc.Callable[[], bool]
    configuration: abc.Callable[[], configuration_module.Configuration]
    propose: abc.Callable[[escrow_module.PlannedTransfer], records.Record]
    publish: abc.Callable[
        [records.Record], abc.Awaitable[publisher.PublishedRecord]
    ]


async def transfer_units(
    escrow: escrow_module.Escrow, zone: str, ports: EscrowPorts
) -> None:
    """Transfers spare units to zones with shortages, until cancelled."""
    while True:
        await asyncio.sleep(TRANSFER_INTERVAL_S)
        record = next_transfer(escrow, zone, ports)
        if record is None:
            continue
        published = await ports.publish(record)
        eliot.log_message(
            "entries:units-transferred",
            zone=zone,
            to_zone=record.fields["to_zone"],
            units=record.fields["units"],
            publication=published.publication.value,
            detail=published.detail,
        )


def next_transfer(
    escrow: escrow_module.Escrow, zone: str, ports: EscrowPorts
) -> records.Record | None:
    """Returns the transfer to append now, with its units deducted, or None.

    A pending transfer is appended again. The fold ignores duplicates, and
    nothing else can tell whether the first append took effect.
    """
    if not ports.may_grant():
        return None
    if escrow.pending is not None:
        return escrow.pending
    configuration = ports.configuration()
    is_in_service = configuration_module.is_zone_in_service(configuration, zone)
    planned = escrow_module.plan_transfer(
        escrow.spare(ports.demands(), is_zone_in_service=is_in_service),
        ports.shortages(),
        [
            name
            for name in configuration.zones
            if name != zone
            and configuration_module.is_zone_in_service(configuration, name)
        ],
        is_source_in_service=is_in_service,
    )
    if planned is None:
        return None
    record = ports.propose(planned)
    escrow.begin(record)
    return record


def shortages_elsewhere(
    configuration: configuration_module.Configuration,
    own_zone: str,
    heartbeat_of: abc.Callable[[str], messages.Heartbeat | None],
    is_reachable: abc.Callable[[str], bool],
) -> dict[str, dict[str, int]]:
    """Returns the reported numbers of requests without a unit.

    Args:
        configuration: Newest configuration.
        own_zone: Zone of this host, which is left out.
        heartbeat_of: Returns the last heartbeat of an entry host, if any.
        is_reachable: Returns whether this host can reach an entry host.

    Returns:
        Waiting requests that lack a unit, by zone and team.
    """
    shortages = {}
    for zone in configuration.zones:
        holder = seats.zone_leader(configuration, zone)
        if zone == own_zone or holder is None or not is_reachable(holder):
            continue
        heartbeat = heartbeat_of(holder)
        if heartbeat is not None:
            shortages[zone] = heartbeat.unit_shortages
    return shortages


def transfer_record(
    reader: log_reader.LogReader,
    zone: str,
    planned: escrow_module.PlannedTransfer,
) -> records.Record:
    """Returns the record of a planned transfer from `zone`."""
    leader_seat = seats.seat_subject(zone, seats.LEADER_SEAT_NUMBER)
    fields = {
        "incarnation": seats.incarnation(reader.configuration, leader_seat),
        "to_zone": planned.to_zone,
        "units": planned.units,
    }
    return publisher.propose(reader, records.TRANSFER, zone, fields)


def is_resolved(
    configuration: configuration_module.Configuration, record: records.Record
) -> bool:
    """Returns whether the outcome of a transfer is final in `configuration`.

    Either the record was folded, or the leader seat has a newer incarnation, so
    that the fold refuses the record whenever it arrives.
    """
    if record.record_id in configuration.recent_ids:
        return True
    leader_seat = seats.seat_subject(record.subject, seats.LEADER_SEAT_NUMBER)
    current = seats.incarnation(configuration, leader_seat)
    superseded: bool = current != record.fields["incarnation"]
    return superseded


def connect_ports(
    reader: log_reader.LogReader,
    zone: str,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    demands: abc.Callable[[], abc.Mapping[str, escrow_module.TeamDemand]],
    shortages: abc.Callable[[], abc.Mapping[str, abc.Mapping[str, int]]],
    may_grant: abc.Callable[[], bool],
) -> EscrowPorts:
    """Returns the ports of a process that follows the log."""
    return EscrowPorts(
        demands,
        shortages,
        may_grant,
        lambda: reader.configuration,
        lambda planned: transfer_record(reader, zone, planned),
        lambda record: publisher.publish(record, reader, platform, clock),
    )
