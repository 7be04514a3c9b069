"""The role of this host: owner of partitions, or standing by."""

from collections import abc
import random
import typing

from chervillead.pools import owner_eligibility

# Hosts that stand by join at different times, so that the last ones see that
# enough have joined.
JOIN_SPREAD_S = 1.0


class RolePorts(typing.NamedTuple):
    """What the choice of the role depends on.

    Attributes:
        recent_owners: Returns the listed owners, or None if the list is out of
            date.
        partitions: Number of partitions that the owners share.
        boot_time: Returns seconds since boot, including time suspended.
        log: Writes a log line.
    """

    recent_owners: abc.Callable[
        [], abc.Collection[owner_eligibility.Candidate] | None
    ]
    partitions: int
    boot_time: abc.Callable[[], float]
    log: abc.Callable[..., None]


class OwnerRole:
    """Follows the list of owners and logs each change of the role."""

    def __init__(
        self, own: owner_eligibility.Candidate, ports: RolePorts
    ) -> None:
        self._own = own
        self._ports = ports
        self._state = owner_eligibility.initial_state(own.cores)
        self._join_delay_s = owner_eligibility.JOIN_DELAY_S + random.uniform(
            0.0, JOIN_SPREAD_S
        )
        self._ports.log(
            "owner:role", role=self._state.role.value, cores=own.cores
        )

    @property
    def is_owner(self) -> bool:
        """Whether the host belongs in the group of owners."""
        return self._state.role is owner_eligibility.Role.OWNER

    def update(self) -> None:
        """Reviews the role in view of the listed owners."""
        owners = self._ports.recent_owners()
        standing = (
            None
            if owners is None
            else owner_eligibility.compare(self._own, owners)
        )
        state = owner_eligibility.next_state(
            self._state,
            standing,
            self._ports.boot_time(),
            partitions=self._ports.partitions,
            join_delay_s=self._join_delay_s,
        )
        if state.role is not self._state.role and standing is not None:
            self._ports.log(
                "owner:role",
                role=state.role.value,
                cores=self._own.cores,
                **standing._asdict(),
            )
        self._state = state
