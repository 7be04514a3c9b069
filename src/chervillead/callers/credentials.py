"""Authentication of keys, and authorization of teams for queues."""

import hashlib

from returns import result

from chervillead import verdicts
from chervillead.fleet import configuration as configuration_module

MIN_KEY_CHARACTERS = 16
MAX_KEY_CHARACTERS = 256


def hash_key(key: str) -> str:
    """Returns the SHA-256 hex digest under which the log stores `key`."""
    return hashlib.sha256(key.encode()).hexdigest()


def authorize(
    configuration: configuration_module.Configuration,
    queue_name: str,
    key: str | None,
    unconfirmed_s: float,
) -> result.Result[str, verdicts.Refusal]:
    """Returns the team that a request is accepted for, or the refusal.

    Args:
        configuration: The latest known configuration.
        queue_name: Queue of the request.
        key: Key of the request, or None if it has none.
        unconfirmed_s: Seconds for which the configuration hasn't been confirmed
            as current.

    Returns:
        The team; empty for a request without a key on a queue that is open to
        all.
    """
    queue = configuration.queues.get(queue_name)
    if queue is None:
        return result.Failure(
            verdicts.not_run(
                "unknown-queue",
                404,
                f"no queue {queue_name[:64]!r}; known queues: "
                f"{sorted(configuration.queues)}",
            )
        )
    if key is None:
        if queue.open_to_all:
            return result.Success("")
        return result.Failure(
            verdicts.not_run("key-missing", 401, f"{queue_name} requires a key")
        )
    limit_s = queue.refuse_keyed_after_unconfirmed_s
    if limit_s is not None and unconfirmed_s > limit_s:
        return result.Failure(
            verdicts.not_run(
                "configuration-unconfirmed",
                503,
                f"keys could not be confirmed for {unconfirmed_s:.0f} s",
                retry_after_s=5.0,
            )
        )
    return _find_key(configuration, key).bind(
        lambda entry: _team_for_queue(configuration, queue_name, entry)
    )


def team_of_key(
    configuration: configuration_module.Configuration, key: str | None
) -> result.Result[str, verdicts.Refusal]:
    """Returns the team of a valid key, or "" if there is no key.

    A request without a key on a queue that is open to all belongs to no team,
    and its answer can be fetched without a key.
    """
    if key is None:
        return result.Success("")
    return _find_key(configuration, key).map(lambda entry: entry.team)


def _find_key(
    configuration: configuration_module.Configuration, key: str
) -> result.Result[configuration_module.Key, verdicts.Refusal]:
    if not MIN_KEY_CHARACTERS <= len(key) <= MAX_KEY_CHARACTERS:
        return result.Failure(
            verdicts.not_run(
                "malformed-key",
                401,
                f"the key has {len(key)} characters; allowed are "
                f"{MIN_KEY_CHARACTERS} to {MAX_KEY_CHARACTERS}",
            )
        )
    entry = configuration.keys.get(hash_key(key))
    if entry is None or entry.withdrawn:
        return result.Failure(
            verdicts.not_run(
                "key-refused", 401, "the key is unknown or withdrawn"
            )
        )
    return result.Success(entry)


def _team_for_queue(
    configuration: configuration_module.Configuration,
    queue_name: str,
    entry: configuration_module.Key,
) -> result.Result[str, verdicts.Refusal]:
    if entry.queues is not None and queue_name not in entry.queues:
        return result.Failure(
            verdicts.not_run(
                "key-not-for-queue",
                403,
                f"the key is for {sorted(entry.queues)}, not {queue_name!r}",
            )
        )
    if entry.team not in configuration.teams:
        return result.Failure(
            verdicts.not_run("unknown-team", 403, f"no team {entry.team!r}")
        )
    return result.Success(entry.team)
