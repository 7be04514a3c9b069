"""Loads and validates the settings file that the platform writes."""

import pathlib
import typing

from returns import pipeline
from returns import result
import yaml

from chervillead import error_texts
from chervillead import settings as settings_module
from chervillead import types
from chervillead.callers import request_limiter
from chervillead.jobs import held_jobs
from chervillead.pools import ports as ports_module

SETTINGS_VARIABLE = "CHERVILLEAD_CONFIG"
# The libyaml loader is several times faster than the pure Python one.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


# The smallest machines of the platform have 160 MB and 4,100 descriptors.
DEFAULT_MEMORY_MB = 160
DEFAULT_DESCRIPTORS = 4096
# The largest limit that Linux kernels can be configured for is just below.
MAX_DESCRIPTORS = 2**30
# Below that, the process alone takes up the memory.
MIN_MEMORY_MB = 32
BYTES_PER_MB = 1024 * 1024


class StoreSettings(typing.NamedTuple):
    """Address and limits of the platform's store.

    Attributes:
        address: Address of the store.
        partitions: Number of partitions of each topic.
        max_record_bytes: Maximum size of a record.
        max_call_bytes: Maximum size of the body of an append.
    """

    address: types.Address
    partitions: int
    max_record_bytes: int
    max_call_bytes: int


class EntrySettings(typing.NamedTuple):
    """Settings of an entry host on the platform.

    Attributes:
        host: Name of the entry host.
        zone: Its availability zone.
        callers: Listening address for callers.
        ready: Listening address for the load balancer's readiness probe.
        entries: Listening address for other entry hosts.
        metrics: Listening address for metrics.
        store: Address and limits of the platform's store.
        hosts_service: Address of the service that maintains and moves hosts;
            None if there is none.
        advice: Address of the advisory service; None if there is none.
        limits: Time limits that the platform sets.
        config_max_age_s: Age of the configuration at which calls are refused,
            since a key may have been withdrawn or a queue changed by then.
        stop_grace_s: Time between SIGTERM and SIGKILL.
        cores: Processor time per second that the host provides, in cores.
        request_limits: Limits on what clients make the host hold.
        memory_bytes: Memory of the machine.
        sizes_by_offered_load: Whether pools are sized by the load offered to
            them.
    """

    host: str
    zone: str
    callers: types.Address
    ready: types.Address
    entries: types.Address
    metrics: types.Address
    store: StoreSettings
    hosts_service: types.Address | None
    advice: types.Address | None
    limits: ports_module.Limits
    config_max_age_s: float
    stop_grace_s: float
    cores: float = 1.0
    request_limits: request_limiter.Limits = request_limiter.Limits()
    memory_bytes: int = DEFAULT_MEMORY_MB * BYTES_PER_MB
    sizes_by_offered_load: bool = False


class _SettingError(Exception):
    """A setting is missing or invalid: its path, value and what is valid."""


# A withdrawn key must stop working within the platform's limit; the rest
# of that time is left for calls in progress.
KEYS_MAX_AGE_FRACTION = 0.8
# A version of the configuration may decide about calls that are sent within
# the platform's limit after its successor was stored. The rest of that time
# allows for clocks that differ in rate.
CHANGES_MAX_AGE_FRACTION = 0.95


def load_settings(
    path: pathlib.Path,
) -> result.Result[EntrySettings, settings_module.SettingProblem]:
    """Loads and validates a settings file; unknown settings are ignored."""
    try:
        document = yaml.load(path.read_bytes(), Loader=_Loader)
    except (OSError, yaml.YAMLError) as error:
        return result.Failure(
            settings_module.SettingProblem(
                str(path), str(error), "a readable YAML file"
            )
        )
    return decode_settings(document)


def decode_settings(
    document: object,
) -> result.Result[EntrySettings, settings_module.SettingProblem]:
    """Returns the settings in a parsed file, or the first problem."""
    try:
        return result.Success(_decode(document))
    except _SettingError as error:
        return result.Failure(
            settings_module.SettingProblem(
                *map(error_texts.shorten_text, map(str, error.args))
            )
        )


def _decode(document: object) -> EntrySettings:
    ports = _field(document, "InternalPorts", list)
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise _SettingError(
            "InternalPorts", ports, "the first and the last port"
        )
    ip = _field(document, "Ip", str)
    return EntrySettings(
        host=_field(document, "Node", str),
        zone=_field(document, "Zone", str),
        callers=_address(document, "ListenAddrs.Front"),
        ready=_address(document, "ListenAddrs.ReadyAddr"),
        entries=types.Address(ip, ports[0]),
        metrics=types.Address(ip, ports[0] + 1),
        store=StoreSettings(
            _address(document, "platform.Address"),
            _field(document, "platform.parts", int),
            _field(document, "platform.RecordBytes", int),
            _field(document, "platform.CallBytes", int),
        ),
        hosts_service=_optional_address(document, "Cloud.Address"),
        advice=_optional_address(document, "Advice"),
        limits=_limits(document),
        config_max_age_s=_config_max_age_s(document),
        stop_grace_s=_number(document, "Bounds.GraceS", 6),
        cores=_cores(document),
        request_limits=_request_limits(document),
        memory_bytes=int(_memory_bytes(document)),
        sizes_by_offered_load=_flag(
            document, "Autoscaling.OfferedLoad", default=False
        ),
    )


def _config_max_age_s(document: object) -> float:
    keys_s = _number(document, "Bounds.RevokeMs", 5000) / 1000
    changes_s = _number(document, "Bounds.ConfigMs", float("inf")) / 1000
    return min(
        KEYS_MAX_AGE_FRACTION * keys_s, CHANGES_MAX_AGE_FRACTION * changes_s
    )


def _cores(document: object) -> float:
    # Cores is how many times as fast as one core the processor is; CpuShare is
    # the fraction of that which the host may use.
    speed = _number(document, "Limits.Cores", 1.0)
    return speed * _number(document, "Limits.CpuShare", 1.0)


def _flag(document: object, path: str, *, default: bool) -> bool:
    value = _find(document, path)
    if value is None:
        return default
    if not isinstance(value, bool):
        raise _SettingError(path, value, "true or false")
    return value


def _number_within(
    document: object, path: str, default: float, low: float, high: float
) -> float:
    value = _number(document, path, default)
    if not low <= value <= high:
        raise _SettingError(path, value, f"{low:g} to {high:g}")
    return value


def _memory_bytes(document: object) -> float:
    """Returns the memory of the machine, in bytes."""
    memory_mb = _number_within(
        document, "Limits.MemoryMb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB, 524288
    )
    return memory_mb * BYTES_PER_MB


def _accepted_jobs(document: object) -> held_jobs.Limits:
    def share(path: str, default: float) -> float:
        return _number_within(document, path, default, 0.01, 0.5)

    # The smallest host may become the owner of any pool.
    smallest_mb = _number_within(
        document,
        "AcceptedJobs.SmallestMemoryMb",
        DEFAULT_MEMORY_MB,
        MIN_MEMORY_MB,
        524288,
    )
    memory_bytes = min(smallest_mb * BYTES_PER_MB, _memory_bytes(document))
    pool_share = share("AcceptedJobs.PoolShare", 0.2)
    account_share = share("AcceptedJobs.AccountShare", 0.1)
    host_share = share("AcceptedJobs.HostShare", 0.25)
    return held_jobs.Limits(
        pool_bytes=int(memory_bytes * pool_share),
        account_bytes=int(memory_bytes * account_share),
        host_bytes=int(memory_bytes * host_share),
    )


def _request_limits(document: object) -> request_limiter.Limits:
    def number(path: str, default: float, low: float, high: float) -> float:
        return _number_within(document, path, default, low, high)

    descriptors = number(
        "Limits.MaxFds", DEFAULT_DESCRIPTORS, 64, MAX_DESCRIPTORS
    )
    memory_share = number("RequestLimits.MemoryShare", 0.1, 0.01, 0.5)
    connection_share = number("RequestLimits.ConnectionShare", 0.5, 0.1, 0.8)
    return request_limiter.Limits(
        memory_bytes=int(_memory_bytes(document) * memory_share),
        connections=int(descriptors * connection_share),
        head_timeout_s=number("RequestLimits.HeadTimeoutS", 5.0, 0.1, 60.0),
        body_timeout_s=number("RequestLimits.BodyTimeoutS", 10.0, 0.1, 60.0),
        write_timeout_s=number("RequestLimits.WriteTimeoutS", 10.0, 0.1, 60.0),
    )


def _limits(document: object) -> ports_module.Limits:
    return ports_module.Limits(
        max_lease_ms=int(_number(document, "Bounds.MaxHoldMs", 6000)),
        job_retention_s=_number(document, "Bounds.status_s", 120),
        max_stop_ms=int(_number(document, "Bounds.StopTimeoutMs", 900)),
        maintenance_s=_number(document, "Bounds.MaintenanceS", 2),
        move_s=_number(document, "Bounds.MoveS", 1.5),
        host_lease_s=_number(document, "Bounds.LeaseMs", 3000) / 1000,
        pace_delay_ms=int(_number(document, "Bounds.PaceMs", 100)),
        accepted_jobs=_accepted_jobs(document),
        max_record_bytes=_field(document, "platform.RecordBytes", int),
    )


def _find(document: object, path: str) -> object:
    value = document
    for name in path.split("."):
        if not isinstance(value, dict):
            return None
        value = value.get(name)
    return value


def _field(document: object, path: str, expected: type) -> typing.Any:
    value = _find(document, path)
    if not isinstance(value, expected):
        raise _SettingError(path, value, f"a value of type {expected.__name__}")
    return value


def _number(document: object, path: str, default: float) -> float:
    value = _find(document, path)
    if value is None:
        return default
    if not isinstance(value, int | float) or value < 0:
        raise _SettingError(path, value, "a number of at least 0")
    return float(value)


def _address(document: object, path: str) -> types.Address:
    parsed = types.parse_address(_field(document, path, str))
    if not pipeline.is_successful(parsed):
        raise _SettingError(path, _find(document, path), parsed.failure())
    return parsed.unwrap()


def _optional_address(document: object, path: str) -> types.Address | None:
    return _address(document, path) if _find(document, path) else None
