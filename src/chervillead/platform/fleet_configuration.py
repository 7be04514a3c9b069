"""Codec of the operator records in the store."""

import typing

import msgspec

from chervillead.jobs import model
from chervillead.machines import interface
from chervillead.platform import registrations

OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
CONFIGURATION_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"


def decode_configuration(value: bytes) -> model.FleetConfiguration:
    """Returns the configuration in the value of a record.

    Raises:
        msgspec.DecodeError: The record isn't JSON.
        KeyError: A field is missing.
    """
    fields = msgspec.json.decode(value)
    tenants = fields.get("Tenants") or ()
    return model.FleetConfiguration(
        version=fields["Version"],
        queues={
            route["Name"]: _decode_queue(route) for route in fields["Routes"]
        },
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
                registrations.decode_resources(tenant.get("Cap") or {}),
            )
            for tenant in tenants
        },
        account_of_key={
            key: tenant["Name"]
            for tenant in tenants
            for key in tenant.get("ApiKeys") or ()
        },
        max_body_bytes=(fields.get("Limits") or {}).get("MaxBodyBytes", 262144),
    )


def _decode_queue(route: dict[str, typing.Any]) -> model.Queue:
    advice = route.get("Advice")
    return model.Queue(
        name=route["Name"],
        host=route["Host"],
        path_prefix=route["PathPrefix"],
        pool=route["Service"],
        priority=route.get("Priority", 0),
        max_attempts=route.get("MaxAttempts") or 1,
        stretch=route.get("Stretch") or 1.0,
        target_ms=route.get("TargetLatencyMs", 0),
        is_public=route.get("Public", False),
        advice=advice
        and model.AdvicePolicy(
            advice["DecideMs"], advice["PerWorkerMs"], advice["ValidMs"]
        ),
    )


def decode_wave(value: bytes, first_seen_s: float) -> interface.Wave:
    """Returns the maintenance wave in the value of a record.

    Args:
        value: Value of the record.
        first_seen_s: Monotonic time at which this host first read the record.

    Raises:
        msgspec.DecodeError: The record isn't JSON.
        KeyError: A field is missing.
    """
    fields = msgspec.json.decode(value)
    return interface.Wave(
        fields["Wave"],
        tuple(fields["Machines"]),
        fields["DurationS"],
        fields["Cap"],
        first_seen_s,
    )


def encode_wave_status(*, is_completed: bool) -> bytes:
    """Returns the value of a status record about a maintenance wave."""
    state = "completed" if is_completed else "running"
    return msgspec.json.encode({"State": state})
