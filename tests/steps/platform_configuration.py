"""Steps of tests/platform/configuration.feature."""

import asyncio

import behave

from chervillead.entries import job_messages
from chervillead.entries import packed_records
from chervillead.jobs import job_api
from chervillead.platform import fleet_view
from chervillead.store import interface
from stand_ins import platform_fleet
from stand_ins import platform_scenarios

ADDED_QUEUE = {"Name": "queue-2", "PathPrefix": "/added/"}
PUBLISHED_QUEUES = {
    "no other queue": [],
    "a queue": [ADDED_QUEUE],
    "a public queue": [ADDED_QUEUE | {"Public": True}],
}
# How often the configuration of each host is looked at.
SAMPLE_S = 0.05


class HostHistory:
    """What a host had at the moments at which it was looked at.

    Attributes:
        applied_s: When the host first had each version.
        max_age_s: Longest time since the store had confirmed its records.
    """

    def __init__(self):
        self.applied_s = {}
        self.max_age_s = 0.0

    def look_at(self, host):
        """Notes the version and the age of a host's configuration."""
        version = host.fleet_view.configuration.version
        now_s = asyncio.get_running_loop().time()
        self.applied_s.setdefault(version, now_s)
        self.max_age_s = max(self.max_age_s, host.fleet_view.age_s())


async def watch_hosts(fleet, histories):
    """Notes what all hosts have until cancelled."""
    while True:
        for name, host in fleet.hosts.items():
            histories.setdefault(name, HostHistory()).look_at(host)
        await asyncio.sleep(SAMPLE_S)


def publish(context, queues):
    """Adds the publication of a new version with other queues to a scenario."""

    async def put(fleet):
        if not hasattr(context, "published"):
            # (version, time, bytes) of each publication.
            context.published = []
            context.histories = {}
            context.received_before = fleet_bytes(fleet)
            context.watching = asyncio.create_task(
                watch_hosts(fleet, context.histories)
            )
        version = 2 + len(context.published)
        record = platform_fleet.configuration(version, more_routes=queues)
        now_s = asyncio.get_running_loop().time()
        context.published.append((version, now_s, len(record)))
        fleet.store.put("keyed.op", "config", record)

    platform_scenarios.add_action(context, put)


def fleet_bytes(fleet):
    """Returns the bytes that each host behind a slow link has received."""
    return {
        name: fleet.network.received_bytes(name)
        for name in fleet.host_names
        if fleet.network.is_limited(name)
    }


@behave.given("{count:d} hosts are behind links of {rate:d} KB a second")
def step(context, count, rate):
    context.slow_hosts, context.link_rate = count, 1000 * rate
    # The others own the partitions, as on sites with hosts of two sizes.
    context.host_cores = {
        f"host-{number}": 0.5 if number < count else 2.0
        for number in range(context.hosts)
    }


@behave.when("{count:d} more queues are configured")
def step(context, count):
    publish(
        context,
        [
            {"Name": f"queue-{n}", "PathPrefix": f"/{n * 2654435761 % 2**32}/"}
            for n in range(2, 2 + count)
        ],
    )


@behave.when("the next configuration has {queues}")
def step(context, queues):
    publish(context, PUBLISHED_QUEUES[queues])


@behave.when("operators publish a configuration that can't be decoded")
def step(context):
    async def put(fleet):
        record = platform_fleet.configuration(2, Routes={})
        fleet.store.put("keyed.op", "config", record)

    platform_scenarios.add_action(context, put)


@behave.when("a caller asks for the pending jobs of {path}")
def step(context, path):
    async def count(fleet):
        ports = next(iter(fleet.hosts.values())).job_ports()
        return job_api.admit(
            ports, platform_fleet.QUEUE_HOST, path, platform_fleet.KEY
        )

    platform_scenarios.add_action(context, count)


@behave.then("each host had both versions within {seconds:d} s")
def step(context, seconds):
    platform_scenarios.run_once(context)
    for version, published_s, _ in context.published:
        delays_s = {
            name: history.applied_s.get(version, float("inf")) - published_s
            for name, history in context.histories.items()
        }
        assert max(delays_s.values()) <= seconds, (version, delays_s)


@behave.then("no host was out of date for {seconds:g} s")
def step(context, seconds):
    platform_scenarios.run_once(context)
    ages_s = {
        name: history.max_age_s for name, history in context.histories.items()
    }
    assert max(ages_s.values()) < seconds, ages_s


@behave.then("no host received more than twice the size of both versions")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    size = sum(size for _, _, size in context.published)
    received = {
        name: after - context.received_before[name]
        for name, after in fleet_bytes(fleet).items()
    }
    assert max(received.values()) <= 2 * size, (size, received)


@behave.then("the maximum age of the configuration is at most {seconds:g} s")
def step(context, seconds):
    max_age_s = context.settings.unwrap().config_max_age_s
    assert 0.5 * seconds < max_age_s <= seconds, max_age_s


def configuration_record(version):
    """Returns the record of a version, whose offset is its number."""
    return interface.KeyedRecord(
        "config", platform_fleet.configuration(version), version
    )


@behave.given(
    "a host that has version {version:d} of the configuration from the store"
)
def step(context, version):
    context.now_s = 0.0
    context.view = fleet_view.FleetView(
        lambda: context.now_s, lambda: context.now_s, lambda *_, **__: None
    )
    context.view.apply_operator(
        context.view.operator_state.merge_log(
            [configuration_record(version)], version + 1
        )
    )
    context.view.confirm(0.0)


@behave.when(
    "a peer's reply with version {version:d}, confirmed later, arrives"
)
def step(context, version):
    context.now_s = 1.0
    reply = job_messages.OperatorRecords(version + 1, 0, ("config",), None, 0)
    context.view.apply_peer_records(
        reply, [configuration_record(version)], context.now_s
    )


@behave.then(
    "the host decides by version {version:d} and hands out version {handed:d}"
)
def step(context, version, handed):
    assert context.view.configuration.version == version
    request = job_messages.AskOperatorRecords(0, 10_000)
    reply = context.view.records_for_peer(request)
    (record,) = packed_records.unpack(reply.packed)
    assert record.value == platform_fleet.configuration(handed)


@behave.when("the store leaves reads of the log without a reply")
def step(context):
    async def hold_reads(fleet):
        fleet.store.paths_without_reply.add("/log-read")

    platform_scenarios.add_action(context, hold_reads)


@behave.when("the store replies again")
def step(context):
    async def reply(fleet):
        fleet.store.paths_without_reply.clear()

    platform_scenarios.add_action(context, reply)


@behave.then("{count:d} run of the job was started")
@behave.then("{count:d} runs of the job were started")
def step(context, count):
    runs = platform_scenarios.run_once(context).runs
    assert len(runs) == count, runs


@behave.then("no host fetched records from a peer")
def step(context):
    fetches = [
        line
        for line in platform_scenarios.run_once(context).fleet.logs
        if line["message_type"].startswith("operator-records:")
    ]
    assert not fetches, fetches[:3]
