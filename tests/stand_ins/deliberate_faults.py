"""Deliberate faults in the code under test, which show that checks can fail."""

from collections import abc
import contextlib
import typing
from unittest import mock

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.callers import credentials
from chervillead.entries import capacity
from chervillead.entries import claims
from chervillead.entries import messages
from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import team_units
from chervillead.upstreams import connections
from stand_ins import local_fleet


def _accept_every_claim(
    table: claims.ClaimTable, message: messages.Claim
) -> messages.ClaimState:
    return messages.ClaimState(
        message.request_id, messages.CLAIM_ACCEPTED, message.owner
    )


def _report_lost_call_as_not_run(
    reason: str, status: int, detail: str
) -> connections.CallOutcome:
    return result.Failure(verdicts.not_run(reason, status, detail))


def _accept_any_answer(
    call: connections.Call, response: typing.Any
) -> connections.CallOutcome:
    return result.Success(response)


def _use_whole_limit(
    configuration: configuration_module.Configuration, team: str, zone: str
) -> int:
    return configuration.teams[team].limit if team else 0


def _authorize_withdrawn(
    configuration: configuration_module.Configuration, *arguments: typing.Any
) -> result.Result[str, verdicts.Refusal]:
    keys = {
        name: key._replace(withdrawn=False)
        for name, key in configuration.keys.items()
    }
    return _AUTHORIZE(configuration._replace(keys=keys), *arguments)


def _authorize_for_first_team(
    configuration: configuration_module.Configuration, *arguments: typing.Any
) -> result.Result[str, verdicts.Refusal]:
    first = next(iter(local_fleet.TEAM_KEYS))
    return _AUTHORIZE(configuration, *arguments).map(lambda team: first)


class _AlternatingAuthorizer:
    """Ignores the withdrawal of keys in every other call."""

    def __init__(self) -> None:
        self._count = 0

    def authorize(
        self, *arguments: typing.Any
    ) -> result.Result[str, verdicts.Refusal]:
        self._count += 1
        if self._count % 2:
            return _authorize_withdrawn(*arguments)
        return _AUTHORIZE(*arguments)


_AUTHORIZE = credentials.authorize


def _pick_from_any_pool(
    zone_capacity: capacity.ZoneCapacity, pool: str, size: types.Size
) -> typing.Any:
    found = (_PICK(zone_capacity, other, size) for other in local_fleet.QUEUES)
    return next((host for host in found if host is not None), None)


_PICK = capacity.ZoneCapacity.pick
_NO_USAGE = budgets.BudgetUsage(0, frozenset(), frozenset())

# Owner, name and replacement of the functions that each fault replaces.
FAULTS: dict[str, tuple[tuple[typing.Any, str, typing.Any], ...]] = {
    "accepts every claim": ((claims.ClaimTable, "claim", _accept_every_claim),),
    "reports a lost call as not run": (
        (connections, "_failed_after_write", _report_lost_call_as_not_run),
    ),
    "accepts any answer": ((connections, "_check_echo", _accept_any_answer),),
    "uses the whole limit in each zone": (
        (team_units, "zone_units", _use_whole_limit),
    ),
    "starts tasks in zones out of service": (
        (
            configuration_module,
            "is_zone_in_service",
            lambda configuration, zone: True,
        ),
    ),
    "accepts withdrawn keys": (
        (credentials, "authorize", _authorize_withdrawn),
    ),
    "accepts keys for another team": (
        (credentials, "authorize", _authorize_for_first_team),
    ),
    "reverts to older keys": (
        (credentials, "authorize", _AlternatingAuthorizer().authorize),
    ),
    "picks hosts of any pool": (
        (capacity.ZoneCapacity, "pick", _pick_from_any_pool),
    ),
    "counts nothing against a budget": (
        (budgets, "budget_usage", lambda *arguments, **options: _NO_USAGE),
    ),
    "schedules tasks on unavailable hosts": (
        (configuration_module, "is_host_schedulable", lambda state, name: True),
    ),
}


@contextlib.contextmanager
def applied(name: str) -> abc.Iterator[None]:
    """Applies a fault of `FAULTS` in the context; none if the name is empty."""
    if not name:
        yield
        return
    with contextlib.ExitStack() as patches:
        for owner, attribute, replacement in FAULTS[name]:
            patches.enter_context(
                mock.patch.object(owner, attribute, replacement)
            )
        yield
