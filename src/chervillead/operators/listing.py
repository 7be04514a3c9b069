"""What the folded log says of each kind, as rows for people and programs."""

import typing

import msgspec

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.operators import publishing

# Kinds that operators can look at, by the name that `show` takes.
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
    """Returns each value with its subject and version, by subject.

    Args:
        configuration: The folded state.
        what: A name in `SHOWN`.
        name: Subject to return alone, or None for all.
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
