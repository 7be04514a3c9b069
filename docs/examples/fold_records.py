"""Folds records of one's own and prints the result of each.

Run as `python docs/examples/fold_records.py`. Two programs that fold the same
records in the same order end in the same state, so any log with offsets does.
"""

from collections import abc

from chervillead.fleet import configuration
from chervillead.fleet import fold
from chervillead.fleet import records


def example_records() -> abc.Iterator[records.Record]:
    """Yields a zone, a pool, two hosts and two drains."""

    def new(kind: str, subject: str, **fields: object) -> records.Record:
        return records.Record(f"{kind}-{subject}", kind, subject, -1, fields)

    yield new("zone", "a", index=0)
    yield new("pool", "portal", max_unavailable=1)
    for number in (1, 2):
        yield new(
            "host",
            f"portal-{number}",
            pool="portal",
            zone="a",
            rack="a-1",
            address=["127.0.0.1", 8000 + number],
        )
    yield new("drain", "portal-1", state="granted")
    yield new("drain", "portal-2", state="granted")


def main() -> None:
    """Prints a line for each record; the budget refuses the second drain."""
    entries = [
        records.OffsetRecord(offset, record)
        for offset, record in enumerate(example_records())
    ]
    for step in fold.fold_records(configuration.EMPTY, entries):
        result = step.result
        print(
            result.offset, result.record_id, result.outcome.value, result.detail
        )


if __name__ == "__main__":
    main()
