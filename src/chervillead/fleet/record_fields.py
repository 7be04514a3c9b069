"""Conversion of a record's fields to a value of the type of its kind."""

import typing

import msgspec
from returns import result

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records

VALUE_TYPES: dict[str, type] = {
    records.QUEUE: configuration_module.Queue,
    records.TEAM: configuration_module.Team,
    records.KEY: configuration_module.Key,
    records.POOL: configuration_module.Pool,
    records.HOST: configuration_module.Host,
    records.ZONE: configuration_module.Zone,
    records.SEAT: configuration_module.Seat,
    records.DRAIN: configuration_module.Drain,
    records.MOVE: configuration_module.Move,
    records.ROLLOUT: configuration_module.Rollout,
    records.TRANSFER: configuration_module.Transfer,
}


def convert_fields(
    kind: str, fields: dict[str, typing.Any]
) -> result.Result[typing.Any, str]:
    """Returns the value with the given fields, or an error message.

    Args:
        kind: A kind in `VALUE_TYPES`.
        fields: Fields of the record; empty for a removal, which returns None.
    """
    if not fields:
        return result.Success(None)
    value_type = VALUE_TYPES[kind]
    names: tuple[str, ...] = value_type._fields  # type: ignore[attr-defined]
    unknown = sorted(set(fields) - set(names))
    if unknown:
        return result.Failure(
            f"unknown fields {unknown} of a {kind}, allowed are {sorted(names)}"
        )
    defaults = value_type._field_defaults  # type: ignore[attr-defined]
    missing = [n for n in names if n not in fields and n not in defaults]
    if missing:
        return result.Failure(f"missing fields {missing} of a {kind}")
    ordered = [fields.get(name, defaults.get(name)) for name in names]
    try:
        return result.Success(
            msgspec.convert(
                msgspec.to_builtins(ordered), value_type, strict=False
            )
        )
    except (
        msgspec.ValidationError,
        # Extension types, integers out of range and unbounded nesting must not
        # stop the fold, which would fail on every host.
        TypeError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as error:
        return result.Failure(f"{kind}: {error}")
