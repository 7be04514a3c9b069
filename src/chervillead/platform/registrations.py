"""Decodes the worker registrations in the store.

The platform calls workers runners or servers.
"""

import typing

import msgspec
from returns import result

from chervillead import error_texts
from chervillead import http_exchange
from chervillead import types
from chervillead.jobs import model
from chervillead.platform import wire
from chervillead.workers import interface

WORKERS_TOPIC = "keyed.servers"


class _RegistrationFields(typing.TypedDict):
    Service: wire.Name
    Address: str
    Zone: wire.Name
    State: typing.Literal["ready", "draining"]
    Labels: list[str]
    Capacity: wire.ResourceFields
    # Start of the worker's process in Unix milliseconds.
    born: typing.NotRequired[wire.Count]


_decoder = msgspec.json.Decoder(_RegistrationFields)


def decode_registration(
    worker_id: str, value: bytes
) -> result.Result[interface.Registration, wire.Malformed]:
    """Returns a worker's registration, or why the record names no worker.

    Other programs write to the topic as well, so fields may be missing or of
    another type, states may be unknown, and values may not be JSON. A worker
    is asked by its id in a header, so an id that a header can't carry is none.
    """
    if not worker_id or not http_exchange.is_field_value(worker_id):
        return result.Failure(
            wire.malformed(
                f"got the id {error_texts.shorten(worker_id)}, expected one "
                "without control characters and outer spaces"
            )
        )
    return wire.decode(_decoder, value).bind(
        lambda fields: (
            types.parse_address(fields["Address"])
            .alt(wire.malformed)
            .map(lambda address: _registration(worker_id, fields, address))
        )
    )


def _registration(
    worker_id: str, fields: _RegistrationFields, address: types.Address
) -> interface.Registration:
    labels = fields["Labels"]
    return interface.Registration(
        worker_id=worker_id,
        pool=fields["Service"],
        address=address,
        zone=fields["Zone"],
        # The first label is the kind of the host, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=resources(fields["Capacity"]),
        is_draining=fields["State"] == "draining",
        incarnation=fields.get("born", 0),
    )


def resources(fields: wire.ResourceFields) -> model.Resources:
    """Returns the resources in decoded fields; a missing field counts as 0."""
    return model.Resources(
        fields.get("Cpu", 0), fields.get("MemMb", 0), fields.get("Gpu", 0)
    )
