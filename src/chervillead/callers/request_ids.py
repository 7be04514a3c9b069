"""Request ids: UUIDv7, whose time and last byte carry meaning.

The creation time tells whether a claim holder could know the id. The last byte
picks the zone that holds the claim, so a caller may keep its claims in its own
zone, where they work while the zone is cut off.
"""

import random
import re
import typing
import uuid

from returns import result

from chervillead import verdicts

MAX_AHEAD_S = 2.0  # tolerated difference between clocks
MAX_AGE_S = 600.0  # claims are forgotten after this
# uuid.UUID takes several times as long, for each of the checks of a request.
_CANONICAL = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class RequestId(typing.NamedTuple):
    """A checked request id.

    Attributes:
        text: Canonical form.
        created_s: Creation time by the caller's clock, seconds since the epoch.
        claim_byte: Selects the claim zone.
    """

    text: str
    created_s: float
    claim_byte: int


def new_request_id(now_s: float, claim_byte: int | None = None) -> str:
    """Returns a new id created at `now_s` seconds since the epoch.

    Args:
        now_s: Creation time.
        claim_byte: Last byte of the id, to choose the claim zone; random if
            None.
    """
    # Ids must be unique, not secret; this generator can be seeded in tests.
    data = bytearray(random.randbytes(16))
    data[0:6] = int(now_s * 1000).to_bytes(6, "big")
    data[6] = 0x70 | (data[6] & 0x0F)
    data[8] = 0x80 | (data[8] & 0x3F)
    if claim_byte is not None:
        data[15] = claim_byte
    return str(uuid.UUID(bytes=bytes(data)))


def parse_request_id(
    text: str, now_s: float
) -> result.Result[RequestId, verdicts.Refusal]:
    """Checks an id that came from a caller.

    Args:
        text: The id as received.
        now_s: Local wall time.

    Returns:
        The id; or "not run" for one that is malformed or from the future; or
        "may have run" for one so old that its claim may be forgotten.
    """
    text = text.lower()
    if _CANONICAL.fullmatch(text) is None:
        return result.Failure(_malformed(text))
    created_s = int(text[0:8] + text[9:13], 16) / 1000
    if created_s > now_s + MAX_AHEAD_S:
        return result.Failure(
            verdicts.not_run(
                "request-id-in-future",
                400,
                f"{text} was created {created_s - now_s:.1f} s ahead of this "
                f"host's clock, at most {MAX_AHEAD_S} s are allowed",
            )
        )
    if created_s < now_s - MAX_AGE_S:
        return result.Failure(
            verdicts.may_have_run(
                "request-id-expired",
                409,
                f"{text} is older than {MAX_AGE_S:.0f} s",
            )
        )
    return result.Success(RequestId(text, created_s, int(text[-2:], 16)))


def claim_byte(text: str) -> int:
    """Returns the byte that selects the claim zone; 0 if it is malformed.

    It doesn't depend on the age of the id, so the report of a request that
    ends after its id has expired reaches the holder of its claim.
    """
    try:
        return int(text[-2:], 16)
    except ValueError:
        return 0


def _malformed(text: str) -> verdicts.Refusal:
    return verdicts.not_run(
        "malformed-request-id",
        400,
        f"{text[:64]!r} is not a UUID of version 7 in canonical form",
    )
