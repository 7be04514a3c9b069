"""Checked settings of one entry host, read from YAML.

Settings say who the process is and whom it can reach. What operators decide
for the fleet is not here: it is published to the platform's log.
"""

from collections import abc
import difflib
import ipaddress
import pathlib
import typing

import msgspec
from returns import result
import yaml

from chervillead import types


class Peer(typing.NamedTuple):
    """An entry host to dial at the start; others are learnt from the log."""

    host: str
    address: types.Address


class PlatformSettings(typing.NamedTuple):
    """The platform's service.

    Attributes:
        address: IP number and port of the log and host list.
        timeout_s: Bound of one call, in seconds, from 0.05 to 60.
    """

    address: types.Address
    timeout_s: float = 2.0


class Settings(typing.NamedTuple):
    """All settings of an entry host.

    Attributes:
        host: Name of this entry host.
        zone: Availability zone that it stands in.
        callers: Where it listens for callers.
        entries: Where it listens for other entry hosts.
        platform: The platform's service.
        peers: Entry hosts to dial at the start.
        statsd: Where metrics go; None sends none.
        stop_delay_s: Time that a stopping host still accepts requests, for
            the lag of the balancer; from 0 to 60.
    """

    host: str
    zone: str
    callers: types.Address
    entries: types.Address
    platform: PlatformSettings
    peers: tuple[Peer, ...] = ()
    statsd: types.Address | None = None
    stop_delay_s: float = 3.0


class SettingProblem(typing.NamedTuple):
    """One wrong value: where it stands, what it is, what is allowed."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}; allowed: {self.allowed}"


_RANGES: dict[str, tuple[float, float]] = {
    "$.stop_delay_s": (0.0, 60.0),
    "$.platform.timeout_s": (0.05, 60.0),
}


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, list[SettingProblem]]:
    """Reads and checks the settings in a YAML file.

    Args:
        path: File to read.

    Returns:
        The settings, or every problem found in them.
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
    """Checks settings that were parsed from YAML."""
    problems = list(_check_value(document, Settings, "$"))
    if problems:
        return result.Failure(problems)
    settings = _build(document, Settings)
    problems = list(_check_ranges(settings))
    return result.Failure(problems) if problems else result.Success(settings)


def _check_value(
    value: object, expected: typing.Any, path: str
) -> abc.Iterator[SettingProblem]:
    """Yields the problems of `value` against the type `expected`."""
    expected = _without_none(expected, value)
    if expected is None:
        return
    if typing.get_origin(expected) is tuple:
        if not isinstance(value, list):
            yield SettingProblem(path, f"got {value!r}", "a list")
            return
        for index, item in enumerate(value):
            yield from _check_value(
                item, typing.get_args(expected)[0], f"{path}[{index}]"
            )
    elif hasattr(expected, "_fields"):
        yield from _check_mapping(value, expected, path)
    else:
        try:
            msgspec.convert(value, expected)
        except msgspec.ValidationError:
            yield SettingProblem(path, f"got {value!r}", expected.__name__)
            return
        if path.endswith(".address.host") or path.endswith("s.host"):
            yield from _check_ip(value, path)


def _check_mapping(
    value: object, expected: typing.Any, path: str
) -> abc.Iterator[SettingProblem]:
    names = expected._fields
    if not isinstance(value, dict):
        yield SettingProblem(
            path, f"got {value!r}", f"a mapping with {', '.join(names)}"
        )
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
        if name in value:
            yield from _check_value(value[name], hints[name], f"{path}.{name}")
        elif name not in expected._field_defaults:
            yield SettingProblem(f"{path}.{name}", "missing", str(hints[name]))


def _check_ip(value: object, path: str) -> abc.Iterator[SettingProblem]:
    """Yields a problem unless `value` is an IP number."""
    try:
        ipaddress.ip_address(str(value))
    except ValueError:
        yield SettingProblem(path, f"got {value!r}", "an IP number")


def _check_ranges(settings: Settings) -> abc.Iterator[SettingProblem]:
    values = {
        "$.stop_delay_s": settings.stop_delay_s,
        "$.platform.timeout_s": settings.platform.timeout_s,
    }
    for path, value in values.items():
        low, high = _RANGES[path]
        if not low <= value <= high:
            yield SettingProblem(path, f"got {value!r}", f"{low} to {high}")


def _without_none(expected: typing.Any, value: object) -> typing.Any:
    """Returns the type to check: None if `value` is a permitted None."""
    options = typing.get_args(expected)
    if type(None) not in options:
        return expected
    if value is None:
        return None
    return next(option for option in options if option is not type(None))


def _build(value: typing.Any, expected: typing.Any) -> typing.Any:
    """Returns the named tuples that checked mappings describe."""
    expected = _without_none(expected, value)
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
