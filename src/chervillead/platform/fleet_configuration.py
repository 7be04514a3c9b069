"""Codec of the operator records in the store."""

import typing

import msgspec
from returns import result

from chervillead.jobs import model
from chervillead.machines import interface
from chervillead.platform import registrations
from chervillead.platform import wire

OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
CONFIGURATION_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"
DEFAULT_MAX_BODY_BYTES = 262144

_Factor = typing.Annotated[float, msgspec.Meta(ge=0)]


class _AdviceFields(typing.TypedDict):
    DecideMs: wire.Count
    PerWorkerMs: wire.Count
    ValidMs: wire.Count


class _RouteFields(typing.TypedDict):
    Name: wire.Name
    Host: str
    PathPrefix: str
    Service: wire.Name
    Priority: typing.NotRequired[int]
    MaxAttempts: typing.NotRequired[wire.Count | None]
    Stretch: typing.NotRequired[_Factor | None]
    TargetLatencyMs: typing.NotRequired[_Factor]
    Public: typing.NotRequired[bool]
    Advice: typing.NotRequired[_AdviceFields | None]


class _ServiceFields(typing.TypedDict):
    Name: wire.Name
    EnforcesCapacity: typing.NotRequired[bool]
    Spare: typing.NotRequired[bool]


class _TenantFields(typing.TypedDict):
    Name: wire.Name
    ApiKeys: typing.NotRequired[list[str] | None]
    Weight: typing.NotRequired[_Factor]
    Cap: typing.NotRequired[wire.ResourceFields | None]


class _LimitFields(typing.TypedDict):
    MaxBodyBytes: typing.NotRequired[wire.Count]


class _ConfigurationFields(typing.TypedDict):
    Version: wire.Count
    Routes: list[_RouteFields]
    Services: list[_ServiceFields]
    Tenants: typing.NotRequired[list[_TenantFields] | None]
    Limits: typing.NotRequired[_LimitFields | None]


class _WaveFields(typing.TypedDict):
    Wave: wire.Count
    Machines: list[str]
    DurationS: _Factor
    Cap: wire.Count


_configuration_decoder = msgspec.json.Decoder(_ConfigurationFields)
_wave_decoder = msgspec.json.Decoder(_WaveFields)


def decode_configuration(
    value: bytes,
) -> result.Result[model.FleetConfiguration, wire.Malformed]:
    """Returns the configuration in the value of a record, or why not."""
    return wire.decode(_configuration_decoder, value).map(_configuration)


def _configuration(fields: _ConfigurationFields) -> model.FleetConfiguration:
    tenants = fields.get("Tenants") or ()
    limits = fields.get("Limits") or {}
    return model.FleetConfiguration(
        version=fields["Version"],
        queues={route["Name"]: _queue(route) for route in fields["Routes"]},
        pools={
            service["Name"]: model.Pool(
                service["Name"],
                service.get("EnforcesCapacity", True),
                service.get("Spare", False),
            )
            for service in fields["Services"]
        },
        accounts={
            tenant["Name"]: model.Account(
                tenant["Name"],
                tenant.get("Weight", 1),
                registrations.resources(tenant.get("Cap") or {}),
            )
            for tenant in tenants
        },
        account_of_key={
            key: tenant["Name"]
            for tenant in tenants
            for key in tenant.get("ApiKeys") or ()
        },
        max_body_bytes=limits.get("MaxBodyBytes", DEFAULT_MAX_BODY_BYTES),
    )


def _queue(route: _RouteFields) -> model.Queue:
    advice = route.get("Advice")
    return model.Queue(
        name=route["Name"],
        host=route["Host"],
        path_prefix=route["PathPrefix"],
        pool=route["Service"],
        priority=route.get("Priority", 0),
        max_attempts=route.get("MaxAttempts") or 1,
        stretch=route.get("Stretch") or 1.0,
        target_ms=int(route.get("TargetLatencyMs", 0)),
        is_public=route.get("Public", False),
        advice=advice
        and model.AdvicePolicy(
            advice["DecideMs"], advice["PerWorkerMs"], advice["ValidMs"]
        ),
    )


def decode_wave(
    value: bytes, first_seen_s: float
) -> result.Result[interface.Wave, wire.Malformed]:
    """Returns the maintenance wave in the value of a record, or why not.

    Args:
        value: Value of the record.
        first_seen_s: Monotonic time at which this host first read the record.
    """
    return wire.decode(_wave_decoder, value).map(
        lambda fields: interface.Wave(
            fields["Wave"],
            tuple(fields["Machines"]),
            fields["DurationS"],
            fields["Cap"],
            first_seen_s,
        )
    )


def encode_wave_status(*, is_completed: bool) -> bytes:
    """Returns the value of a status record about a maintenance wave."""
    state = "completed" if is_completed else "running"
    return msgspec.json.encode({"State": state})
