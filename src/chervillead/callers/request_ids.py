"""Request ids: UUIDv7, whose creation time and last byte are interpreted.

The creation time indicates whether the claim on an id may have been deleted.
The last byte selects the zone that holds the claim, so callers can keep their
claims in their own zone, where they work even during a network partition.
"""

import random
import re
import typing
import uuid

from returns import result

from chervillead import verdicts

MAX_AHEAD_S = 2.0  # tolerated clock skew
MAX_AGE_S = 600.0  # claims are deleted after this time
# Parsing with uuid.UUID takes several times as long, and the id is checked
# several times per request.
_CANONICAL = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class RequestId(typing.NamedTuple):
    """A valid request id.

    Attributes:
        text: Canonical form.
        created_s: Creation time by the caller's clock, seconds since the epoch.
        claim_byte: Last byte of the id; it selects the zone of the claim.
    """

    text: str
    created_s: float
    claim_byte: int


def new_request_id(now_s: float, claim_byte: int | None = None) -> str:
    """Returns a new request id.

    Args:
        now_s: Creation time, seconds since the epoch.
        claim_byte: Last byte of the id, which selects the zone of the claim;
            random if None.
    """
    # Ids must be unique but not secret, and tests can seed this generator.
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
    """Parses and checks a request id from a caller.

    Args:
        text: The id as received.
        now_s: Local wall time, seconds since the epoch.

    Returns:
        The id, or a refusal: "not run" if the id is malformed or from the
        future, "may have run" if it is so old that its claim may have been
        deleted.
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
                f"host's clock; at most {MAX_AHEAD_S} s are allowed",
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
    """Returns the byte that selects the zone of a claim; 0 if malformed.

    The age of the id isn't checked, so the report of a request that ends after
    its id has expired still reaches the claim holder.
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
