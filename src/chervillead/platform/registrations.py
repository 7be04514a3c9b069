"""Decodes the worker registrations in the store.

The platform calls workers runners or servers.
"""

import typing

import msgspec
from returns import pipeline

from chervillead import types
from chervillead.jobs import model
from chervillead.workers import interface

WORKERS_TOPIC = "keyed.servers"
_STATES = ("ready", "draining")


def decode_registration(
    worker_id: str, value: bytes
) -> interface.Registration | None:
    """Returns a worker's registration, or None if the record is unusable.

    Other programs write to the topic as well, so fields may be missing or of
    another type, states may be unknown, and values may not be JSON.
    """
    try:
        fields = msgspec.json.decode(value)
        return _decode(worker_id, fields)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


def _decode(
    worker_id: str, fields: dict[str, typing.Any]
) -> interface.Registration | None:
    address = types.parse_address(_string(fields["Address"]))
    state = fields["State"]
    if state not in _STATES or not pipeline.is_successful(address):
        return None
    labels = [_string(label) for label in fields["Labels"]]
    return interface.Registration(
        worker_id=worker_id,
        pool=_string(fields["Service"]),
        address=address.unwrap(),
        zone=_string(fields["Zone"]),
        # The first label is the kind of the host, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=decode_resources(fields["Capacity"]),
        is_draining=state == "draining",
        incarnation=_integer(fields.get("born", 0)),
    )


def decode_resources(fields: dict[str, typing.Any]) -> model.Resources:
    """Returns the resources in an object; a missing field counts as 0.

    Raises:
        TypeError: A field is not an integer.
    """
    return model.Resources(
        _integer(fields.get("Cpu", 0)),
        _integer(fields.get("MemMb", 0)),
        _integer(fields.get("Gpu", 0)),
    )


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def _integer(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not an integer")
    return value
