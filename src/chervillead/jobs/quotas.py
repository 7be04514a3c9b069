"""Resource quotas of client accounts, and the shares of them that pools hold.

The quota of an account applies to the sum over all pools. The owner of each
partition holds a share of it and starts tasks within that, so no owner has to
ask another one for each task. The shares of an account never add up to more
than its whole quota. As they are fractions, a quota that is lowered lowers what
all of them allow at once.
"""

from collections import abc
import typing

from chervillead.jobs import model

# Shares are counted in parts of this number, which stands for a whole quota.
WHOLE = 1_000_000


class ShareNeed(typing.NamedTuple):
    """What one partition needs of an account's quota.

    Attributes:
        used: Share that its running tasks need.
        least: Share with which one more task, or one more gang, could start;
            the same as `used` if none waits.
        wanted: Share that it could use.
        waiting_s: How long it has been waiting for `least`.
    """

    used: int
    least: int
    wanted: int
    waiting_s: float = 0.0


def needed_share(quota: model.Resources, amounts: model.Resources) -> int:
    """Returns the least share of a quota that covers some amounts.

    It is more than `WHOLE` if the quota doesn't cover them. A quota of 0 means
    no limit.
    """
    return max(
        -(-amount * WHOLE // limit) if limit else 0
        for amount, limit in zip(amounts, quota, strict=True)
    )


def allows(
    quota: model.Resources,
    share: int,
    used: model.Resources,
    need: model.Resources,
    tasks: int = 1,
) -> bool:
    """Returns whether further tasks may start under a share of a quota.

    A single task that exceeds the whole quota may start if nothing else of its
    account runs, since it would wait for ever otherwise.

    Args:
        quota: Quota of the client account.
        share: Share that is held.
        used: Resources of the account's running tasks.
        need: Resources of the further tasks together.
        tasks: Number of the further tasks.
    """
    if needed_share(quota, used.plus(need)) <= share:
        return True
    return tasks == 1 and share == WHOLE and not any(used)


def quota_of(
    configuration: model.FleetConfiguration, account: str
) -> model.Resources | None:
    """Returns the quota of a client account, or None if it has no limit."""
    client_account = configuration.accounts.get(account)
    if client_account is None or not any(client_account.quota):
        return None
    return client_account.quota


def divide_shares(
    needs: abc.Mapping[int, ShareNeed],
) -> dict[int, int]:
    """Returns the share that each partition should hold, by partition.

    What waits longest comes first, with the least that it can start with: a
    large task, or a gang, would otherwise wait for as long as others keep
    taking what becomes free. The rest is divided by max-min fairness, and what
    nobody wants is left.

    Args:
        needs: What the partitions need, by partition.
    """
    shares = {partition: 0 for partition in needs}
    left = WHOLE
    for partition, need in sorted(
        needs.items(), key=lambda item: (-item[1].waiting_s, item[0])
    ):
        least = min(need.least, WHOLE)
        shares[partition] = least if least <= left else min(need.used, left)
        left -= shares[partition]
    open_partitions = sorted(
        needs, key=lambda partition: (needs[partition].wanted, partition)
    )
    # Serving the smallest wants first leaves equal parts to all others.
    for number, partition in enumerate(open_partitions):
        parts = len(open_partitions) - number
        wanted = min(needs[partition].wanted, WHOLE) - shares[partition]
        extra = max(0, min(wanted, left // parts))
        shares[partition] += extra
        left -= extra
    return shares


def share_usage_by_account(
    configuration: model.FleetConfiguration,
    running: abc.Mapping[str, model.Resources],
) -> dict[str, float]:
    """Returns the CPU usage of client accounts divided by their fair share.

    The fair share of an account is its weight's part of all CPU in use.
    Accounts that the configuration doesn't have, or with a weight of 0, are
    left out.
    """
    total = sum(used.millicores for used in running.values())
    weights = sum(a.weight for a in configuration.accounts.values())
    if not total or not weights:
        return {}
    return {
        name: used.millicores
        / total
        / (configuration.accounts[name].weight / weights)
        for name, used in running.items()
        if name in configuration.accounts
        and configuration.accounts[name].weight > 0
    }
