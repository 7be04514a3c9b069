"""Client of the platform's service that maintains and moves hosts."""

from collections import abc
import typing
import urllib.parse

import msgspec
from returns import pipeline
from returns import result

from chervillead import http_connection
from chervillead import http_exchange
from chervillead import types
from chervillead import verdicts
from chervillead.machines import interface
from chervillead.platform import registrations
from chervillead.platform import wire

TIMEOUT_S = 1.0
MAX_PAGES = 1000

_STATES = {
    "up": interface.HostState.UP,
    "moving": interface.HostState.MOVING,
    "upkeep": interface.HostState.MAINTENANCE,
    "down": interface.HostState.DOWN,
}
_REJECTIONS = {
    "fence": interface.RejectionReason.FENCED,
    "busy": interface.RejectionReason.BUSY,
    "wave": interface.RejectionReason.NOT_IN_WAVE,
}
_STATUS_REJECTIONS = {
    400: interface.RejectionReason.UNKNOWN,
    429: interface.RejectionReason.TOO_MANY,
    503: interface.RejectionReason.TOO_MANY,
}


class _HostFields(typing.TypedDict):
    Machine: wire.Name
    Pool: str
    State: str
    Zone: str
    Labels: typing.NotRequired[list[str] | None]
    Capacity: typing.NotRequired[wire.ResourceFields | None]
    Id: typing.NotRequired[str | None]


class _PageFields(typing.TypedDict):
    Machines: list[_HostFields]
    NextPageToken: typing.NotRequired[str | None]


class _RejectionFields(typing.TypedDict):
    Reason: typing.NotRequired[str]


_page_decoder = msgspec.json.Decoder(_PageFields)
_rejection_decoder = msgspec.json.Decoder(_RejectionFields)


def connect_hosts_service(
    address: types.Address,
    holder: str,
    increment: abc.Callable[..., None],
    *,
    dial: http_exchange.Dial = http_exchange.dial,
) -> interface.HostServiceClient:
    """Returns a client of the service at `address`.

    Args:
        address: Address of the service.
        holder: Name of this entry host, sent as holder of the fencing token.
        increment: Increments a counter, by name and label values.
        dial: Opens connections.
    """
    connections = http_connection.HttpConnectionPool(address, dial=dial)

    async def call(
        request: http_exchange.HttpRequest,
    ) -> result.Result[http_exchange.HttpResponse, interface.HostCallFailure]:
        outcome = await connections.call(request, TIMEOUT_S)
        path = request.path.partition("?")[0]
        if not pipeline.is_successful(outcome):
            failure = outcome.failure()
            increment("chervillead_machine_calls", path, "unanswered")
            return result.Failure(
                interface.HostCallFailure(failure.verdict, failure.detail)
            )
        response = outcome.unwrap()
        increment("chervillead_machine_calls", path, str(response.status))
        if response.status == 200:
            return result.Success(response)
        return result.Failure(_rejection(path, response))

    async def list_hosts() -> result.Result[
        tuple[interface.Host, ...], interface.HostCallFailure
    ]:
        hosts: list[interface.Host] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            query = "?" + urllib.parse.urlencode({"PageToken": token})
            path = "/machines" + (query if token else "")
            outcome = await call(http_exchange.HttpRequest("GET", path))
            if not pipeline.is_successful(outcome):
                return result.Failure(outcome.failure())
            page = decode_page(outcome.unwrap().body)
            if not pipeline.is_successful(page):
                detail = page.failure().detail
                return result.Failure(
                    interface.HostCallFailure(
                        verdicts.Verdict.RAN, f"{path}: malformed: {detail}"
                    )
                )
            hosts.extend(page.unwrap().hosts)
            token = page.unwrap().next_token
            if not token:
                return result.Success(tuple(hosts))
        # A host that is missing from some of the pages may still exist.
        return result.Failure(
            interface.HostCallFailure(
                verdicts.Verdict.RAN, f"/machines: more than {MAX_PAGES} pages"
            )
        )

    async def send_command(
        path: str, token: int, fields: dict[str, object]
    ) -> result.Result[None, interface.HostCallFailure]:
        headers = (
            ("content-type", "application/json"),
            ("lease-holder", http_exchange.field_value(holder)),
            ("fencing-token", str(token)),
        )
        outcome = await call(
            http_exchange.HttpRequest(
                "POST", path, headers, msgspec.json.encode(fields)
            )
        )
        if pipeline.is_successful(outcome):
            return result.Success(None)
        return result.Failure(outcome.failure())

    async def begin_maintenance(
        host: str, wave: int, token: int
    ) -> result.Result[None, interface.HostCallFailure]:
        return await send_command(
            "/machine-upkeep", token, {"Machine": host, "Wave": wave}
        )

    async def move(
        host: str, pool: str, token: int
    ) -> result.Result[None, interface.HostCallFailure]:
        return await send_command(
            "/machine-move", token, {"Machine": host, "Pool": pool}
        )

    return interface.HostServiceClient(list_hosts, begin_maintenance, move)


def _rejection(
    path: str, response: http_exchange.HttpResponse
) -> interface.HostCallFailure:
    # The status alone tells what an unreadable rejection means.
    fields = wire.decode(_rejection_decoder, response.body or b"{}").value_or(
        _RejectionFields()
    )
    reason = fields.get("Reason")
    rejection = (
        _REJECTIONS.get(str(reason))
        if response.status == 409
        else _STATUS_REJECTIONS.get(response.status)
    )
    return interface.HostCallFailure(
        verdicts.Verdict.MAY_HAVE_RUN
        if rejection is None
        else verdicts.Verdict.NOT_RUN,
        f"{path}: {response.status} {reason}",
        rejection,
    )


class HostPage(typing.NamedTuple):
    """Some of all hosts, and the token of the next page if there is one."""

    hosts: tuple[interface.Host, ...]
    next_token: str | None


def decode_page(body: bytes) -> result.Result[HostPage, wire.Malformed]:
    """Returns the hosts in a response, or why there are none."""
    return wire.decode(_page_decoder, body).map(
        lambda fields: HostPage(
            tuple(map(_host, fields["Machines"])), fields.get("NextPageToken")
        )
    )


def _host(fields: _HostFields) -> interface.Host:
    return interface.Host(
        name=fields["Machine"],
        pool=fields["Pool"],
        state=_STATES.get(fields["State"], interface.HostState.DOWN),
        zone=fields["Zone"],
        labels=frozenset(fields.get("Labels") or ()),
        capacity=registrations.resources(fields.get("Capacity") or {}),
        # Hosts of the spare pool are switched off and have no worker.
        worker_id=fields.get("Id") or "",
    )
