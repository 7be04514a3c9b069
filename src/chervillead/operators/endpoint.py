"""HTTP routes for operators on the entry host."""

from collections import abc

import blacksheep
import msgspec

from chervillead.operators import status as status_module

STATUS_PATH = "/operators/status"


def add_routes(
    application: blacksheep.Application,
    current: abc.Callable[[], status_module.Status],
) -> None:
    """Adds the operators' routes to the front end.

    Args:
        application: The front end.
        current: Returns the status of this host.
    """

    async def show_status() -> blacksheep.Response:
        body = msgspec.json.encode(current())
        content = blacksheep.Content(b"application/json", body)
        # The document is true at one moment on one host; a copy kept by an
        # intermediary would mislead.
        return blacksheep.Response(
            200, [(b"cache-control", b"no-store")], content
        )

    application.router.add_get(STATUS_PATH, show_status)
