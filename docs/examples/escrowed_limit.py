"""Shares one limit between two dispatchers that only have a log in common.

Run as `python docs/examples/escrowed_limit.py`. Each dispatcher grants against
the units of its own zone, so the sum never exceeds the limit, whatever each one
knows of the other. Units move by records that the giving side appends.
"""

from collections import abc
import typing

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import records
from chervillead.fleet import team_units

ZONES = ("a", "b")
TEAM = "invoices"


def first_records() -> abc.Iterator[records.Record]:
    """Yields two zones, their leader seats and a team with a limit of 4."""

    def new(kind: str, subject: str, **fields: typing.Any) -> records.Record:
        return records.Record(f"{kind}-{subject}", kind, subject, -1, fields)

    for index, zone in enumerate(ZONES):
        yield new("zone", zone, index=index)
    for index, zone in enumerate(ZONES):
        address = ["127.0.0.1", 9000 + index]
        host = f"entry-{zone}"
        yield new(
            "seat", f"{zone}/0", zone=zone, number=0, host=host, address=address
        )
    yield new("team", TEAM, share=1.0, limit=4)


def transfer(
    record_id: str, based_on: int, incarnation: int, units: int
) -> records.Record:
    """Returns the record by which zone a gives units to zone b."""
    fields = {
        "incarnation": incarnation,
        "to_zone": "b",
        "units": {TEAM: units},
    }
    return records.Record(record_id, "transfer", "a", based_on, fields)


def fold_log(
    log: list[records.Record],
) -> tuple[configuration_module.Configuration, fold.FoldResult]:
    """Returns the state after a log, and the result of its last record."""
    entries = [records.OffsetRecord(n, record) for n, record in enumerate(log)]
    *_, last = fold.fold_records(configuration_module.EMPTY, entries)
    return last


def show(log: list[records.Record]) -> configuration_module.Configuration:
    """Prints the units of both zones and the result of the last record."""
    state, result = fold_log(log)
    units = [team_units.zone_units(state, TEAM, zone) for zone in ZONES]
    print(
        f"units {units} sum {sum(units)}: "
        f"{result.outcome.value} {result.detail}"
    )
    return state


def main() -> None:
    """Moves units once, then tries to give more than is left."""
    log = list(first_records())
    state = show(log)
    incarnation = state.versions[("seat", "a/0")]
    log.append(transfer("gift-1", records.NO_VERSION, incarnation, 2))
    state = show(log)
    version = state.versions[("transfer", "a")]
    log.append(transfer("gift-2", version, incarnation, 1))
    show(log)


if __name__ == "__main__":
    main()
