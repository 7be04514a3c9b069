"""Steps of tests/platform/calls.feature that need no fleet."""

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


@behave.when("the list of workers has the entry {entry}")
def step(context, entry):
    context.entry = registrations.decode_registration("i-1", entry.encode())


@behave.then("the entry names no worker")
def step(context):
    assert context.entry is None


@behave.when("the settings file changes to {content} and is read anew")
def step(context, content):
    settings = settings_module.decode_settings(yaml.safe_load(SETTINGS))
    context.lines = []

    async def read_anew():
        host = assembly.EntryHost(
            settings.unwrap(),
            lambda message_type, **fields: context.lines.append(message_type),
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

    context.host = asyncio.run(read_anew())


@behave.then("the bound on the age of the configuration is {bound:g} s")
def step(context, bound):
    assert context.host.settings.config_max_age_s == bound


@behave.then("the log has the line {line}")
def step(context, line):
    assert line in context.lines, context.lines


@behave.when("the platform's settings have {field} set to {value}")
def step(context, field, value):
    document = yaml.safe_load(SETTINGS)
    assert pipeline.is_successful(settings_module.decode_settings(document))
    place = document
    *tables, name = field.split(".")
    for table in tables:
        place = place[table]
    place[name] = msgspec.json.decode(value.encode())
    context.settings = settings_module.decode_settings(document)


@behave.then("the problem names {field}")
def step(context, field):
    assert not pipeline.is_successful(context.settings)
    assert context.settings.failure().path == field
