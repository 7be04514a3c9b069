"""Steps of tests/platform/odd_records.feature."""

import asyncio
import itertools
import json

import behave
import hypothesis
from hypothesis import strategies
import msgspec
from returns import pipeline
from returns import result

from chervillead import types
from chervillead.entries import codec
from chervillead.entries import job_messages
from chervillead.entries import packed_records
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import records
from chervillead.platform import advice_client
from chervillead.platform import fleet_configuration
from chervillead.platform import host_client
from chervillead.platform import job_bodies
from chervillead.platform import registrations
from chervillead.platform import store_records
from chervillead.platform import store_responses
from chervillead.platform import worker_responses
from chervillead.pools import group_members
from chervillead.pools import pool_partitions
from chervillead.pools import takeover
from chervillead.store import interface
from stand_ins import http_server
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import platform_store
from stand_ins import reproducible_draws

EXAMPLES = 300
NESTING = 100_000
REGISTRATION = {
    "Service": "billing",
    "Address": "10.0.0.1:80",
    "Zone": "zone-a",
    "State": "ready",
    "Labels": ["a", "r1-0"],
    "Capacity": {"Cpu": 8000, "MemMb": 16000, "Gpu": 0},
    "born": 1,
}
QUEUE = model.Queue("queue-1", "queue.example", "/jobs/", "billing")
SPEC = model.JobSpec(
    "0" * 16, "queue-1", "billing", "", "x", (model.Step(3, model.Resources()),)
)
LOG = [interface.KeyedRecord("key", b"value", 3)]


def raises_only(decode, *errors):
    """Returns a decoder that gives None for the errors that it may raise."""

    def decode_or_reject(data):
        try:
            return decode(data)
        except errors:
            return None

    return decode_or_reject


def restore_job(data, *, progress):
    """Returns the jobs of a partition with one arbitrary record."""
    spec = records.encode_spec(SPEC) if progress else data
    stored = [interface.KeyedRecord(records.spec_key(SPEC.job_id), spec)]
    if progress:
        key = records.progress_key(SPEC.job_id)
        stored.append(interface.KeyedRecord(key, data))
    return takeover.restore_jobs(tuple(stored), 0.0, 0.0, lambda *_, **__: None)


def sample_progress():
    job = job_state.JobState(SPEC, accepted_s=0.0)
    job.done[0, 0] = {1}
    job.highest_run[model.TaskKey(0, 0, 2)] = 4
    return records.encode_progress(job)


def sample_frame():
    message = job_messages.SubmitJob(3, SPEC, 1000)
    return codec.encode_frame(codec.Frame(1, 0, message))[4:]


STATUS = {
    "ClockMs": 5,
    "born": 1,
    "Running": [[f"{SPEC.job_id}.0.0.1", 1, "", 40, 7]],
    "Ended": [[1, f"{SPEC.job_id}.0.0.2", 1, "done", ""]],
}
HOSTS = {
    "Machines": [
        {
            "Machine": "m-1",
            "Pool": "billing",
            "State": "up",
            "Zone": "zone-a",
            "Labels": ["a"],
            "Capacity": {"Cpu": 1},
            "Id": "i-1",
        }
    ],
    "NextPageToken": None,
}
NEWEST = {
    "items": [{"Key": "config", "Value": "dmFsdWU=", "Offset": 4}],
    "HasMore": False,
    "End": 6,
}
JOB = {"Spec": "x", "Phases": [{"Count": 4, "Cpu": 500, "After": []}]}
# By name: the decoder, and a valid input as JSON fields or as bytes.
DECODERS = {
    "worker registration": (
        lambda data: registrations.decode_registration("i-1", data),
        REGISTRATION,
    ),
    "configuration": (
        fleet_configuration.decode_configuration,
        json.loads(platform_fleet.configuration()),
    ),
    "maintenance wave": (
        lambda data: fleet_configuration.decode_wave(data, 0.0),
        {"Wave": 1, "Machines": ["m-1"], "DurationS": 20, "Cap": 1},
    ),
    "status of a worker": (worker_responses.decode_status, STATUS),
    "list of hosts": (host_client.decode_page, HOSTS),
    "advice": (
        advice_client.decode_advice,
        {"Good": [["i-1", "ticket"]], "ValidMs": 3000},
    ),
    "page of the log": (
        lambda data: store_responses.decode_read(data, 3),
        store_records.HEAD.pack(4, 0) + store_records.encode_records(LOG),
    ),
    "latest records": (store_responses.decode_latest, NEWEST),
    "group membership": (
        store_responses.decode_membership,
        {"Generation": 7, "parts": [["work", 3, 840]]},
    ),
    "list of owners": (
        store_responses.decode_owners,
        {"parts": [["work", 3, "member", 840]]},
    ),
    "frame between hosts": (
        raises_only(codec.decode_payload, codec.MalformedFrameError),
        sample_frame(),
    ),
    "packed records": (
        raises_only(
            packed_records.unpack, packed_records.MalformedRecordsError
        ),
        packed_records.pack(LOG),
    ),
    "body of a job": (
        lambda data: job_bodies.decode_job(
            data, job_id=SPEC.job_id, queue=QUEUE, account="", now_unix_ms=0
        ).map(records.encode_spec),
        JOB,
    ),
    "member of a group": (
        lambda data: group_members.parse_member(data.decode(errors="replace")),
        b"10.0.0.1:7000/abc/host-1/zone-a/2.15",
    ),
    "stored job": (
        lambda data: restore_job(data, progress=False),
        records.encode_spec(SPEC),
    ),
    "stored progress": (
        lambda data: restore_job(data, progress=True),
        sample_progress(),
    ),
}
ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**30), 10**30)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
    | strategies.sampled_from(["10.0.0.1:99999", "ready", "0.0.0.0", "done"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=5,
)


def paths_of(value, path=()):
    """Yields the paths of all values within JSON fields."""
    yield path
    inner = {}
    if isinstance(value, dict):
        inner = value
    elif isinstance(value, list):
        inner = dict(enumerate(value))
    for key, child in inner.items():
        yield from paths_of(child, (*path, key))


def replaced(value, path, odd):
    """Returns JSON fields with the value at a path replaced."""
    if not path:
        return odd
    copy = value.copy()
    copy[path[0]] = replaced(value[path[0]], path[1:], odd)
    return copy


def mutations_of(sample):
    """Returns a strategy for bytes that differ from a valid input."""
    if isinstance(sample, bytes):
        return strategies.builds(
            lambda start, odd, length: (
                sample[:start] + odd + sample[start + length :]
            ),
            strategies.integers(0, len(sample)),
            strategies.binary(max_size=4),
            strategies.integers(0, 4),
        )
    return strategies.builds(
        lambda path, odd: json.dumps(replaced(sample, path, odd)).encode(),
        strategies.sampled_from(list(paths_of(sample))),
        ODD_VALUES,
    )


def nested(sample):
    """Yields inputs with deeply nested values."""
    yield b"[" * NESTING + b"]" * NESTING
    yield b"\x91" * NESTING + b"\x90"
    if isinstance(sample, dict):
        fields = json.dumps(sample).encode()[1:]
        yield b'{"Other":' + b"[" * NESTING + b"]" * NESTING + b"," + fields


@behave.then("{name} returns a value of its type or a rejection for any bytes")
def step(context, name):
    decode, sample = DECODERS[name]
    valid = sample if isinstance(sample, bytes) else json.dumps(sample).encode()
    accepted = decode(valid)
    assert accepted, "a valid input is rejected"
    if isinstance(accepted, result.Result):
        assert pipeline.is_successful(accepted), accepted

    @hypothesis.seed(context.seed)
    @hypothesis.settings(
        max_examples=EXAMPLES,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    )
    @hypothesis.given(strategies.binary(max_size=64) | mutations_of(sample))
    def decodes(data):
        decode(data)

    with reproducible_draws.without_source_constants():
        decodes()
    for data in nested(sample):
        decode(data)


@behave.when(
    "the workers' topic contains a registration whose {field} is {value}"
)
def step(context, field, value):
    fields = {
        name: msgspec.Raw(
            value.encode() if name == field else msgspec.json.encode(known)
        )
        for name, known in REGISTRATION.items()
    }
    context.registration = registrations.decode_registration(
        "i-1", msgspec.json.encode(fields)
    )


@behave.when("the workers' topic contains a registration under {text}")
def step(context, text):
    context.registration = registrations.decode_registration(
        json.loads(text), msgspec.json.encode(REGISTRATION)
    )


@behave.then("the record yields a worker")
def step(context):
    assert pipeline.is_successful(context.registration), context.registration


OTHER_WRITER = types.Address("10.9.0.1", 80)
PARTITIONS = platform_store.PARTITIONS


def unconfigured_pool(partition):
    """Returns the name of a pool that no configuration names."""
    names = (f"printing-{number}" for number in itertools.count())
    return next(
        name
        for name in names
        if pool_partitions.partition_of(name, PARTITIONS) == partition
    )


SERVICES = {
    "the pool": platform_fleet.POOL,
    "no pool, in the partition": unconfigured_pool(
        pool_partitions.partition_of(platform_fleet.POOL, PARTITIONS)
    ),
    "no pool, in the hosts' one": unconfigured_pool(
        pool_partitions.HOSTS_PARTITION
    ),
}


@behave.when("another writer leaves an entry of {service} under {text}")
def step(context, service, text):
    context.entry_id, context.entry_pool = json.loads(text), SERVICES[service]
    context.polled_ids = []

    async def respond(request, writer):
        context.polled_ids.append(request.headers.get("expect-instance"))
        return http_server.Reply(404)

    async def leave(fleet):
        fleet.listen(
            "another writer",
            OTHER_WRITER,
            http_server.serve_connections(respond),
        )
        await asyncio.sleep(0)
        fields = REGISTRATION | {
            "Service": context.entry_pool,
            "Address": f"{OTHER_WRITER.host}:{OTHER_WRITER.port}",
        }
        fleet.store.put(
            "keyed.servers", context.entry_id, msgspec.json.encode(fields)
        )

    platform_scenarios.add_action(context, leave)


@behave.when("operators configure the pool of that entry")
def step(context):
    async def configure(fleet):
        pools = (platform_fleet.POOL, context.entry_pool)
        services = [{"Name": name, "EnforcesCapacity": True} for name in pools]
        fleet.store.put(
            "keyed.op",
            "config",
            platform_fleet.configuration(2, Services=services),
        )

    platform_scenarios.add_action(context, configure)


@behave.given('the worker\'s id is "{worker_id}"')
def step(context, worker_id):
    async def rename(fleet):
        fleet.store.put("keyed.servers", "i-0", b"")
        fleet.workers["i-0"].worker_id = worker_id
        await asyncio.sleep(4)

    platform_scenarios.add_action(context, rename)


@behave.then("no owner has failed")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    failed = [
        line for line in fleet.logs if line["message_type"] == "owner:failed"
    ]
    assert not failed, failed[0]


@behave.then("the entry is polled")
def step(context):
    platform_scenarios.run_once(context)
    assert set(context.polled_ids) == {context.entry_id}, context.polled_ids


@behave.then("the entry is not found")
def step(context):
    platform_scenarios.run_once(context)
    assert not context.polled_ids, context.polled_ids


@behave.then("the entry is ignored")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    assert not context.polled_ids, context.polled_ids
    named = [
        line["workers"]
        for line in fleet.logs
        if line["message_type"] == "worker:ignored"
    ]
    assert [context.entry_id] in named, named


ODD_ENTRIES = {
    "odd-nested": b'{"Labels":' + b"[" * NESTING + b"]" * NESTING + b"}",
    "odd-number": msgspec.json.encode(REGISTRATION).replace(
        b"8000", b"9" * 400
    ),
    "odd-port": msgspec.json.encode(REGISTRATION).replace(b":80", b":99999"),
    "odd-list": b"[]",
    "odd-bytes": bytes(range(255, 200, -1)),
    "odd-capacity": msgspec.json.encode(REGISTRATION | {"Capacity": [8000]}),
}


@behave.when("another writer leaves odd entries in the topics")
def step(context):
    async def leave(fleet):
        for key, value in ODD_ENTRIES.items():
            fleet.store.put("keyed.servers", key, value)
            fleet.store.put("keyed.op", f"wave/{key}", value)
            fleet.store.put("keyed.op", "config", value)

    platform_scenarios.add_action(context, leave)


@behave.then("every host still follows both topics")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    assert fleet.ended_tasks == [], fleet.ended_tasks
    versions = {
        line["version"]
        for line in fleet.logs
        if line["message_type"] == "configuration:applied"
    }
    assert 2 in versions, versions


@behave.then("the log names each odd entry")
def step(context):
    fleet = platform_scenarios.run_once(context).fleet
    named = {
        line["key"]
        for line in fleet.logs
        if line["message_type"] == "record:unreadable"
    }
    assert named >= ODD_ENTRIES.keys() | {f"wave/{k}" for k in ODD_ENTRIES}
