"""HTTP routes of the entry host for operators."""

from collections import abc

import blacksheep
import msgspec

from chervillead.operators import status as status_module

STATUS_PATH = "/operators/status"


def add_routes(
    application: blacksheep.Application,
    current_status: abc.Callable[[], status_module.Status],
) -> None:
    """Adds the operators' routes to the front end.

    Args:
        application: Front end that serves the routes.
        current_status: Returns the current status of this host.
    """

    async def show_status() -> blacksheep.Response:
        body = msgspec.json.encode(current_status())
        content = blacksheep.Content(b"application/json", body)
        # The status is specific to one host and quickly out of date, so proxies
        # must not cache it.
        return blacksheep.Response(
            200, [(b"cache-control", b"no-store")], content
        )

    application.router.add_get(STATUS_PATH, show_status)
