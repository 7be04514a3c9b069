"""An entry host's side of dispatch: register, wait for a grant, release."""

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

# A waiting request looks again for reachable dispatchers and free slots as
# often as heartbeats bring news.
RECHECK_S = 0.25

# A dispatcher that refused or didn't reply is asked again after this time.
RETRY_S = 0.5

# A dispatcher that restarted has forgotten the request; registering again has
# no effect otherwise.
REGISTER_AGAIN_S = 2.0

# Longest time without any dispatcher: a takeover takes 2 s of silence and 3 s
# until the new holder is active.
PATIENCE_S = 6.0

# A renewal can be under way when its sender gives up; it takes no longer than
# the interval between renewals, a third of a lease.
LAPSE_LEASES = 4 / 3

Ask = abc.Callable[
    [str, messages.Message, float],
    abc.Awaitable[result.Result[messages.Message, verdicts.Refusal]],
]


class DispatchPorts(typing.NamedTuple):
    """What `acquire` needs from the rest of the process.

    Attributes:
        ask: Sends a message to an entry host and returns its reply.
        post: Sends a message without a reply.
        dispatchers: Returns the dispatchers that may serve a request.
        waiters: Requests of this host that wait.
        clock: Source of time.
        may_start: Whether work may start on an upstream, by the newest state.
        register_locally: Registers with the dispatcher on this host and returns
            its decision; None if another host dispatches this zone.
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
        The grant, or a refusal whose verdict is always "not run".
    """
    pending = ports.waiters.open(request)
    winner: types.Grant | None = None
    try:
        winner = _grant_here(pending, request, ports)
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
                "deadline-exceeded", 504, "no slot became free in time"
            )
        )
    finally:
        ports.waiters.close(pending, winner)


def _grant_here(
    pending: grant_waiters.PendingGrant,
    request: types.Request,
    ports: DispatchPorts,
) -> types.Grant | None:
    """Returns the grant of the dispatcher on this host, if it gives one now.

    Timers and the choice of a dispatcher take about as long as the grant
    itself. Any other decision is left to `_first_grant`.
    """
    here = ports.register_locally(pending.register)
    if here is None:
        return None
    dispatcher, decision = here
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
    """Registers with dispatchers until one grants or refuses for good."""
    refusal = verdicts.not_run("no-dispatcher", 503, retry_after_s=1.0)
    last_hope_s = ports.clock.monotonic()
    while True:
        views = ports.dispatchers(request)
        _forget_unreachable(pending, views, ports)
        refused = await _register(pending, views, ports)
        if refused is not None:
            refusal = refused
        now_s = ports.clock.monotonic()
        if pending.registered:
            last_hope_s = now_s
        for dispatcher, decision in _arrived(pending):
            outcome = _decide(pending, request, dispatcher, decision, ports)
            if outcome is not None:
                return outcome
            if isinstance(decision, messages.Refused):
                refusal = decisions.refusal(decision)
        if now_s - last_hope_s >= PATIENCE_S:
            return result.Failure(refusal)
        await pending.wait(RECHECK_S)


def _forget_unreachable(
    pending: grant_waiters.PendingGrant,
    views: abc.Iterable[dispatcher_choice.DispatcherView],
    ports: DispatchPorts,
) -> None:
    """Withdraws from dispatchers that are lost, replaced or out of service."""
    reachable = {view.entry_host for view in views}
    for dispatcher in set(pending.registered) - reachable:
        del pending.registered[dispatcher]
        ports.waiters.withdraw(pending, dispatcher)


async def _register(
    pending: grant_waiters.PendingGrant,
    views: abc.Iterable[dispatcher_choice.DispatcherView],
    ports: DispatchPorts,
) -> verdicts.Refusal | None:
    """Registers where that can help; returns the last failure to ask."""
    failure = None
    now_s = ports.clock.monotonic()
    for dispatcher, since_s in list(pending.registered.items()):
        if now_s - since_s >= REGISTER_AGAIN_S:
            failure = await _ask(pending, dispatcher, ports) or failure
    while not pending.decisions:
        now_s = ports.clock.monotonic()
        open_views = [
            view
            for view in views
            if pending.backoff_until.get(view.entry_host, 0.0) <= now_s
        ]
        view = dispatcher_choice.next_dispatcher(
            open_views, pending.registered, len(pending.registered)
        )
        if view is None:
            break
        failure = await _ask(pending, view.entry_host, ports) or failure
    return failure


async def _ask(
    pending: grant_waiters.PendingGrant, dispatcher: str, ports: DispatchPorts
) -> verdicts.Refusal | None:
    """Registers with one dispatcher; returns why it could not be asked."""
    pending.registered[dispatcher] = ports.clock.monotonic()
    reply = await ports.ask(
        dispatcher,
        grant_waiters.with_time_left(pending, ports.clock),
        REGISTER_TIMEOUT_S,
    )
    if not pipeline.is_successful(reply):
        del pending.registered[dispatcher]
        pending.backoff_until[dispatcher] = ports.clock.monotonic() + RETRY_S
        # The question may have arrived although no reply did.
        ports.waiters.withdraw(pending, dispatcher)
        return reply.failure()
    decision = reply.unwrap()
    if isinstance(decision, messages.Granted | messages.Refused):
        pending.decisions.append((dispatcher, decision))
    return None


def _arrived(
    pending: grant_waiters.PendingGrant,
) -> abc.Iterator[tuple[str, messages.Granted | messages.Refused]]:
    """Yields the decisions that have arrived, in order."""
    while pending.decisions:
        dispatcher, decision = pending.decisions.popleft()
        pending.registered.pop(dispatcher, None)
        yield dispatcher, decision


def _decide(
    pending: grant_waiters.PendingGrant,
    request: types.Request,
    dispatcher: str,
    decision: messages.Granted | messages.Refused,
    ports: DispatchPorts,
) -> result.Result[types.Grant, verdicts.Refusal] | None:
    """Returns what a decision means; None if another one may follow."""
    now_s = ports.clock.monotonic()
    if isinstance(decision, messages.Granted):
        if ports.may_start(decision.upstream):
            return result.Success(
                decisions.grant(request, dispatcher, decision, now_s)
            )
        # The zone or host was taken out while the grant was on its way.
        ports.post(dispatcher, grant_waiters.unused_release(decision.grant_id))
    pending.backoff_until[dispatcher] = now_s + RETRY_S
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
    """Gives the slot of `grant` back to its dispatcher.

    A request that may have run can still be running: its caller gave up, or the
    connection was lost. Its slot and unit are free only once the lease, which
    nobody renews any more, has lapsed.
    """
    started = verdict is not verdicts.Verdict.NOT_RUN
    message = messages.Release(
        grant.grant_id, started, failed, int(run_s * 1000)
    )

    def give_back() -> None:
        ports.waiters.mark_released(grant.grant_id)
        ports.post(grant.dispatcher, message)

    if verdict is verdicts.Verdict.MAY_HAVE_RUN:
        asyncio.get_running_loop().call_later(
            grant.lease_s * LAPSE_LEASES, give_back
        )
    else:
        give_back()
