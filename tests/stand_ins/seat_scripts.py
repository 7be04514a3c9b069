"""Faults of a zone's leader and standbys, as scripts for `seat_run`."""

import asyncio

from stand_ins import memory_fleet
from stand_ins import seat_run

PLAN = seat_run.PLAN


async def kill_leader(run: seat_run.SeatRun, zone: str) -> None:
    """Kills the leader of a zone."""
    await run.fleet.kill_host(run.leader(zone))
    await asyncio.sleep(8.0)


async def kill_standby(run: seat_run.SeatRun, zone: str) -> None:
    """Kills a standby of a zone, then takes the log down."""
    leader = run.leader(zone)
    hosts = run.fleet.hosts.items()
    standby = next(
        n for n, p in hosts if p.settings.zone == zone and n != leader
    )
    await run.fleet.kill_host(standby)
    await asyncio.sleep(5.0)
    run.fleet.platform.is_down = True
    await asyncio.sleep(5.0)


async def kill_zone(run: seat_run.SeatRun, zone: str, role: str) -> None:
    """Kills all hosts of a zone and starts one of them again."""
    leader = run.leader(zone)
    names = [PLAN.entry_name(i) for i in range(PLAN.entry_hosts)]
    for name in [n for n in names if n[-2] == zone]:
        await run.fleet.kill_host(name)
    await asyncio.sleep(1.0)
    starts_leader = role == "leader"
    run.fleet.start_host(
        next(
            i
            for i, n in enumerate(names)
            if n[-2] == zone and (n == leader) is starts_leader
        )
    )
    await asyncio.sleep(8.0 if starts_leader else 40.0)


async def kill_during_outage(run: seat_run.SeatRun, zone: str) -> None:
    """Kills the leader of a zone while the log is down."""
    run.fleet.platform.is_down = True
    await run.fleet.kill_host(run.leader(zone))
    await asyncio.sleep(10.0)
    run.fleet.platform.is_down = False
    await asyncio.sleep(10.0)


async def stop_log(run: seat_run.SeatRun) -> None:
    """Takes the log down for 20 s."""
    run.fleet.platform.is_down = True
    await asyncio.sleep(20.0)


async def isolate_leader(run: seat_run.SeatRun, zone: str) -> None:
    """Disconnects a leader from the log and from its zone."""
    leader = run.leader(zone)
    hosts = run.fleet.hosts.items()
    others = [n for n, p in hosts if p.settings.zone == zone and n != leader]
    run.fleet.network.cut([leader], [memory_fleet.PLATFORM, *others])
    await asyncio.sleep(12.0)
    run.fleet.network.heal()
    await asyncio.sleep(3.0)


async def inject_random_faults(run: seat_run.SeatRun) -> None:
    """Disconnects, kills and restarts hosts at random."""
    names = [PLAN.entry_name(i) for i in range(PLAN.entry_hosts)]
    for _ in range(8):
        index = run.random.randrange(PLAN.entry_hosts)
        if names[index] not in run.fleet.hosts:
            run.fleet.start_host(index)
        elif run.random.random() < 0.4:
            await run.fleet.kill_host(names[index])
        else:
            far = run.random.sample([*names, memory_fleet.PLATFORM], 5)
            run.fleet.network.cut([names[index]], far)
        run.fleet.platform.is_down = run.random.random() < 0.2
        await asyncio.sleep(run.random.uniform(0.1, 6.0))
        if run.random.random() < 0.5:
            run.fleet.network.heal()


async def start_double(run: seat_run.SeatRun) -> None:
    """Starts a second process with the leader's host name."""
    first = run.leader("a")
    index = [PLAN.entry_name(i) for i in range(9)].index(first)
    run.fleet.start_double(index)
    await asyncio.sleep(10.0)
    hosts = run.fleet.hosts
    run.seats = [
        hosts[name].entry.leader_role.leadership.own_seats
        for name in (first, f"{first}-double")
    ]
    run.active = run.fleet.active_hosts("a")


async def stop_leader(run: seat_run.SeatRun, zone: str) -> None:
    """Stops the leader of a zone gracefully."""
    leader = run.leader(zone)
    await run.fleet.hosts[leader].entry.leave()
    await asyncio.sleep(0.5)
    assert run.leader(zone) != leader
    await run.fleet.kill_host(leader)
    await asyncio.sleep(3.0)


async def stop_leader_and_standby(run: seat_run.SeatRun, zone: str) -> None:
    """Stops the leader and the next standby of a zone gracefully."""
    leader = run.leader(zone)
    seats = {
        name: parts.entry.leader_role.leadership.own_seats[0].number
        for name, parts in run.fleet.hosts.items()
        if parts.settings.zone == zone
    }
    standby = next(n for n, number in seats.items() if number == 1)
    # The standby announces that it is leaving, but can't release its seat.
    run.fleet.network.cut([standby], [memory_fleet.PLATFORM])
    first = asyncio.ensure_future(run.fleet.hosts[standby].entry.leave())
    await asyncio.sleep(0.4)
    await asyncio.gather(first, run.fleet.hosts[leader].entry.leave())
    await asyncio.sleep(1.0)
