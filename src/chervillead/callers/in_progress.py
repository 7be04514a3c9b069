"""Claimed requests in progress on this host, and their cancellation."""

import asyncio
from collections import abc
import contextlib


def _do_nothing() -> None:
    """Handles a cancellation between two attempts, which needs no action."""


class RequestProgress:
    """State of one request: whether it is claimed and whether cancelled."""

    def __init__(self) -> None:
        self._claimed = asyncio.Event()
        self._cancelled = False
        self._cancel_handler: abc.Callable[[], None] = _do_nothing

    @property
    def claimed(self) -> asyncio.Event:
        """Event that is set once the claim on the request id is accepted."""
        return self._claimed

    def is_cancelled(self) -> bool:
        """Returns whether the caller cancelled the request."""
        return self._cancelled

    @contextlib.contextmanager
    def cancel_handler(
        self, on_cancel: abc.Callable[[], None]
    ) -> abc.Iterator[None]:
        """Sets the function that a cancellation calls while the block runs."""
        self._cancel_handler = on_cancel
        try:
            yield
        finally:
            self._cancel_handler = _do_nothing

    def cancel(self) -> None:
        """Cancels the request; a second call has no effect."""
        if not self._cancelled:
            self._cancelled = True
            self._cancel_handler()


class RequestsInProgress:
    """Progress of the claimed requests that this host processes, by id."""

    def __init__(self) -> None:
        self._requests: dict[str, RequestProgress] = {}

    def __len__(self) -> int:
        return len(self._requests)

    @contextlib.contextmanager
    def track(
        self, request_id: str, progress: RequestProgress
    ) -> abc.Iterator[None]:
        """Lets `cancel` find the request while the block runs."""
        self._requests[request_id] = progress
        try:
            yield
        finally:
            del self._requests[request_id]

    def cancel(self, request_id: str) -> bool:
        """Cancels a request; returns whether this host processes it."""
        progress = self._requests.get(request_id)
        if progress is not None:
            progress.cancel()
        return progress is not None
