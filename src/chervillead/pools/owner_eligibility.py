"""Decides whether a host owns partitions or leaves them to larger hosts.

The store shares the partitions evenly among the members of a group, whatever
their capacity. So small hosts stay out of the group while larger ones are in
it: they stand by, route calls, and join when the larger ones are gone.

A member that the store gave no partition isn't listed. The number of owners is
therefore limited, so that a host which joins is given a partition and the
others learn of it.
"""

from collections import abc
import enum
import math
import typing

from chervillead import types

# A host gives way only to owners that are this many times as large.
LARGER_RATIO = 2.0
# So that the loss of one larger owner doesn't bring the small ones back.
MIN_LARGER_OWNERS = 2
# Parts of all partitions, as numbers of owners. The gap between them keeps
# equal hosts from joining and leaving in turn.
MAX_OWNERS_FRACTION = 5 / 6
JOIN_BELOW_FRACTION = 2 / 3
# Hosts of this size start as owners without waiting for larger ones.
LARGE_HOST_CORES = 1.0
# All hosts may restart at once, and the list of owners is up to a second old.
JOIN_DELAY_S = 1.5
LEAVE_DELAY_S = 1.0


class Role(enum.Enum):
    """Whether a host is a member of the owners' group.

    Attributes:
        OWNER: It is a member and owns what the store assigns to it.
        STANDBY: It isn't a member; it only routes calls to owners.
    """

    OWNER = "owner"
    STANDBY = "standby"


class Candidate(typing.NamedTuple):
    """A host that may own partitions.

    Attributes:
        address: Where it serves calls of other hosts.
        cores: Its processor time per second, in cores; None if unknown.
    """

    address: types.Address
    cores: float | None


class Standing(typing.NamedTuple):
    """How a host compares with the other listed owners.

    Attributes:
        larger: Owners that the host gives way to.
        ahead: Owners that are preferred when there are too many.
        at_least_equal: Owners that aren't smaller than the host.
        listed: All owners.
    """

    larger: int
    ahead: int
    at_least_equal: int
    listed: int


class RoleState(typing.NamedTuple):
    """The role of a host, and since when the list speaks for the other one.

    Attributes:
        role: The present role.
        disputed_since_s: When the other role began to be the better one; None
            if the present role is right.
    """

    role: Role
    disputed_since_s: float | None = None


def initial_state(cores: float | None) -> RoleState:
    """Returns the role in which a host starts."""
    is_small = cores is not None and cores < LARGE_HOST_CORES
    return RoleState(Role.STANDBY if is_small else Role.OWNER)


def compare(own: Candidate, owners: abc.Iterable[Candidate]) -> Standing:
    """Compares a host with the listed owners; its own entry is ignored."""
    others = {owner for owner in owners if owner.address != own.address}
    return Standing(
        larger=sum(_is_much_larger(other, own) for other in others),
        ahead=sum(_is_preferred(other, own) for other in others),
        at_least_equal=sum(not _is_smaller(other, own) for other in others),
        listed=len(others),
    )


def preferred_role(role: Role, standing: Standing, partitions: int) -> Role:
    """Returns the role that suits a host best.

    Args:
        role: The present role.
        standing: How the host compares with the listed owners.
        partitions: Number of partitions that the owners share.
    """
    if standing.larger >= MIN_LARGER_OWNERS:
        return Role.STANDBY
    if role is Role.OWNER:
        limit, rivals = MAX_OWNERS_FRACTION, standing.ahead
    else:
        limit, rivals = JOIN_BELOW_FRACTION, standing.at_least_equal
    is_full = rivals >= math.ceil(limit * partitions)
    return Role.STANDBY if is_full else Role.OWNER


def next_state(
    state: RoleState,
    standing: Standing | None,
    now_s: float,
    *,
    partitions: int,
    join_delay_s: float = JOIN_DELAY_S,
) -> RoleState:
    """Returns the state after a look at the list of owners.

    The role changes when the list has spoken for the other one without a break
    for the delay of that change.

    Args:
        state: The state before.
        standing: How the host compares with the owners in a recent list; None
            without a recent list, in which case the role is kept.
        now_s: The present time.
        partitions: Number of partitions that the owners share.
        join_delay_s: How long the list must speak for joining.
    """
    if standing is None:
        return RoleState(state.role)
    preferred = preferred_role(state.role, standing, partitions)
    if preferred is state.role:
        return RoleState(state.role)
    since_s = now_s
    if state.disputed_since_s is not None:
        since_s = state.disputed_since_s
    delay_s = join_delay_s if preferred is Role.OWNER else LEAVE_DELAY_S
    if now_s - since_s >= delay_s:
        return RoleState(preferred)
    return RoleState(state.role, since_s)


def _is_much_larger(other: Candidate, own: Candidate) -> bool:
    if other.cores is None or own.cores is None:
        return False
    return other.cores >= LARGER_RATIO * own.cores


def _is_smaller(other: Candidate, own: Candidate) -> bool:
    if other.cores is None or own.cores is None:
        return False
    return other.cores < own.cores


def _is_preferred(other: Candidate, own: Candidate) -> bool:
    if _is_smaller(other, own):
        return False
    return _is_smaller(own, other) or other.address < own.address
