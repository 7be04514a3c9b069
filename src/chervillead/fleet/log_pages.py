"""Consistency checks of log pages before they are folded.

The log may have dropped records that are still needed, and a platform that
lost the end of its log may assign offsets that were folded already to other
records. Neither may be folded into the state.
"""

import typing

from chervillead.fleet import records

GAP = "gap"
END_WENT_BACKWARDS = "end-went-backwards"
INCONSISTENT_PAGE = "inconsistent-page"
DIFFERENT_RECORD = "different-record"


class Alarm(typing.NamedTuple):
    """A fault of the log that operators must handle.

    Attributes:
        name: `GAP`, `END_WENT_BACKWARDS`, `INCONSISTENT_PAGE` or
            `DIFFERENT_RECORD`.
        detail: Actual and expected offsets.
    """

    name: str
    detail: str


def check_page(
    page: records.LogPage,
    *,
    requested: int,
    state_offset: int,
    expected_data: bytes | None,
) -> Alarm | None:
    """Returns what is wrong with a page, or None if it may be folded.

    Args:
        page: Page returned by the log.
        requested: Requested offset: the one after the state's offset or, to
            verify the log, the state's offset itself.
        state_offset: Offset of the last folded record.
        expected_data: Bytes that the log had at `state_offset`; None if they
            are no longer available.
    """
    if page.next_offset <= state_offset:
        return Alarm(
            END_WENT_BACKWARDS,
            f"the log ends at {page.next_offset}, the state at {state_offset}",
        )
    if page.oldest_offset > state_offset + 1:
        return Alarm(
            GAP,
            f"the log starts at {page.oldest_offset}, the state ends at "
            f"{state_offset}",
        )
    offsets = [entry.offset for entry in page.entries]
    first_offset = max(requested, page.oldest_offset)
    if (
        offsets != list(range(first_offset, first_offset + len(offsets)))
        or first_offset + len(offsets) > page.next_offset
        or (not offsets and first_offset < page.next_offset)
    ):
        return Alarm(
            INCONSISTENT_PAGE,
            f"asked for {first_offset}, got {offsets[:3]} to {offsets[-1:]}, "
            f"the log has {page.oldest_offset} to {page.next_offset}",
        )
    if (
        expected_data is not None
        and first_offset == state_offset
        and offsets
        and page.entries[0].data != expected_data
    ):
        return Alarm(
            DIFFERENT_RECORD,
            f"the log holds another record at offset {state_offset}",
        )
    return None
