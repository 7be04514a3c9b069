"""Keys as operators handle them; only their hash goes to the log."""

from collections import abc
import secrets

from returns import result

from chervillead.callers import credentials
from chervillead.fleet import configuration as configuration_module
from chervillead.operators import publishing

# 32 random bytes; nobody has to type a key.
GENERATED_KEY_BYTES = 32
# Shorter beginnings of a hash would soon fit two keys by chance.
MIN_PREFIX_CHARACTERS = 8


def generate_key() -> str:
    """Returns a new random key."""
    return secrets.token_urlsafe(GENERATED_KEY_BYTES)


def check_key(text: str) -> result.Result[str, str]:
    """Returns the key in a file's text, or why it can't be one.

    The text of a key never stands in an error message.
    """
    key = text.strip()
    low, high = credentials.MIN_KEY_CHARACTERS, credentials.MAX_KEY_CHARACTERS
    if not low <= len(key) <= high:
        return result.Failure(
            f"the key has {len(key)} characters, allowed are {low} to {high}"
        )
    if not key.isascii() or not key.isprintable() or " " in key:
        return result.Failure(
            "the key has characters that can't stand in a header; allowed is "
            "printable ASCII without spaces"
        )
    return result.Success(key)


def check_grant(
    change: publishing.Change,
    configuration: configuration_module.Configuration,
) -> result.Result[publishing.Change, str]:
    """Refuses the grant of a key that was withdrawn or is another team's.

    A key is withdrawn because others may know it, so it must not come back by
    an old file; another team's key would change hands unnoticed.
    """
    known = configuration.keys.get(change.subject)
    if known is None:
        return result.Success(change)
    if known.withdrawn:
        return result.Failure("the key was withdrawn; grant a new one")
    if known.team != change.fields["team"]:
        return result.Failure(
            f"the key is granted to team {known.team!r} already; grant a new "
            "one"
        )
    return result.Success(change)


def find_hash(prefix: str, known: abc.Iterable[str]) -> result.Result[str, str]:
    """Returns the one known hash that begins with `prefix`."""
    if len(prefix) < MIN_PREFIX_CHARACTERS:
        return result.Failure(
            f"hash {prefix!r} has {len(prefix)} characters, at least "
            f"{MIN_PREFIX_CHARACTERS} are needed"
        )
    found = [name for name in known if name.startswith(prefix.lower())]
    if len(found) != 1:
        return result.Failure(
            f"{len(found)} keys have a hash that begins with {prefix!r}; "
            "exactly one is needed"
        )
    return result.Success(found[0])
