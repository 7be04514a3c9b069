"""Client of the platform's advisory service."""

from collections import abc
import typing

import msgspec
from returns import pipeline
from returns import result

from chervillead import http_connection
from chervillead import http_exchange
from chervillead import types
from chervillead.platform import wire
from chervillead.pools import ports


def connect_advice(
    address: types.Address, *, dial: http_exchange.Dial = http_exchange.dial
) -> ports.AskAdvice:
    """Returns a function that asks the service at `address` for advice."""
    channel = http_connection.HttpConnection(
        address,
        dial=dial,
        max_response_bytes=http_exchange.MAX_WORKER_RESPONSE_BYTES,
    )

    async def ask(
        job_id: str,
        occurrence: int,
        step: int,
        workers: abc.Sequence[str],
        timeout_s: float,
    ) -> result.Result[ports.Advice, ports.AdviceFailure]:
        fields = {
            # A phase is named like its tasks, without the task number.
            "Phase": f"{job_id}.{occurrence}.{step}",
            "Workers": list(workers),
        }
        request = http_exchange.HttpRequest(
            "POST",
            "/advise",
            (("content-type", "application/json"),),
            msgspec.json.encode(fields),
        )
        outcome = await channel.call(request, timeout_s)
        if not pipeline.is_successful(outcome):
            return result.Failure(ports.AdviceFailure(outcome.failure().detail))
        response = outcome.unwrap()
        if response.status != 200:
            return result.Failure(
                ports.AdviceFailure(f"/advise: status {response.status}")
            )
        return decode_advice(response.body).alt(
            lambda malformed: ports.AdviceFailure(
                f"/advise: malformed: {malformed.detail}"
            )
        )

    return ask


class _AdviceFields(typing.TypedDict):
    # Rows of worker id and ticket.
    Good: list[tuple[str, str]]
    ValidMs: wire.Count


_decoder = msgspec.json.Decoder(_AdviceFields)


def decode_advice(
    body: bytes,
) -> result.Result[ports.Advice, wire.Malformed]:
    """Returns the advice in a response, or why there is none."""
    return wire.decode(_decoder, body).map(
        lambda fields: ports.Advice(
            dict(fields["Good"]), fields["ValidMs"] / 1000
        )
    )
