"""Slopes of the dispatcher, the transfers and urgent requests."""

import asyncio
from collections import abc
import time

from returns import pipeline

from benchmarks import fold as fold_benchmark
from benchmarks.slopes import line
from chervillead import types
from chervillead.entries import dispatch_client
from chervillead.entries import dispatcher
from chervillead.entries import escrow
from chervillead.entries import host_tasks
from chervillead.entries import messages
from chervillead.entries import transfers
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from stand_ins import dispatch_zones
from stand_ins import virtual_time

FLEETS = (1_000, 4_000, 16_000)
REQUESTS = 2_000
URGENT_TARGET_S = 1.5
SEED = 20261204
CLOCK = types.Clock(time.monotonic, time.time)


def fleet_configuration(
    hosts: int, teams: int = line.TEAMS
) -> configuration_module.Configuration:
    """Returns a fleet with a queue for each pool, and teams."""
    zones = tuple(f"zone-{number}" for number in range(line.ZONES))
    return fold_benchmark.fleet_state(hosts)._replace(
        queues={
            f"queue-{n}": configuration_module.Queue(f"pool-{n}")
            for n in range(line.POOLS)
        },
        teams={
            f"team-{n}": configuration_module.Team(1.0, 100_000, zones)
            for n in range(teams)
        },
    )


def fleet_dispatcher(
    hosts: int, teams: int = line.TEAMS
) -> dispatcher.Dispatcher:
    """Returns the dispatcher of one of nine zones."""
    configuration = fleet_configuration(hosts, teams)
    part = dispatcher.Dispatcher(
        host="entry-zone-0",
        zone="zone-0",
        configuration=lambda: configuration,
        clock=CLOCK,
        notify=lambda host, message: None,
    )
    part.free_slots()
    return part


def numbered_register(number: int) -> messages.Register:
    """Returns a registration for one of the pools of zone-0."""
    # The hosts of zone-0 are in the pools whose number is a multiple of nine.
    return dispatch_zones.register(
        f"01939c3e-7a3b-7cc2-9b1d-{number:012x}/1",
        team=f"team-{number % line.TEAMS}",
        queue=f"queue-{number % 4 * line.ZONES}",
    )


def measure_dispatcher() -> abc.Iterator[line.Slope]:
    """Yields the cost of a request, and of the look every 100 ms."""

    def request_us(hosts: int) -> float:
        part = fleet_dispatcher(hosts)

        def grant_all() -> None:
            for number in range(REQUESTS):
                granted = part.register("entry-x", numbered_register(number))
                if not isinstance(granted, messages.Granted):
                    raise ValueError(f"not granted: {granted}")
                part.release(
                    messages.Release(granted.grant_id, True, False, 20_000)
                )

        return line.processor_s(grant_all, 1) / REQUESTS * 1e6

    def look_percent(hosts: int) -> float:
        part = fleet_dispatcher(hosts)
        return (
            line.processor_s(part.grant_waiting, 20)
            * 100
            / (host_tasks.POLL_INTERVAL_S)
        )

    yield line.Slope(
        "dispatcher: register, grant and release",
        "hosts",
        "us",
        line.measure_points(FLEETS, request_us),
        line.HOSTS,
    )
    yield line.Slope(
        "dispatcher: look for usable slots, nothing waits",
        "hosts",
        "% core",
        line.measure_points(FLEETS, look_percent),
        line.HOSTS,
        line.MAX_CORE_PERCENT,
    )


def measure_transfers() -> abc.Iterator[line.Slope]:
    """Yields the cost of the decision on a transfer once a second."""

    def decision_ms(teams: int) -> float:
        part = fleet_dispatcher(line.HOSTS, teams)
        configuration = fleet_configuration(1_000, teams)
        names = [f"team-{number}" for number in range(teams)]
        shortages = {
            f"zone-{zone}": dict.fromkeys(names, 100)
            for zone in range(1, line.ZONES)
        }

        def propose(planned: escrow.PlannedTransfer) -> records.Record:
            fields = {"to_zone": planned.to_zone, "units": planned.units}
            return records.Record("t", records.TRANSFER, "zone-0", 0, fields)

        async def publish(record: records.Record) -> None:
            raise AssertionError("the decision publishes nothing")

        ports = transfers.EscrowPorts(
            part.team_demands,
            lambda: shortages,
            lambda: True,
            lambda: configuration,
            propose,
            publish,  # type: ignore[arg-type]  # isn't called here
        )

        def decide() -> None:
            # A settled transfer lets the next one be planned.
            found = transfers.next_transfer(
                escrow.Escrow(lambda record: True), "zone-0", ports
            )
            if found is None or len(found.fields["units"]) != teams:
                raise ValueError("no transfer of all teams was planned")

        return line.processor_s(decide, 20) * 1000

    points = line.measure_points((18, 37, line.TEAMS), decision_ms)
    yield line.Slope(
        "transfers: decision with 9 zones", "teams", "ms", points, line.TEAMS
    )
    yield line.Slope(
        "transfers: decision each second",
        "teams",
        "% core",
        tuple((teams, ms / 10) for teams, ms in points),
        line.TEAMS,
        line.MAX_CORE_PERCENT,
    )


def measure_urgent() -> abc.Iterator[line.Slope]:
    """Yields the time to a grant when the own zone's dispatcher is silent."""

    async def longest_s(zones_count: int) -> float:
        configuration = dispatch_zones.make_configuration(
            zones=zones_count, hosts=20, slots=8
        )
        zones = dispatch_zones.MemoryZones(configuration, delay_s=0.02)
        ticker = asyncio.ensure_future(zones.tick())
        await asyncio.sleep(1)
        client = zones.client("entry-x", "z0")
        views = client.dispatchers(dispatch_zones.request(zones, 0))
        # The client still takes the silent dispatcher for live.
        zones.lost.add("entry-z0")
        client = client._replace(dispatchers=lambda request: views)
        longest = 0.0
        for number in range(50):
            started_s = zones.clock.monotonic()
            request = dispatch_zones.request(zones, number)
            granted = await dispatch_client.acquire(request, client)
            if not pipeline.is_successful(granted):
                raise ValueError(f"not granted: {granted.failure()}")
            longest = max(longest, zones.clock.monotonic() - started_s)
        ticker.cancel()
        return longest

    yield line.Slope(
        "urgent: grant when the own dispatcher is silent, virtual time",
        "zones",
        "s",
        line.measure_points(
            (3, 6, 9),
            lambda count: float(
                virtual_time.run_virtual(longest_s(count), SEED)
            ),
        ),
        line.ZONES,
        URGENT_TARGET_S,
    )
