"""Steps of tests/entries/config_sync.feature."""

import asyncio
import collections

import behave
from returns import pipeline
from returns import result

from chervillead import settings as settings_module
from chervillead import types
from chervillead.callers import credentials
from chervillead.entries import config_sync
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from stand_ins import local_fleet
from stand_ins import memory_fleet
from stand_ins import virtual_time


class State:
    """A state that is only a list of records, with its ports."""

    def __init__(self, data=(), keeps=True):
        self.data = list(data)
        self.keeps = keeps
        self.snapshots = 0
        self.answers = 0
        self.ports = config_sync.ConfigSyncPorts(
            lambda: len(self.data) - 1,
            lambda offset: self.data[offset:] if self.keeps else None,
            self.apply_entries,
            lambda: b"state",
            self.install_snapshot,
        )

    def apply_entries(self, entries):
        """Appends the records that directly follow the state."""
        self.answers += 1
        for entry in entries:
            if entry.offset == len(self.data):
                self.data.append(b"")

    def install_snapshot(self, offset, state):
        """Replaces the state by that of an offset."""
        assert state == b"state"
        self.snapshots += 1
        self.data = [b""] * (offset + 1)
        return True


def contacts(zones):
    return {
        host: config_sync.select_sync_peers(host, zone, zones)
        for zone, names in zones.items()
        for host in names
    }


@behave.given("{count:d} zones of {size:d} entry hosts")
def step(context, count, size):
    context.zones = {
        f"z{zone}": [f"host-{zone}-{n}" for n in range(size)]
        for zone in range(count)
    }
    context.contacts = contacts(context.zones)


@behave.then("each host selects 3 peers in its zone and 2 in each other zone")
def step(context):
    for host, chosen in context.contacts.items():
        counts = collections.Counter(name.split("-")[1] for name in chosen)
        own = host.split("-")[1]
        assert counts.pop(own) == 3, (host, chosen)
        assert set(counts.values()) == {2} and len(counts) == 8, counts


@behave.then("an added host changes at most 1 selected peer of any host")
def step(context):
    zones = {**context.zones, "z0": [*context.zones["z0"], "host-0-new"]}
    changed = contacts(zones)
    for host, before in context.contacts.items():
        assert len(before - changed[host]) <= 1, host


@behave.then("no host is selected by more than 60 others")
def step(context):
    counts = collections.Counter(
        name for chosen in context.contacts.values() for name in chosen
    )
    assert max(counts.values()) <= 60, counts.most_common(3)


def dialled(zones, host):
    address = types.Address("127.0.0.1", 1)
    configuration = configuration_module.EMPTY._replace(
        seats={
            f"{zone}/{n}": configuration_module.Seat(zone, n, name, address)
            for zone, names in zones.items()
            for n, name in enumerate(names)
        }
    )
    own = settings_module.Settings(
        host,
        f"z{host.split('-')[1]}",
        address,
        address,
        settings_module.PlatformSettings(address),
    )
    return {name for name, _ in config_sync.peers_to_dial(own, configuration)}


@behave.then("each host dials at most {count:d} peers")
def step(context, count):
    for host in context.contacts:
        assert len(dialled(context.zones, host)) <= count, host


@behave.then("it dials all hosts of its zone and the leader of each zone")
def step(context):
    for names in context.zones.values():
        chosen = dialled(context.zones, names[-1])
        assert chosen >= set(names[:-1]), chosen
        assert chosen >= {names[0] for names in context.zones.values()}


@behave.given("a peer that retains {count:d} records of 100 kB")
def step(context, count):
    context.peer = State([b"x" * 100_000] * count)


@behave.given("a peer that retains no records")
def step(context):
    context.peer = State([b"x"] * 7, keeps=False)


@behave.when("a host without any state synchronises from the peer")
def step(context):
    context.own = State()

    async def ask(peer, message, timeout_s):
        await asyncio.sleep(0.01)
        return result.Success(
            config_sync.reply_to_request(context.peer.ports, message)
        )

    async def main():
        offsets = {"peer": context.peer.ports.offset()}
        task = asyncio.ensure_future(
            config_sync.sync_from_peers(context.own.ports, lambda: offsets, ask)
        )
        await asyncio.sleep(5.0)
        task.cancel()

    virtual_time.run_virtual(main(), context.seed)


@behave.then("it has all records after several replies")
def step(context):
    assert len(context.own.data) == len(context.peer.data)
    assert context.own.answers > 2, context.own.answers


@behave.then("it has installed the peer's snapshot")
def step(context):
    assert len(context.own.data) == len(context.peer.data)
    assert context.own.snapshots == 1, context.own.snapshots


def run_fleet(context, script):
    async def main():
        fleet = memory_fleet.MemoryFleet(context.plan, seed=context.seed)
        await fleet.start()
        await script(fleet)
        await fleet.stop()

    virtual_time.run_virtual(main(), context.seed)


@behave.when("a host is restarted during an outage of the platform")
def step(context):
    async def script(fleet):
        fleet.platform.is_down = True
        name = context.plan.entry_name(5)
        await fleet.kill_host(name)
        parts = fleet.start_host(5)
        await asyncio.sleep(4.0)
        context.offsets = {
            parts.reader.configuration.offset,
            fleet.platform.next_offset - 1,
        }
        context.outcome = await fleet.submit(
            name,
            local_fleet.QUEUES[0],
            "nursery-north",
            b"run=0",
            idempotent=True,
        )

    run_fleet(context, script)


@behave.then("it has the newest configuration and serves requests")
def step(context):
    assert len(context.offsets) == 1, context.offsets
    assert pipeline.is_successful(context.outcome), context.outcome


@behave.when("a key is withdrawn while one host is cut off from the platform")
def step(context):
    async def script(fleet):
        name = context.plan.entry_name(5)
        fleet.network.cut([name], [memory_fleet.PLATFORM])
        team, key = next(iter(local_fleet.TEAM_KEYS.items()))
        subject = credentials.hash_key(key)
        fleet.publish_change(records.KEY, subject, team=team, withdrawn=True)
        await asyncio.sleep(5.0)
        reader = fleet.hosts[name].reader
        context.authorized = credentials.authorize(
            reader.configuration,
            local_fleet.QUEUES[0],
            key,
            reader.unconfirmed_s,
        )

    run_fleet(context, script)


@behave.then("that host refuses the key within 5 s")
def step(context):
    assert not pipeline.is_successful(context.authorized), context.authorized
