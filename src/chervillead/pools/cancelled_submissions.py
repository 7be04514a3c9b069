"""Submissions that were cancelled before they arrived at their owner.

A caller who cancels a job that isn't known is told so, which promises that none
of its tasks will start. The submission may still be on its way, from a host
that retries it or from a connection that was held up, and is refused then.
"""

from collections import abc

from chervillead.jobs import partition_records

# Submissions arrive until the deadline of their caller's last attempt, some
# seconds after the first one.
RETENTION_S = 60.0
# A partition's cancellations take a few megabytes at most.
MAX_CANCELLATIONS = 20_000


class CancelledSubmissions:
    """The recent cancellations of one partition's unknown jobs."""

    def __init__(self) -> None:
        # When each expires, by job and client account, oldest first.
        self._expires_s: dict[tuple[str, str], float] = {}

    @property
    def is_full(self) -> bool:
        """Whether no further cancellation can be kept."""
        return len(self._expires_s) >= MAX_CANCELLATIONS

    def add(self, job_id: str, account: str, cancelled_s: float) -> None:
        """Keeps a cancellation; the time is that of the owner's clock."""
        self._expires_s[job_id, account] = cancelled_s + RETENTION_S

    def discard(self, job_id: str, account: str) -> None:
        """Forgets a cancellation that could not be stored."""
        self._expires_s.pop((job_id, account), None)

    def __contains__(self, submission: tuple[str, str]) -> bool:
        """Returns whether a job was cancelled by a client account."""
        return submission in self._expires_s

    def take_expired(self, now_s: float) -> abc.Iterator[str]:
        """Forgets expired cancellations and yields their records' keys."""
        expired = [
            submission
            for submission, expires_s in self._expires_s.items()
            if expires_s <= now_s
        ]
        for submission in expired:
            del self._expires_s[submission]
            yield partition_records.key_of(
                partition_records.Cancellation(*submission)
            )
