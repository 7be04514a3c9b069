"""Client of the dispatchers: registers requests, waits for and releases grants.

An entry host may register a request with the dispatchers of several zones; the
first grant wins.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import decisions
from chervillead.entries import dispatcher_choice
from chervillead.entries import grant_waiters
from chervillead.entries import messages

REGISTER_TIMEOUT_S = 0.5

# Waiting requests look for reachable dispatchers and free slots at the interval
# of heartbeats, which report them.
RECHECK_INTERVAL_S = 0.25

# Backoff for a dispatcher that refused or didn't reply.
RETRY_DELAY_S = 0.5

# A dispatcher that restarted has lost the registration. Otherwise registering
# again has no effect.
REREGISTER_INTERVAL_S = 2.0

# Must exceed a takeover: 2 s until the silence is detected and 3 s until the
# new dispatcher is active.
NO_DISPATCHER_TIMEOUT_S = 6.0

# A lease renewal can be in flight when its sender gives up. It takes at most
# the renewal interval, a third of a lease.
LEASE_EXPIRY_FACTOR = 4 / 3

Ask = abc.Callable[
    [str, messages.Message, float],
    abc.Awaitable[result.Result[messages.Message, verdicts.Refusal]],
]


class DispatchPorts(typing.NamedTuple):
    """Functions that `acquire` and `release` need from the process.

    Attributes:
        ask: Sends a message to an entry host and returns its reply.
        post: Sends a message without a reply.
        dispatchers: Returns the dispatchers that may serve a request.
        waiters: Requests of this host that wait for a grant.
        clock: Source of time.
        may_start: Returns whether work may start on an upstream according to
            the newest configuration.
        register_locally: Registers with the dispatcher on this host and returns
            the host and its decision; None if another host dispatches this
            zone.
    """

    ask: Ask
    post: grant_waiters.Post
    dispatchers: abc.Callable[
        [types.Request], abc.Sequence[dispatcher_choice.DispatcherView]
    ]
    waiters: grant_waiters.GrantWaiters
    clock: types.Clock
    may_start: abc.Callable[[types.Upstream], bool] = lambda upstream: True
    register_locally: abc.Callable[
        [messages.Register], tuple[str, messages.Message] | None
    ] = lambda register: None


async def acquire(
    request: types.Request, ports: DispatchPorts
) -> result.Result[types.Grant, verdicts.Refusal]:
    """Waits until a dispatcher grants a slot to `request`.

    Returns:
        The grant, or a refusal; its verdict is always "not run".
    """
    pending = ports.waiters.open(request)
    winner: types.Grant | None = None
    try:
        winner = _grant_locally(pending, request, ports)
        if winner is not None:
            return result.Success(winner)
        left_s = request.deadline_s - ports.clock.monotonic()
        async with asyncio.timeout(max(0.0, left_s)):
            outcome = await _first_grant(pending, request, ports)
        winner = outcome.value_or(None)
        return outcome
    except TimeoutError:
        return result.Failure(
            verdicts.not_run(
                "deadline-exceeded",
                504,
                "no slot became free before the deadline",
            )
        )
    finally:
        ports.waiters.close(pending, winner)


def _grant_locally(
    pending: grant_waiters.PendingGrant,
    request: types.Request,
    ports: DispatchPorts,
) -> types.Grant | None:
    """Returns an immediate grant by the dispatcher on this host, if any.

    This fast path avoids timers and the choice of a dispatcher, which take
    about as long as the grant itself. `_first_grant` handles any other
    decision.
    """
    local_reply = ports.register_locally(pending.register)
    if local_reply is None:
        return None
    dispatcher, decision = local_reply
    if isinstance(decision, messages.Granted) and ports.may_start(
        decision.upstream
    ):
        return decisions.grant(
            request, dispatcher, decision, ports.clock.monotonic()
        )
    pending.registered[dispatcher] = ports.clock.monotonic()
    if isinstance(decision, messages.Granted | messages.Refused):
        pending.decisions.append((dispatcher, decision))
    return None


async def _first_grant(
    pending: grant_waiters.PendingGrant,
    request: types.Request,
    ports: DispatchPorts,
) -> result.Result[types.Grant, verdicts.Refusal]:
    """Registers with dispatchers until one grants or finally refuses."""
    refusal = verdicts.not_run("no-dispatcher", 503, retry_after_s=1.0)
    last_registered_s = ports.clock.monotonic()
    while True:
        views = ports.dispatchers(request)
        _withdraw_from_unreachable(pending, views, ports)
        refused = await _register(pending, views, ports)
        if refused is not None:
            refusal = refused
        now_s = ports.clock.monotonic()
        if pending.registered:
            last_registered_s = now_s
        for dispatcher, decision in _drain_decisions(pending):
            outcome = _apply_decision(
                pending, request, dispatcher, decision, ports
            )
            if outcome is not None:
                return outcome
            if isinstance(decision, messages.Refused):
                refusal = decisions.refusal(decision)
        if now_s - last_registered_s >= NO_DISPATCHER_TIMEOUT_S:
            return result.Failure(refusal)
        await pending.wait(RECHECK_INTERVAL_S)


def _withdraw_from_unreachable(
    pending: grant_waiters.PendingGrant,
    views: abc.Iterable[dispatcher_choice.DispatcherView],
    ports: DispatchPorts,
) -> None:
    """Withdraws from dispatchers that are no longer reachable.

    They are lost, were replaced, or their zone is out of service.
    """
    reachable = {view.entry_host for view in views}
    for dispatcher in set(pending.registered) - reachable:
        del pending.registered[dispatcher]
        ports.waiters.withdraw(pending, dispatcher)


async def _register(
    pending: grant_waiters.PendingGrant,
    views: abc.Iterable[dispatcher_choice.DispatcherView],
    ports: DispatchPorts,
) -> verdicts.Refusal | None:
    """Registers with suitable dispatchers; returns the last failed call."""
    failure = None
    now_s = ports.clock.monotonic()
    for dispatcher, since_s in list(pending.registered.items()):
        if now_s - since_s >= REREGISTER_INTERVAL_S:
            failure = (
                await _register_with(pending, dispatcher, ports) or failure
            )
    while not pending.decisions:
        now_s = ports.clock.monotonic()
        candidates = [
            view
            for view in views
            if pending.backoff_until.get(view.entry_host, 0.0) <= now_s
        ]
        view = dispatcher_choice.next_dispatcher(
            candidates, pending.registered, len(pending.registered)
        )
        if view is None:
            break
        failure = (
            await _register_with(pending, view.entry_host, ports) or failure
        )
    return failure


async def _register_with(
    pending: grant_waiters.PendingGrant, dispatcher: str, ports: DispatchPorts
) -> verdicts.Refusal | None:
    """Registers with one dispatcher; returns a refusal if it didn't reply."""
    pending.registered[dispatcher] = ports.clock.monotonic()
    reply = await ports.ask(
        dispatcher,
        grant_waiters.with_time_left(pending, ports.clock),
        REGISTER_TIMEOUT_S,
    )
    if not pipeline.is_successful(reply):
        del pending.registered[dispatcher]
        pending.backoff_until[dispatcher] = (
            ports.clock.monotonic() + RETRY_DELAY_S
        )
        # The registration may have arrived although no reply did.
        ports.waiters.withdraw(pending, dispatcher)
        return reply.failure()
    decision = reply.unwrap()
    if isinstance(decision, messages.Granted | messages.Refused):
        pending.decisions.append((dispatcher, decision))
    return None


def _drain_decisions(
    pending: grant_waiters.PendingGrant,
) -> abc.Iterator[tuple[str, messages.Granted | messages.Refused]]:
    """Removes and yields the received decisions in order of arrival."""
    while pending.decisions:
        dispatcher, decision = pending.decisions.popleft()
        pending.registered.pop(dispatcher, None)
        yield dispatcher, decision


def _apply_decision(
    pending: grant_waiters.PendingGrant,
    request: types.Request,
    dispatcher: str,
    decision: messages.Granted | messages.Refused,
    ports: DispatchPorts,
) -> result.Result[types.Grant, verdicts.Refusal] | None:
    """Returns the outcome of a decision; None to wait for another one."""
    now_s = ports.clock.monotonic()
    if isinstance(decision, messages.Granted):
        if ports.may_start(decision.upstream):
            return result.Success(
                decisions.grant(request, dispatcher, decision, now_s)
            )
        # The zone or host was taken out of service while the grant was in
        # flight.
        ports.post(dispatcher, grant_waiters.unused_release(decision.grant_id))
    pending.backoff_until[dispatcher] = now_s + RETRY_DELAY_S
    if isinstance(
        decision, messages.Refused
    ) and not decisions.may_retry_elsewhere(
        pending, decision, ports.dispatchers(request), now_s
    ):
        return result.Failure(decisions.refusal(decision))
    return None


def release(
    grant: types.Grant,
    ports: DispatchPorts,
    *,
    verdict: verdicts.Verdict,
    failed: bool,
    run_s: float,
) -> None:
    """Releases a grant to its dispatcher.

    A request that may have run can still be running, because its caller gave up
    or the connection was lost. Its slot and unit are released only after its
    lease, which is no longer renewed, has expired.

    Args:
        grant: The grant.
        ports: Functions of the process.
        verdict: Whether the request ran.
        failed: Whether the upstream failed the request.
        run_s: How long it ran.
    """
    started = verdict is not verdicts.Verdict.NOT_RUN
    message = messages.Release(
        grant.grant_id, started, failed, int(run_s * 1000)
    )

    def send_release() -> None:
        ports.waiters.mark_released(grant.grant_id)
        ports.post(grant.dispatcher, message)

    if verdict is verdicts.Verdict.MAY_HAVE_RUN:
        asyncio.get_running_loop().call_later(
            grant.lease_s * LEASE_EXPIRY_FACTOR, send_release
        )
    else:
        send_release()
