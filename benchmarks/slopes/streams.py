"""Slopes of the bytes and frames between entry hosts."""

from collections import abc
import functools

from benchmarks.slopes import dispatch
from benchmarks.slopes import line
from chervillead import types
from chervillead import verdicts
from chervillead.entries import codec
from chervillead.entries import config_sync
from chervillead.entries import membership
from chervillead.entries import messages
from stand_ins import dispatch_zones

# The design size states no number of entry hosts: the largest fleet here has
# 198, as the benchmark of the spread has 200.
HOSTS_A_ZONE = (1, 2, 3, 22)
REQUEST_RATES = (100, 400, 1_600)
REQUEST_ID = "01939c3e-7a3b-7cc2-9b1d-5f7f6a1f0c01"


def frame_bytes(message: messages.Message) -> int:
    """Returns the bytes of a frame with a number of usual length."""
    return len(codec.encode_frame(codec.Frame(100_000, 0, message)))


def open_streams(hosts_a_zone: int, *, is_dispatcher: bool) -> int:
    """Returns the streams of a host in a fleet of nine zones.

    The rules are those of `config_sync.peers_to_dial`, which needs settings.
    """
    hosts = {
        f"zone-{zone}": [f"entry-{zone}-{n}" for n in range(hosts_a_zone)]
        for zone in range(line.ZONES)
    }
    peers = line.ZONES * hosts_a_zone - 1
    if peers <= config_sync.FULL_MESH_PEERS:
        return 2 * peers
    own = "entry-0-0" if is_dispatcher else "entry-0-1"
    leaders = [names[0] for names in hosts.values()]
    dialled = {
        name: {
            *config_sync.select_sync_peers(name, zone, hosts),
            *hosts[zone],
            *leaders,
        }
        - {name}
        for zone, names in hosts.items()
        for name in names
    }
    accepted = sum(own in wanted for wanted in dialled.values())
    return len(dialled[own]) + accepted


def heartbeat(teams: int, *, is_dispatcher: bool) -> messages.Heartbeat:
    """Returns a heartbeat with all queues and `teams` that lack units."""
    if not is_dispatcher:
        return messages.Heartbeat(1_000_000, 150, False, {}, {})
    free = {f"queue-{n}": 1_000 for n in range(line.POOLS)}
    short = {f"team-{n}": 300 for n in range(teams)}
    loads = {
        f"queue-{n}": messages.QueueLoad(300, 300, 20_000)
        for n in range(line.POOLS if teams else 0)
    }
    return messages.Heartbeat(1_000_000, 150, False, free, short, {}, loads)


def measure_heartbeats() -> abc.Iterator[line.Slope]:
    """Yields bytes sent a second and processor time of heartbeats.

    Two hosts of a full mesh have two streams, and both carry heartbeats.
    """
    for name, beat, is_dispatcher in (
        ("of a standby", heartbeat(0, is_dispatcher=False), False),
        ("of a dispatcher", heartbeat(0, is_dispatcher=True), True),
        (
            "of a dispatcher, 74 teams short",
            heartbeat(line.TEAMS, is_dispatcher=True),
            True,
        ),
    ):
        streams = [
            open_streams(hosts, is_dispatcher=is_dispatcher)
            for hosts in HOSTS_A_ZONE
        ]
        rate = 1 / membership.HEARTBEAT_INTERVAL_S
        yield line.Slope(
            f"heartbeats {name}: sent",
            "streams",
            "KB/s",
            tuple((n, n * rate * frame_bytes(beat) / 1e3) for n in streams),
            streams[-1],
            line.MAX_KB_PER_S,
        )
    yield _heartbeat_time()
    yield line.Slope(
        "heartbeats: frame of a dispatcher, all teams short",
        "teams",
        "B",
        line.measure_points(
            (9, 18, 37, 74),
            lambda teams: frame_bytes(heartbeat(teams, is_dispatcher=True)),
        ),
        line.TEAMS,
    )


def _heartbeat_time() -> line.Slope:
    """Returns the time to make and encode heartbeats and to decode peers'."""
    part = dispatch.fleet_dispatcher(line.HOSTS)
    beat = heartbeat(line.TEAMS, is_dispatcher=True)
    received = codec.encode_frame(
        codec.Frame(1, 0, heartbeat(0, is_dispatcher=False))
    )[4:]

    def percent(streams: int) -> float:
        def turn() -> None:
            part.free_slots()
            part.unit_shortages()
            for _ in range(streams):
                codec.encode_frame(codec.Frame(1, 0, beat))
                codec.decode_payload(received)

        return (
            line.processor_s(turn, 50) / membership.HEARTBEAT_INTERVAL_S * 100
        )

    streams = [open_streams(n, is_dispatcher=True) for n in HOSTS_A_ZONE]
    return line.Slope(
        "heartbeats of a dispatcher: make, encode, decode",
        "streams",
        "% core",
        line.measure_points(streams, percent),
        streams[-1],
        line.MAX_CORE_PERCENT,
    )


def request_frames(*, is_claimed: bool) -> list[messages.Message]:
    """Returns what one granted request sends, from a real dispatcher."""
    part = dispatch.fleet_dispatcher(1_000)
    register = dispatch_zones.register(
        f"{REQUEST_ID}/100000",
        team="team-0",
        queue="queue-0",
        size=types.Size(1.0, 2048, 0),
    )
    granted = part.register("entry-x", register)
    if not isinstance(granted, messages.Granted):
        raise ValueError(f"the benchmark's request was not granted: {granted}")
    release = messages.Release(
        granted.grant_id, started=True, failed=False, run_ms=20_000
    )
    frames: list[messages.Message] = [register, granted, release]
    if is_claimed:
        answer = types.Answer(200, "application/json", b"x" * 1024)
        claim = messages.Claim(REQUEST_ID, 2**63, "entry-x", "team-0", 1)
        state = messages.ClaimState(
            REQUEST_ID, messages.CLAIM_ACCEPTED, "entry-x", None, None, "team-0"
        )
        finished = messages.Finished(
            REQUEST_ID, verdicts.Verdict.RAN, answer, 1
        )
        frames += [claim, state, finished]
    return frames


def measure_requests() -> abc.Iterator[line.Slope]:
    """Yields frames and bytes a second at a leader by request rate."""
    for name, is_claimed in (("idempotent", False), ("claimed", True)):
        frames = request_frames(is_claimed=is_claimed)
        size = sum(map(frame_bytes, frames))
        for figure, unit in ((len(frames), "frames/s"), (size / 1e3, "KB/s")):
            yield line.Slope(
                f"streams: {name} requests of other hosts",
                "requests/s",
                unit,
                tuple((rate, rate * figure) for rate in REQUEST_RATES),
                REQUEST_RATES[-1],
            )


@functools.cache
def _holding(number: int) -> messages.HeldGrant:
    return messages.HeldGrant(
        f"entry-zone-0.19397c3e7a3.{number}",
        f"{REQUEST_ID[:-6]}{number:06x}",
        f"host-{number % line.HOSTS}",
        f"queue-{number % line.POOLS}",
        f"team-{number % line.TEAMS}",
        types.Size(1.0, 2048, 1),
    )


def measure_hand_over() -> abc.Iterator[line.Slope]:
    """Yields the frames of a hand-over and of a report of holdings."""
    slots = line.HOSTS // line.ZONES * 8

    def hand_over_mb(grants: int) -> float:
        held = {"entry-x": [_holding(n) for n in range(grants)]}
        return frame_bytes(messages.Handover("zone-0", held, [])) / 1e6

    def report_mb(waiting: int) -> float:
        listed = [
            dispatch_zones.register(f"{REQUEST_ID}/{n}", team="team-0")
            for n in range(waiting)
        ]
        return frame_bytes(messages.HeldGrantsReport([], listed)) / 1e6

    for name, axis, sizes, figure in (
        (
            "hand-over: held grants in one frame",
            "grants",
            (1_000, 4_000, slots, 32_000),
            hand_over_mb,
        ),
        (
            "holdings: waiting requests in one frame",
            "requests",
            (1_000, 4_000, 16_000, line.POOLS * 1_000),
            report_mb,
        ),
    ):
        yield line.Slope(
            name,
            axis,
            "MB",
            line.measure_points(sizes, figure),
            slots if axis == "grants" else line.POOLS * 1_000,
            codec.MAX_FRAME_BYTES / 1e6,
        )
