"""Interprets a dispatcher's decision on the entry host that registered."""

from collections import abc

from chervillead import types
from chervillead import verdicts
from chervillead.entries import dispatcher_choice
from chervillead.entries import grant_waiters
from chervillead.entries import messages
from chervillead.entries import refusals


def may_retry_elsewhere(
    pending: grant_waiters.PendingGrant,
    refused: messages.Refused,
    views: abc.Iterable[dispatcher_choice.DispatcherView],
    now_s: float,
) -> bool:
    """Returns whether another dispatcher may grant a refused request.

    Args:
        pending: The request.
        refused: Refusal by one dispatcher.
        views: Dispatchers that may serve the request.
        now_s: Monotonic time.
    """
    if refused.reason in refusals.ZONE_UNAVAILABLE_REASONS:
        return True
    return refused.reason in refusals.ZONE_BUSY_REASONS and (
        bool(pending.registered)
        or any(
            view.free_slots > 0
            and pending.backoff_until.get(view.entry_host, 0.0) <= now_s
            for view in views
        )
    )


def grant(
    request: types.Request,
    dispatcher: str,
    granted: messages.Granted,
    now_s: float,
) -> types.Grant:
    """Returns the grant that a dispatcher has sent, with a local deadline."""
    return types.Grant(
        granted.grant_id,
        request.request_id,
        dispatcher,
        granted.upstream,
        now_s + granted.start_by_ms / 1000,
        granted.lease_ms / 1000,
    )


def refusal(decision: messages.Refused) -> verdicts.Refusal:
    """Returns a dispatcher's refusal, with the verdict "not run"."""
    return verdicts.not_run(
        decision.reason,
        decision.status,
        decision.detail,
        retry_after_s=decision.retry_after_ms / 1000 or None,
    )
