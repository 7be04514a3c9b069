"""Lists the values of each kind in the folded log as rows."""

import typing

import msgspec

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.operators import publishing

# Record kinds by the name that the command `show` takes.
KINDS_BY_NAME = {
    "queues": records.QUEUE,
    "teams": records.TEAM,
    "keys": records.KEY,
    "pools": records.POOL,
    "hosts": records.HOST,
    "zones": records.ZONE,
    "seats": records.SEAT,
    "drains": records.DRAIN,
    "moves": records.MOVE,
    "rollouts": records.ROLLOUT,
}


def list_values(
    configuration: configuration_module.Configuration,
    what: str,
    name: str | None = None,
) -> list[dict[str, typing.Any]]:
    """Returns each value with its name and version, sorted by name.

    Args:
        configuration: Folded state.
        what: Name of a kind in `KINDS_BY_NAME`.
        name: Only value to return, or None for all.
    """
    kind = KINDS_BY_NAME[what]
    return [
        {
            "name": subject,
            "version": configuration.versions.get(
                (kind, subject), records.NO_VERSION
            ),
            **msgspec.to_builtins(value._asdict()),
        }
        for subject, value in sorted(
            publishing.values_by_subject(configuration, kind).items()
        )
        if name is None or subject == name
    ]
