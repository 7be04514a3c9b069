"""Settings of one entry host, read from YAML and validated.

Settings hold the identity and the addresses of the process. The configuration
of the fleet is not part of them: operators publish it to the platform's log.
"""

from collections import abc
import difflib
import ipaddress
import pathlib
import re
import typing

import msgspec
from returns import result
import yaml

from chervillead import error_texts
from chervillead import types


class Peer(typing.NamedTuple):
    """An entry host to connect to at the start; the log names the others."""

    host: str
    address: types.Address


class PlatformSettings(typing.NamedTuple):
    """How to reach the platform's service.

    Attributes:
        address: IP address and port of the service of log and host list.
        timeout_s: Timeout of one call, in seconds.
    """

    address: types.Address
    timeout_s: float = 2.0


class Settings(typing.NamedTuple):
    """All settings of an entry host.

    Attributes:
        host: Name of this entry host.
        zone: Availability zone of the host.
        callers: Address on which it listens for callers.
        entries: Address on which it listens for other entry hosts.
        platform: How to reach the platform's service.
        peers: Entry hosts to connect to at the start.
        statsd: Address to which metrics are sent; None disables them.
        stop_delay_s: Time during which a stopping host still accepts requests,
            because load balancers stop sending with a delay, in seconds.
        memory_mb: Memory of the machine; requests may hold a quarter of it.
        max_fds: Descriptors of the machine; clients may use half of them.
        burn_period_s: Time between two burn records of this host, in seconds.
    """

    host: str
    zone: str
    callers: types.Address
    entries: types.Address
    platform: PlatformSettings
    peers: tuple[Peer, ...] = ()
    statsd: types.Address | None = None
    stop_delay_s: float = 3.0
    memory_mb: int = 256
    max_fds: int = 4096
    burn_period_s: int = 300


class SettingProblem(typing.NamedTuple):
    """An invalid setting: its path, the value found and what is allowed."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}; allowed: {self.allowed}"


class Range(typing.NamedTuple):
    """Allowed values of a setting.

    Attributes:
        low: Lowest allowed value.
        high: Highest allowed value.
        unit: Unit of the value; of the length for texts and lists.
    """

    low: float
    high: float
    unit: str

    def __str__(self) -> str:
        return f"{self.low:g} to {self.high:g} {self.unit}"


class Setting(typing.NamedTuple):
    """One setting as docs/settings.md lists it."""

    path: str
    allowed: str
    default: str


_NAME = Range(1, 64, "characters")
_PORT = Range(1, types.MAX_PORT, "(port number)")
IP_ADDRESS = "an IP address"
_TYPE_NAMES: dict[type, str] = {
    str: "a text",
    int: "a whole number",
    float: "a number",
}

# By path, with [] for an index. IP addresses have no range.
RANGES: dict[str, Range] = {
    "$.host": _NAME,
    "$.zone": _NAME,
    "$.callers.port": _PORT,
    "$.entries.port": _PORT,
    "$.platform.address.port": _PORT,
    "$.platform.timeout_s": Range(0.05, 60, "s"),
    "$.peers": Range(0, 1000, "items"),
    "$.peers[].host": _NAME,
    "$.peers[].address.port": _PORT,
    "$.statsd.port": _PORT,
    "$.stop_delay_s": Range(0, 60, "s"),
    "$.memory_mb": Range(32, 524288, "MB"),
    "$.max_fds": Range(64, 524288, "descriptors"),
    "$.burn_period_s": Range(1, 3600, "s"),
}


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, list[SettingProblem]]:
    """Reads and checks the settings in a YAML file.

    Args:
        path: File to read.

    Returns:
        The settings, or all problems found in them.
    """
    try:
        document = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        problem = SettingProblem(str(path), str(error), "a YAML file")
        return result.Failure([problem])
    return check_settings(document)


def check_settings(
    document: object,
) -> result.Result[Settings, list[SettingProblem]]:
    """Checks a parsed YAML document; returns settings or all problems."""
    problems = list(_check_value(document, Settings, "$"))
    if problems:
        return result.Failure(problems)
    return result.Success(_build(document, Settings))


def describe_settings() -> list[Setting]:
    """Returns every setting with its allowed values and default, by path."""
    return list(_describe(Settings, "$"))


def _describe(
    expected: typing.Any, path: str, default: object = None
) -> abc.Iterator[Setting]:
    expected = _strip_optional(expected, value=...)
    if typing.get_origin(expected) is tuple:
        yield Setting(path, str(RANGES[path]), "none")
        item_type = typing.get_args(expected)[0]
        yield from _describe(item_type, f"{path}[]", "required")
    elif hasattr(expected, "_fields"):
        hints = typing.get_type_hints(expected)
        for name in expected._fields:
            found = expected._field_defaults.get(name, default or "required")
            found = "none" if found is None else found
            yield from _describe(hints[name], f"{path}.{name}", found)
    else:
        allowed = str(RANGES[path]) if path in RANGES else IP_ADDRESS
        yield Setting(path, allowed, str(default))


def _check_value(
    value: object, expected: typing.Any, path: str
) -> abc.Iterator[SettingProblem]:
    """Yields the problems of `value` as a value of the type `expected`."""
    expected = _strip_optional(expected, value)
    if expected is None:
        return
    allowed_range = RANGES.get(re.sub(r"\[\d+\]", "[]", path))
    if typing.get_origin(expected) is tuple:
        if not isinstance(value, list):
            yield SettingProblem(path, _got(value), "a list")
            return
        displayed = f"{len(value)} items"
        yield from _check_range(len(value), allowed_range, path, displayed)
        for index, item in enumerate(value):
            yield from _check_value(
                item, typing.get_args(expected)[0], f"{path}[{index}]"
            )
    elif hasattr(expected, "_fields"):
        yield from _check_mapping(value, expected, path)
    else:
        yield from _check_scalar(value, expected, path, allowed_range)


def _check_scalar(
    value: object,
    expected: type,
    path: str,
    allowed_range: Range | None,
) -> abc.Iterator[SettingProblem]:
    try:
        converted: typing.Any = msgspec.convert(value, expected)
    except msgspec.ValidationError:
        allowed = _describe_allowed(expected, allowed_range)
        yield SettingProblem(path, _got(value), allowed)
        return
    if allowed_range is not None:
        size = len(converted) if isinstance(converted, str) else converted
        yield from _check_range(size, allowed_range, path, repr(value))
    else:
        yield from _check_ip(value, path)


def _check_range(
    size: float, allowed: Range | None, path: str, displayed: str
) -> abc.Iterator[SettingProblem]:
    """Yields a problem unless `size` is in its range."""
    if allowed is not None and not allowed.low <= size <= allowed.high:
        yield SettingProblem(path, f"got {displayed}", str(allowed))


def _describe_allowed(expected: typing.Any, allowed_range: Range | None) -> str:
    """Describes the allowed values of a setting."""
    if hasattr(expected, "_fields"):
        return f"a mapping with {', '.join(expected._fields)}"
    if allowed_range is None:
        return IP_ADDRESS
    return f"{_TYPE_NAMES[expected]}, {allowed_range}"


def _check_mapping(
    value: object, expected: typing.Any, path: str
) -> abc.Iterator[SettingProblem]:
    names = expected._fields
    if not isinstance(value, dict):
        allowed = _describe_allowed(expected, None)
        yield SettingProblem(path, _got(value), allowed)
        return
    for name in value:
        if name not in names:
            nearest = difflib.get_close_matches(str(name), names, 1)
            hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
            yield SettingProblem(
                f"{path}.{name}", "unknown name", ", ".join(names) + hint
            )
    hints = typing.get_type_hints(expected)
    for name in names:
        field_path = f"{path}.{name}"
        if name in value:
            yield from _check_value(value[name], hints[name], field_path)
        elif name not in expected._field_defaults:
            generic_path = re.sub(r"\[\d+\]", "[]", field_path)
            allowed = _describe_allowed(hints[name], RANGES.get(generic_path))
            yield SettingProblem(field_path, "missing", allowed)


def _check_ip(value: object, path: str) -> abc.Iterator[SettingProblem]:
    """Yields a problem unless `value` is an IP address."""
    try:
        ipaddress.ip_address(str(value))
    except ValueError:
        yield SettingProblem(path, _got(value), IP_ADDRESS)


def _strip_optional(expected: typing.Any, value: object) -> typing.Any:
    """Returns the type without None; None if `value` is an allowed None."""
    options = typing.get_args(expected)
    if type(None) not in options:
        return expected
    if value is None:
        return None
    return next(option for option in options if option is not type(None))


def _build(value: typing.Any, expected: typing.Any) -> typing.Any:
    """Converts validated mappings to named tuples."""
    expected = _strip_optional(expected, value)
    if expected is None:
        return None
    if typing.get_origin(expected) is tuple:
        item_type = typing.get_args(expected)[0]
        return tuple(_build(item, item_type) for item in value)
    if not hasattr(expected, "_fields"):
        return msgspec.convert(value, expected)
    hints = typing.get_type_hints(expected)
    return expected(
        **{name: _build(item, hints[name]) for name, item in value.items()}
    )


def _got(value: object) -> str:
    return f"got {error_texts.shorten(value)}"
