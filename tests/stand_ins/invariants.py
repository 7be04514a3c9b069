"""Checks of what must always hold, judged from the stand-ins' records.

The evidence is what the platform, the upstreams and the callers saw. Nothing
here reads a counter or a decision of the product. Each check yields a line for
every violation; docs/invariants.md lists the checks with their tests.
"""

import collections
from collections import abc
import typing

from chervillead import types
from chervillead import verdicts

# "Within seconds" in the requirements.
GRACE_S = 5.0
# A host that is isolated so soon after a change may have missed it.
MAX_SPREAD_S = 1.0


class Execution(typing.NamedTuple):
    """One start of a request on an upstream, as the upstream saw it."""

    upstream: str
    request_id: str
    team: str
    queue: str
    started_s: float
    ended_s: float | None
    dispatcher: str = ""


class Submission(typing.NamedTuple):
    """One submission, as its caller saw it.

    Attributes:
        refusal: Set if there was no answer; a broken connection counts as a
            refusal that may have run.
        entry_host: Host that the caller reached.
    """

    request_id: str
    entry_host: str
    key: str
    team: str
    queue: str
    body: bytes
    idempotent: bool
    submitted_s: float
    ended_s: float
    answer: types.Answer | None
    refusal: verdicts.Refusal | None


class Interval(typing.NamedTuple):
    """A state of a subject from `start_s` to `end_s`."""

    subject: str
    start_s: float
    end_s: float


class LimitChange(typing.NamedTuple):
    """A team's limit from a time on, as published."""

    team: str
    at_s: float
    limit: int


class Evidence(typing.NamedTuple):
    """All that a run recorded.

    Attributes:
        executions: Starts on all upstreams.
        submissions: What callers sent and got.
        limits: Published limits.
        withdrawn_keys: When operators withdrew a key.
        zones_out: When operators had zones out.
        isolated: When entry hosts had no path to the platform, neither their
            own nor through other entry hosts. Such a host serves on the last
            configuration that it has, so it can't follow what operators
            publish meanwhile.
        leaving: When upstreams drained or left.
        reboots: When the platform had hosts down for maintenance.
        planned_stops: From SIGTERM to the exit of entry hosts.
        host_zones: Zone of each upstream.
        host_pools: Pool of each upstream over time.
        queue_pools: Pool that serves each queue.
        pool_budgets: Hosts of each pool that may be unavailable at a time.
        open_queues: Queues open to all.
    """

    executions: list[Execution]
    submissions: list[Submission]
    limits: list[LimitChange]
    withdrawn_keys: dict[str, float]
    zones_out: list[Interval]
    isolated: list[Interval]
    leaving: list[Interval]
    reboots: list[Interval]
    planned_stops: list[Interval]
    host_zones: dict[str, str]
    host_pools: dict[str, list[tuple[float, str]]]
    queue_pools: dict[str, str]
    pool_budgets: dict[str, int]
    open_queues: frozenset[str]


Check = abc.Callable[[Evidence], abc.Iterator[str]]


def check_at_most_once(evidence: Evidence) -> abc.Iterator[str]:
    """Yields non-idempotent requests that ran more than once."""
    runs = collections.Counter(e.request_id for e in evidence.executions)
    strict = {s.request_id for s in evidence.submissions if not s.idempotent}
    for request_id in sorted(strict):
        if runs[request_id] > 1:
            yield f"{request_id} ran {runs[request_id]} times"


def check_true_refusal(evidence: Evidence) -> abc.Iterator[str]:
    """Yields refusals as "not run" of requests that had run.

    Only a start before the refusal makes it false: after "not run" the caller
    may submit the same id again.
    """
    starts: dict[str, float] = {}
    for execution in evidence.executions:
        earlier = starts.get(execution.request_id, execution.started_s)
        starts[execution.request_id] = min(earlier, execution.started_s)
    resubmitted = _last_submissions(evidence)
    for submission in evidence.submissions:
        refusal = submission.refusal
        if refusal is None or refusal.verdict is not verdicts.Verdict.NOT_RUN:
            continue
        if submission.idempotent:
            yield from _false_refusals_of_repeats(evidence, submission)
            continue
        start_s = starts.get(submission.request_id, float("inf"))
        is_last = resubmitted[submission.request_id] is submission
        if start_s <= submission.ended_s or (
            is_last and start_s < float("inf")
        ):
            yield (
                f"{submission.request_id} was refused as not run "
                f"({refusal.reason}) and started at {start_s:.3f}"
            )


def _false_refusals_of_repeats(
    evidence: Evidence, submission: Submission
) -> abc.Iterator[str]:
    """Yields starts during an idempotent submission that says "not run".

    Its verdict describes this submission only, so starts at other times don't
    count.
    """
    for execution in evidence.executions:
        if execution.request_id == submission.request_id and (
            submission.submitted_s <= execution.started_s <= submission.ended_s
        ):
            yield (
                f"idempotent {submission.request_id} was refused as not run "
                f"and started at {execution.started_s:.3f}"
            )


def check_own_answer(evidence: Evidence) -> abc.Iterator[str]:
    """Yields answers that aren't the whole answer to their request."""
    for submission in evidence.submissions:
        expected = b"done:" + submission.body
        if submission.answer is None or submission.answer.body == expected:
            continue
        yield (
            f"{submission.request_id} got {submission.answer.body[:40]!r} "
            f"instead of {expected[:40]!r}"
        )


def check_team_limit(evidence: Evidence) -> abc.Iterator[str]:
    """Yields starts that put a team above its upper limit."""
    events: list[tuple[float, int, Execution]] = []
    for execution in evidence.executions:
        end_s = float("inf") if execution.ended_s is None else execution.ended_s
        events.append((execution.started_s, 1, execution))
        events.append((end_s, 0, execution))
    running: collections.Counter[str] = collections.Counter()
    for at_s, is_start, execution in sorted(events, key=lambda e: e[:2]):
        team = execution.team
        running[team] += 1 if is_start else -1
        limit = _limit_in_force(evidence, team, at_s)
        if is_start and team and running[team] > limit:
            yield f"{team} had {running[team]} running at {at_s:.3f}, {limit=}"


def check_zone_out(evidence: Evidence) -> abc.Iterator[str]:
    """Yields starts in a zone that operators took out."""
    for execution in evidence.executions:
        zone = evidence.host_zones[execution.upstream]
        out = _within(evidence.zones_out, zone, execution.started_s)
        if out is not None and not _could_not_know(
            evidence, execution.dispatcher, out.start_s, execution.started_s
        ):
            yield (
                f"{execution.request_id} started on {execution.upstream} at "
                f"{execution.started_s:.3f}, {zone} was out"
            )


def check_leaving(evidence: Evidence) -> abc.Iterator[str]:
    """Yields starts on an upstream that was leaving."""
    for execution in evidence.executions:
        leaving = _within(
            evidence.leaving, execution.upstream, execution.started_s
        )
        if leaving is not None and not _could_not_know(
            evidence,
            execution.dispatcher,
            leaving.start_s,
            execution.started_s,
        ):
            yield (
                f"{execution.request_id} started on leaving "
                f"{execution.upstream} at {execution.started_s:.3f}"
            )


def check_key_team(evidence: Evidence) -> abc.Iterator[str]:
    """Yields executions for another team than that of the key."""
    teams = {s.request_id: s.team for s in evidence.submissions}
    for execution in evidence.executions:
        expected = teams.get(execution.request_id)
        if execution.queue in evidence.open_queues or expected is None:
            continue
        if execution.team != expected:
            yield (
                f"{execution.request_id} ran for {execution.team!r}, its key "
                f"is of {expected!r}"
            )


def check_withdrawn_key(evidence: Evidence) -> abc.Iterator[str]:
    """Yields requests that a withdrawn key still opened."""
    submissions: dict[str, list[Submission]] = {}
    for submission in evidence.submissions:
        submissions.setdefault(submission.request_id, []).append(submission)
    for execution in evidence.executions:
        causes = [
            submission
            for submission in submissions.get(execution.request_id, ())
            if submission.submitted_s <= execution.started_s
        ]
        if not causes:
            continue
        cause = max(causes, key=lambda submission: submission.submitted_s)
        withdrawn_s = evidence.withdrawn_keys.get(cause.key, float("inf"))
        if cause.submitted_s > withdrawn_s + GRACE_S and not _could_not_know(
            evidence, cause.entry_host, withdrawn_s, cause.submitted_s
        ):
            yield (
                f"{execution.request_id} ran, its key was withdrawn at "
                f"{withdrawn_s:.3f}"
            )


def check_graceful_stop(evidence: Evidence) -> abc.Iterator[str]:
    """Yields requests that a planned stop cut.

    A request counts as cut if it was in progress on the stopping host and its
    caller got no definite outcome.
    """
    for stop in evidence.planned_stops:
        for submission in evidence.submissions:
            in_progress = (
                submission.entry_host == stop.subject
                and submission.submitted_s < stop.end_s
                and submission.ended_s >= stop.start_s
            )
            refusal = submission.refusal
            if in_progress and refusal is not None and refusal.status == 0:
                yield f"{submission.request_id} was cut by {stop}"


def check_one_pool(evidence: Evidence) -> abc.Iterator[str]:
    """Yields starts on a host that was in another pool than the queue's."""
    for execution in evidence.executions:
        pool = evidence.queue_pools[execution.queue]
        changes = evidence.host_pools[execution.upstream]
        since_s = execution.started_s - GRACE_S
        allowed = {p for at_s, p in changes if at_s >= since_s}
        before = [p for at_s, p in changes if at_s <= execution.started_s]
        allowed.update(before[-1:])
        if pool not in allowed:
            yield (
                f"{execution.request_id} of {pool} started on "
                f"{execution.upstream}, which was in {sorted(allowed)}"
            )


def check_budget(evidence: Evidence) -> abc.Iterator[str]:
    """Yields reboots that broke the availability budget of a pool.

    Hosts of a zone that operators took out count as unavailable, but taking a
    zone out is the operators' right; only a later reboot can break the budget.
    """
    for reboot in evidence.reboots:
        pool = _pool_at(evidence, reboot.subject, reboot.start_s)
        unavailable = {
            other.subject
            for other in evidence.reboots
            if other.start_s <= reboot.start_s < other.end_s
            and _pool_at(evidence, other.subject, reboot.start_s) == pool
        }
        unavailable.update(
            host
            for host, zone in evidence.host_zones.items()
            if _pool_at(evidence, host, reboot.start_s) == pool
            and _within(evidence.zones_out, zone, reboot.start_s) is not None
        )
        if len(unavailable) > evidence.pool_budgets[pool]:
            yield (
                f"{sorted(unavailable)} of {pool} were unavailable at "
                f"{reboot.start_s:.3f}, budget {evidence.pool_budgets[pool]}"
            )


def check_config(evidence: Evidence) -> abc.Iterator[str]:
    """Yields hosts that went back to an older configuration.

    A key that a host refused because it was withdrawn must never open that
    host again.
    """
    refused_s: dict[tuple[str, str], float] = {}
    for submission in sorted(evidence.submissions, key=lambda s: s.submitted_s):
        place = (submission.entry_host, submission.key)
        refusal = submission.refusal
        withdrawn_s = evidence.withdrawn_keys.get(submission.key, float("inf"))
        # Before that, a host refuses a key that it has not learnt yet.
        if submission.submitted_s < withdrawn_s:
            continue
        if refusal is not None and refusal.reason == "key-refused":
            refused_s.setdefault(place, submission.ended_s)
        elif submission.answer is not None and (
            submission.submitted_s > refused_s.get(place, float("inf"))
        ):
            yield f"{place} accepted {submission.request_id} after a refusal"


CHECKS: dict[str, Check] = {
    "budget": check_budget,
    "one-pool": check_one_pool,
    "key-team": check_key_team,
    "withdrawn-key": check_withdrawn_key,
    "team-limit": check_team_limit,
    "zone-out": check_zone_out,
    "own-answer": check_own_answer,
    "true-refusal": check_true_refusal,
    "at-most-once": check_at_most_once,
    "leaving": check_leaving,
    "graceful-stop": check_graceful_stop,
    "config": check_config,
}


def violations(evidence: Evidence) -> dict[str, list[str]]:
    """Returns the violations of each check that found any."""
    found = {name: list(check(evidence)) for name, check in CHECKS.items()}
    return {name: lines for name, lines in found.items() if lines}


def _last_submissions(evidence: Evidence) -> dict[str, Submission]:
    last: dict[str, Submission] = {}
    for submission in evidence.submissions:
        known = last.get(submission.request_id)
        if known is None or submission.submitted_s >= known.submitted_s:
            last[submission.request_id] = submission
    return last


def _within(
    intervals: list[Interval],
    subject: str,
    at_s: float,
    grace_s: float = GRACE_S,
) -> Interval | None:
    """Returns the interval of a subject that a time lies in, if any."""
    for interval in intervals:
        if interval.subject == subject and (
            interval.start_s + grace_s < at_s < interval.end_s
        ):
            return interval
    return None


def _could_not_know(
    evidence: Evidence, host: str, change_s: float, at_s: float
) -> bool:
    """Returns whether a host was isolated since a change, or has just returned.

    Args:
        evidence: What the run recorded.
        host: Name of an entry host; empty for any.
        change_s: When operators published the change.
        at_s: When the host should have followed it.
    """
    return any(
        interval.start_s <= change_s + MAX_SPREAD_S
        and at_s < interval.end_s + GRACE_S
        for interval in evidence.isolated
        if host in ("", interval.subject)
    )


def _limit_in_force(evidence: Evidence, team: str, at_s: float) -> float:
    """Returns the highest limit that may be in force at a time.

    A lowered limit is in force everywhere only after the grace time, and in an
    isolated zone only after its return.
    """
    changes = [c for c in evidence.limits if c.team == team and c.at_s <= at_s]
    if not changes:
        return float("inf")
    recent = [
        c.limit
        for position, c in enumerate(changes)
        if _may_still_hold(evidence, changes[position + 1 :], at_s)
    ]
    return max(recent)


def _may_still_hold(
    evidence: Evidence, later: list[LimitChange], at_s: float
) -> bool:
    """Returns whether a limit may be in force although others followed it."""
    return all(
        change.at_s > at_s - GRACE_S
        or _could_not_know(evidence, "", change.at_s, at_s)
        for change in later
    )


def _pool_at(evidence: Evidence, host: str, at_s: float) -> str:
    changes = [p for t, p in evidence.host_pools[host] if t <= at_s]
    return changes[-1] if changes else evidence.host_pools[host][0][1]
