"""Parsing and validation of the headers that callers send.

Every error names the header, the received value and what is allowed. Keys never
appear in an error.
"""

from collections import abc
import difflib
import re
import typing

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import request_ids

DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 600_000

REQUEST_ID = "chervillead-request-id"
IDEMPOTENT = "chervillead-idempotent"
DEADLINE_MS = "chervillead-deadline-ms"
RUN_MS = "chervillead-run-ms"
SIZE = "chervillead-size"
KEY = "authorization"
# The load balancer and this host could interpret a repeated header differently.
SINGLE_HEADERS = (
    REQUEST_ID,
    IDEMPOTENT,
    DEADLINE_MS,
    RUN_MS,
    SIZE,
    KEY,
    "content-type",
    "content-length",
)
# Names, patterns and upper bounds of the parts of a size. The bounds are ten
# times the size of a large worker; they keep typing errors from being stored.
_SIZE_PARTS: dict[str, tuple[str, float]] = {
    "cores": (r"[0-9]{1,5}(\.[0-9]{1,3})?", 10_240),
    "memory_mb": (r"[0-9]{1,9}", 40_000_000),
    "accelerators": (r"[0-9]{1,3}", 160),
}
# Names, minimum and maximum values of the headers that hold a whole number.
_INTEGER_HEADERS = (
    ("content-length", 0, 10**15),
    (DEADLINE_MS, 1, MAX_DEADLINE_MS),
    (RUN_MS, 1, MAX_DEADLINE_MS),
)
_DIGITS = re.compile("[0-9]{1,16}")
_DEFAULT_SIZE = result.Success(types.Size())
_MAX_ECHOED_CHARACTERS = 64

HeaderPairs: typing.TypeAlias = abc.Iterable[tuple[bytes, bytes]]


class SubmissionHeaders(typing.NamedTuple):
    """Parsed headers of a submission.

    Attributes:
        request_id: Valid id; a new one if an idempotent request had none.
        key: The caller's key, or None.
        content_type: Media type of the body.
        content_length: Declared length of the body in bytes, or None.
        idempotent: Whether running the request twice is harmless.
        asynchronous: Whether the caller fetches the answer later.
        deadline_s: Local monotonic time by which the caller needs the answer.
        run_s: Declared run time, or None.
        size: Declared resources.
    """

    request_id: str
    key: str | None
    content_type: str
    content_length: int | None
    idempotent: bool
    asynchronous: bool
    deadline_s: float
    run_s: float | None
    size: types.Size


def parse_headers(
    pairs: HeaderPairs, clock: types.Clock
) -> result.Result[SubmissionHeaders, verdicts.Refusal]:
    """Parses the headers of a submission; the first invalid one is refused."""
    pairs = list(pairs)
    return result.Result.do(
        SubmissionHeaders(
            request_id,
            key,
            values.get("content-type", "application/octet-stream"),
            length,
            idempotent,
            _prefers_async(pairs),
            clock.monotonic() + (deadline_ms or DEFAULT_DEADLINE_MS) / 1000,
            None if run_ms is None else run_ms / 1000,
            size,
        )
        for values in single_values(pairs)
        for idempotent in _parse_bool(IDEMPOTENT, values.get(IDEMPOTENT))
        for request_id in _parse_id(values.get(REQUEST_ID), idempotent, clock)
        for key in parse_key(values.get(KEY))
        for length, deadline_ms, run_ms in _parse_integers(values)
        for size in parse_size(values.get(SIZE))
    )


def single_values(
    pairs: HeaderPairs,
) -> result.Result[dict[str, str], verdicts.Refusal]:
    """Returns the values of SINGLE_HEADERS by name; a duplicate is refused."""
    values: dict[str, str] = {}
    for raw_name, raw_value in pairs:
        name = raw_name.decode("latin-1").lower()
        if name not in SINGLE_HEADERS:
            continue
        if name in values:
            return result.Failure(
                verdicts.not_run(
                    "duplicate-header",
                    400,
                    f"{name} occurs more than once, allowed is one",
                )
            )
        values[name] = raw_value.decode("latin-1")
    return result.Success(values)


def id_for_claim_lookup(pairs: HeaderPairs, clock: types.Clock) -> str:
    """Returns the request id whose claim decides a refusal's verdict, or "".

    It is returned even if other headers are invalid. A request counts as
    non-idempotent unless exactly one header declares it idempotent.
    """
    pairs = [(name.lower(), value) for name, value in pairs]
    flags = [v for name, v in pairs if name == IDEMPOTENT.encode()]
    ids = [v for name, v in pairs if name == REQUEST_ID.encode()]
    if flags == [b"true"] or not ids:
        return ""
    return (
        request_ids.parse_request_id(ids[0].decode("latin-1"), clock.wall())
        .map(lambda parsed: parsed.text)
        .value_or("")
    )


def parse_key(
    text: str | None,
) -> result.Result[str | None, verdicts.Refusal]:
    """Returns the key in an authorization header; None without a header."""
    if text is None:
        return result.Success(None)
    scheme, _, key = text.partition(" ")
    if scheme.lower() != "bearer" or not key or not key.isascii():
        return result.Failure(
            verdicts.not_run(
                "malformed-key",
                401,
                f"{KEY} is malformed, allowed is 'Bearer KEY' in ASCII",
            )
        )
    return result.Success(key)


def parse_size(
    text: str | None,
) -> result.Result[types.Size, verdicts.Refusal]:
    """Parses a size such as `cores=1;memory_mb=512`; omitted parts are 0."""
    if not text:
        return _DEFAULT_SIZE
    values: dict[str, float] = {}
    for part in text.split(";"):
        name, _, value = (piece.strip() for piece in part.partition("="))
        if name not in _SIZE_PARTS:
            nearest = difflib.get_close_matches(name, _SIZE_PARTS, 1)
            hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
            return _malformed(SIZE, part, ", ".join(_SIZE_PARTS) + hint)
        pattern, max_value = _SIZE_PARTS[name]
        if name in values:
            return _malformed(SIZE, part, f"one {name}")
        if not re.fullmatch(pattern, value) or float(value) > max_value:
            return _malformed(SIZE, part, f"{name}=0 to {name}={max_value}")
        values[name] = float(value)
    return result.Success(
        types.Size(
            values.get("cores", 0.0),
            int(values.get("memory_mb", 0)),
            int(values.get("accelerators", 0)),
        )
    )


def _parse_id(
    text: str | None, idempotent: bool, clock: types.Clock
) -> result.Result[str, verdicts.Refusal]:
    if text is not None:
        return request_ids.parse_request_id(text, clock.wall()).map(
            lambda parsed: parsed.text
        )
    if idempotent:
        return result.Success(request_ids.new_request_id(clock.wall()))
    return result.Failure(
        verdicts.not_run(
            "request-id-missing",
            400,
            f"{REQUEST_ID} is missing; it is required unless "
            f"{IDEMPOTENT} is true",
        )
    )


def _parse_bool(
    name: str, text: str | None
) -> result.Result[bool, verdicts.Refusal]:
    if text not in (None, "true", "false"):
        return _malformed(name, text or "", "true or false")
    return result.Success(text == "true")


def _parse_integers(
    values: dict[str, str],
) -> result.Result[tuple[int | None, int | None, int | None], verdicts.Refusal]:
    """Returns the body length in bytes, the deadline and run time in ms."""
    numbers: list[int | None] = []
    for name, min_value, max_value in _INTEGER_HEADERS:
        text = values.get(name)
        if text is None:
            numbers.append(None)
        elif _DIGITS.fullmatch(text) and min_value <= int(text) <= max_value:
            numbers.append(int(text))
        else:
            allowed = f"a whole number from {min_value} to {max_value}"
            return _malformed(name, text, allowed)
    length, deadline_ms, run_ms = numbers
    return result.Success((length, deadline_ms, run_ms))


def _prefers_async(pairs: HeaderPairs) -> bool:
    """Returns whether a `prefer` header asks for an asynchronous answer."""
    return any(
        preference.strip().lower() == b"respond-async"
        for name, value in pairs
        if name.lower() == b"prefer"
        for preference in value.split(b",")
    )


def _malformed(
    name: str, value: str, allowed: str
) -> result.Result[typing.Any, verdicts.Refusal]:
    reason = f"malformed-{name.removeprefix('chervillead-')}"
    return result.Failure(
        verdicts.not_run(
            reason,
            400,
            f"{name} has {value[:_MAX_ECHOED_CHARACTERS]!r}, "
            f"allowed is {allowed}",
        )
    )
