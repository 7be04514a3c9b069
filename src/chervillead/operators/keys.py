"""Generates and checks API keys; only their hashes are published."""

from collections import abc
import secrets

from returns import result

from chervillead.callers import credentials
from chervillead.fleet import configuration as configuration_module
from chervillead.operators import publishing

# Random bytes of a generated key; it is never typed by hand.
GENERATED_KEY_BYTES = 32
# Shorter prefixes of a hash would soon match two keys by chance.
MIN_PREFIX_CHARACTERS = 8


def generate_key() -> str:
    """Returns a new random key in URL-safe Base64."""
    return secrets.token_urlsafe(GENERATED_KEY_BYTES)


def check_key(text: str) -> result.Result[str, str]:
    """Returns the key in the text of a file, or why it is invalid.

    Error messages never contain the text, since it may be a secret.
    """
    key = text.strip()
    minimum, maximum = (
        credentials.MIN_KEY_CHARACTERS,
        credentials.MAX_KEY_CHARACTERS,
    )
    if not minimum <= len(key) <= maximum:
        return result.Failure(
            f"the key has {len(key)} characters; it must have "
            f"{minimum} to {maximum}"
        )
    if not key.isascii() or not key.isprintable() or " " in key:
        return result.Failure(
            "the key has characters that are invalid in a header; only "
            "printable ASCII without spaces is allowed"
        )
    return result.Success(key)


def check_grant(
    change: publishing.Change,
    configuration: configuration_module.Configuration,
) -> result.Result[publishing.Change, str]:
    """Rejects the grant of a key that was withdrawn or is another team's.

    A key is withdrawn because it may be compromised, so an old file must not
    put it in force again. Granting another team's key would move it to a
    different team unnoticed.
    """
    known = configuration.keys.get(change.subject)
    if known is None:
        return result.Success(change)
    if known.withdrawn:
        return result.Failure("the key was withdrawn; grant a new key")
    if known.team != change.fields["team"]:
        return result.Failure(
            f"the key is already granted to team {known.team!r}; grant a new "
            "key"
        )
    return result.Success(change)


def find_hash(prefix: str, known: abc.Iterable[str]) -> result.Result[str, str]:
    """Returns the only known hash that starts with `prefix`.

    Args:
        prefix: Start of a hash, at least `MIN_PREFIX_CHARACTERS` long.
        known: Hashes of all keys.

    Returns:
        The hash, or an error if the prefix is too short or matches no key or
        several.
    """
    if len(prefix) < MIN_PREFIX_CHARACTERS:
        return result.Failure(
            f"hash prefix {prefix!r} has {len(prefix)} characters; at least "
            f"{MIN_PREFIX_CHARACTERS} are required"
        )
    matches = [name for name in known if name.startswith(prefix.lower())]
    if len(matches) != 1:
        return result.Failure(
            f"{len(matches)} keys have a hash that starts with {prefix!r}; "
            "exactly one must match"
        )
    return result.Success(matches[0])
