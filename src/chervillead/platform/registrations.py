"""Decodes what the platform's runners say of themselves in the store."""

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
    """Returns a worker's registration, or None if it names none to use.

    Other writers leave entries too: with fields missing or of another type,
    unknown states, or bytes that can't be read.
    """
    try:
        fields = msgspec.json.decode(value)
        return _decode(worker_id, fields)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


def _decode(
    worker_id: str, fields: dict[str, typing.Any]
) -> interface.Registration | None:
    address = types.parse_address(_text(fields["Address"]))
    state = fields["State"]
    if state not in _STATES or not pipeline.is_successful(address):
        return None
    labels = [_text(label) for label in fields["Labels"]]
    return interface.Registration(
        worker_id=worker_id,
        pool=_text(fields["Service"]),
        address=address.unwrap(),
        zone=_text(fields["Zone"]),
        # The labels are the kind of the machine, then its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=decode_resources(fields["Capacity"]),
        is_draining=state == "draining",
        incarnation=_whole(fields.get("born", 0)),
    )


def decode_resources(fields: dict[str, typing.Any]) -> model.Resources:
    """Returns the resources in a table; what is left out is 0."""
    return model.Resources(
        _whole(fields.get("Cpu", 0)),
        _whole(fields.get("MemMb", 0)),
        _whole(fields.get("Gpu", 0)),
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


def _whole(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a whole number")
    return value
