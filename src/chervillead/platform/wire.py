"""Decodes bodies and records of the platform into typed values.

Others write to the same topics, so any bytes may arrive. Whatever they are, a
decoder returns a value of its type or says why it can't.
"""

import typing

import msgspec
from returns import result

from chervillead import error_texts

# Field types that admit no value that the platform's services can't have.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=1000)]

_Value = typing.TypeVar("_Value")


class Malformed(typing.NamedTuple):
    """Bytes that can't be decoded; the detail is for logs."""

    detail: str


class ResourceFields(typing.TypedDict, total=False):
    """Amounts of resources; a missing one is 0."""

    Cpu: Count
    MemMb: Count
    Gpu: Count


def malformed(error: object) -> Malformed:
    """Returns why bytes can't be decoded, as a text of limited length."""
    return Malformed(error_texts.shorten_text(str(error)))


def decode(
    decoder: msgspec.json.Decoder[_Value], data: bytes
) -> result.Result[_Value, Malformed]:
    """Returns the value that some bytes encode, or why there is none."""
    try:
        return result.Success(decoder.decode(data))
    # Deeply nested values exceed the recursion limit, even in unknown fields.
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Failure(malformed(error))
