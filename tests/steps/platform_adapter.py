"""Steps of tests/platform/calls.feature that run without a fleet."""

import asyncio
import pathlib
import tempfile

import behave
import msgspec
from returns import pipeline
import yaml

from chervillead.jobs import model
from chervillead.platform import assembly
from chervillead.platform import daemon
from chervillead.platform import job_bodies
from chervillead.platform import registrations
from chervillead.platform import request_limits
from chervillead.platform import settings as settings_module

SETTINGS = """
Node: "front-1"
Zone: "zone-a"
Ip: "10.1.0.23"
ListenAddrs: {Front: "10.1.0.23:8340", ReadyAddr: "10.1.0.23:8343"}
InternalPorts: [7000, 7015]
Bounds: {RevokeMs: 5000, GraceS: 6, MaxHoldMs: 6000}
platform:
  Address: "10.200.1.7:8344"
  parts: 24
  RecordBytes: 262144
  CallBytes: 2097152
Cloud: {Address: "10.200.0.82:8344"}
Limits: {CpuShare: 0.5, Cores: 3}
Unknown: "is ignored"
"""


@behave.when("a caller submits {body}")
def step(context, body):
    context.decoded = job_bodies.decode_job(
        body.encode(),
        job_id="0" * 16,
        queue=model.Queue("queue-1", "queue.example", "/jobs/", "billing"),
        account="team-1",
        now_unix_ms=0,
    )


@behave.then("the body is refused because {problem}")
def step(context, problem):
    assert not pipeline.is_successful(context.decoded)
    assert problem in context.decoded.failure().detail, context.decoded


@behave.when("the workers' topic contains the record {record}")
def step(context, record):
    context.registration = registrations.decode_registration(
        "i-1", record.encode()
    )


@behave.then("the record yields no worker")
def step(context):
    assert not pipeline.is_successful(context.registration)


@behave.when("the settings file changes to {content} and is reloaded")
def step(context, content):
    settings = settings_module.decode_settings(yaml.safe_load(SETTINGS))
    context.events = []

    async def reload():
        host = assembly.EntryHost(
            settings.unwrap(),
            lambda message_type, **fields: context.events.append(message_type),
            assembly.HostEnvironment(),
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.yaml"
            path.write_text(
                SETTINGS.replace("5000", "2500")
                if content.startswith("RevokeMs")
                else "Node: ["
            )
            daemon.reload_settings(host, path)
        return host

    context.host = asyncio.run(reload())


@behave.then("the maximum age of the configuration is {max_age:g} s")
def step(context, max_age):
    assert context.host.settings.config_max_age_s == max_age


@behave.then("the log contains the event {event}")
def step(context, event):
    assert event in context.events, context.events


@behave.when("the platform's settings have {field} set to {value}")
def step(context, field, value):
    document = yaml.safe_load(SETTINGS)
    assert pipeline.is_successful(settings_module.decode_settings(document))
    section = document
    *sections, name = field.split(".")
    for key in sections:
        section = section.setdefault(key, {})
    section[name] = msgspec.json.decode(value.encode())
    context.settings = settings_module.decode_settings(document)


@behave.then("the error names the setting {field}")
def step(context, field):
    assert not pipeline.is_successful(context.settings)
    assert context.settings.failure().path == field


@behave.then("connections may take {count:d} descriptors of the machine")
def step(context, count):
    limits = context.settings.unwrap().request_limits
    assert limits.connections == count, limits


@behave.then("the host has {cores:f} cores")
def step(context, cores):
    assert context.settings.unwrap().cores == cores, context.settings


@behave.when("a process starts on a machine of {memory:d} MB")
def step(context, memory):
    document = yaml.safe_load(SETTINGS)
    document["Limits"]["MemoryMb"] = memory
    settings = settings_module.decode_settings(document).unwrap()
    context.lines = []

    def log(message_type, **fields):
        context.lines.append((message_type, fields))

    context.fits = request_limits.check_memory(
        settings.memory_bytes,
        settings.request_limits,
        settings.limits.accepted_jobs,
        log,
    )


@behave.then("its limits fit into the machine")
def step(context):
    assert context.fits
    assert not context.lines, context.lines


@behave.then("it logs that it needs {needed:d} MB")
def step(context, needed):
    assert not context.fits
    ((message_type, fields),) = context.lines
    assert message_type == "process:memory-short"
    assert fields["needed_mb"] == needed, fields
