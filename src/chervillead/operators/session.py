"""Session of an operator's command with the platform's log."""

import asyncio
from collections import abc
import contextlib
import typing

from returns import result

from chervillead import types
from chervillead.fleet import log_client
from chervillead.fleet import log_reader

# Reading a log of 100,000 records takes a few seconds on loopback.
READ_LOG_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


class Session(typing.NamedTuple):
    """A reader that has folded the whole log, and the log's client."""

    reader: log_reader.LogReader
    platform: log_client.PlatformClient
    clock: types.Clock


@contextlib.asynccontextmanager
async def open_session(
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    within_s: float = READ_LOG_TIMEOUT_S,
) -> abc.AsyncIterator[result.Result[Session, str]]:
    """Follows the log in the background while the context is open.

    Args:
        platform: Client of the log.
        clock: Source of time.
        within_s: Timeout for reading the log to its end, in seconds.

    Yields:
        The session, or why the log could not be read to its end.
    """
    reader = log_reader.LogReader(clock)
    following = asyncio.create_task(log_reader.follow_log(reader, platform))
    try:
        yield await _read_to_end(Session(reader, platform, clock), within_s)
    finally:
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)


async def _read_to_end(
    session: Session, within_s: float
) -> result.Result[Session, str]:
    """Waits until the reader has reached the end of the log once."""
    reader = session.reader
    deadline_s = session.clock.monotonic() + within_s
    while session.clock.monotonic() < deadline_s:
        if reader.unconfirmed_s != float("inf"):
            return result.Success(session)
        await asyncio.sleep(POLL_INTERVAL_S)
    alarms = "; ".join(f"{a.name}: {a.detail}" for a in reader.alarms)
    return result.Failure(
        f"the platform's log was not read to its end within {within_s:g} s, "
        f"the last offset read is {reader.configuration.offset}"
        + (f" ({alarms})" if alarms else "")
    )
