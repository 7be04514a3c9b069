"""Checks of what the log returns before it is folded.

The log may drop old records, and a platform that lost its tail may hand out
other records at offsets that were folded already. A state must not be built
on either.
"""

import typing

from chervillead.fleet import records

GAP = "gap"
END_WENT_BACKWARDS = "end-went-backwards"
INCONSISTENT_PAGE = "inconsistent-page"
DIFFERENT_RECORD = "different-record"


class Alarm(typing.NamedTuple):
    """A fault of the log that people must look at.

    Attributes:
        name: `GAP`, `END_WENT_BACKWARDS`, `INCONSISTENT_PAGE` or
            `DIFFERENT_RECORD`.
        detail: What was seen and what was expected.
    """

    name: str
    detail: str


def check_page(
    page: records.LogPage, *, asked: int, offset: int, known: bytes | None
) -> Alarm | None:
    """Returns what is wrong with a page, or None if it may be folded.

    Args:
        page: Answer of the log.
        asked: Offset that was asked for: the one after the state's or, to
            verify the log, the state's own.
        offset: Offset of the state.
        known: Bytes that the log had at the state's offset, if kept.
    """
    if page.next_offset <= offset:
        return Alarm(
            END_WENT_BACKWARDS,
            f"the log ends at {page.next_offset}, the state at {offset}",
        )
    if page.oldest_offset > offset + 1:
        return Alarm(
            GAP,
            f"the log starts at {page.oldest_offset}, the state ends at "
            f"{offset}",
        )
    found = [entry.offset for entry in page.entries]
    first = max(asked, page.oldest_offset)
    if (
        found != list(range(first, first + len(found)))
        or first + len(found) > page.next_offset
        or (not found and first < page.next_offset)
    ):
        return Alarm(
            INCONSISTENT_PAGE,
            f"asked for {first}, got {found[:3]} to {found[-1:]}, the log "
            f"has {page.oldest_offset} to {page.next_offset}",
        )
    if (
        known is not None
        and first == offset
        and found
        and page.entries[0].data != known
    ):
        return Alarm(
            DIFFERENT_RECORD, f"the log holds another record at offset {offset}"
        )
    return None
