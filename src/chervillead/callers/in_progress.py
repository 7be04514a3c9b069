"""Claimed requests of this host that are under way, for cancellation."""

import asyncio
from collections import abc
import contextlib


def _nothing() -> None:
    """Is what a cancellation does between two attempts."""


class RequestProgress:
    """Where one request stands."""

    def __init__(self) -> None:
        self._claimed = asyncio.Event()
        self._cancelled = False
        self._on_cancel: abc.Callable[[], None] = _nothing

    @property
    def claimed(self) -> asyncio.Event:
        """Set once the claim on the request's id was accepted."""
        return self._claimed

    def is_cancelled(self) -> bool:
        """Returns whether the caller cancelled the request."""
        return self._cancelled

    @contextlib.contextmanager
    def cancel_handler(
        self, on_cancel: abc.Callable[[], None]
    ) -> abc.Iterator[None]:
        """Sets what a cancellation does while the block runs."""
        self._on_cancel = on_cancel
        try:
            yield
        finally:
            self._on_cancel = _nothing

    def cancel(self) -> None:
        """Cancels the request; a second call has no effect."""
        if not self._cancelled:
            self._cancelled = True
            self._on_cancel()


class RequestsInProgress:
    """The progress of each claimed request that this host owns."""

    def __init__(self) -> None:
        self._requests: dict[str, RequestProgress] = {}

    def __len__(self) -> int:
        return len(self._requests)

    @contextlib.contextmanager
    def track(
        self, request_id: str, progress: RequestProgress
    ) -> abc.Iterator[None]:
        """Makes the request cancellable while the block runs."""
        self._requests[request_id] = progress
        try:
            yield
        finally:
            del self._requests[request_id]

    def cancel(self, request_id: str) -> bool:
        """Cancels a request; returns whether this host owns it."""
        progress = self._requests.get(request_id)
        if progress is not None:
            progress.cancel()
        return progress is not None
