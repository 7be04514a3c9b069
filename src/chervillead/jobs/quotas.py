"""What a client account may have running.

The cap of an account holds over all pools. Each pool's owner works within an
equal part of it, so no owner has to ask another before a start and no cut
between them can break the cap.
"""

from collections import abc

from chervillead.jobs import model


def pool_quota(quota: model.Resources, pools: int) -> model.Resources:
    """Returns the part of a cap that one pool may use; 0 means no limit."""
    parts = max(1, pools)
    return model.Resources(
        quota.millicores // parts,
        quota.memory_mb // parts,
        quota.accelerators // parts,
    )


def fits_quota(
    part: model.Resources,
    quota: model.Resources,
    running: model.Resources,
    need: model.Resources,
) -> bool:
    """Returns whether one more task stays within an account's part.

    Args:
        part: The part of the quota that the pool may use.
        quota: The whole quota; where it is 0 there is no limit.
        running: What the account has running in the pool.
        need: What the task needs.
    """
    total = running.plus(need)
    return all(
        not whole or used <= allowed
        for whole, allowed, used in zip(quota, part, total, strict=True)
    )


def count_active_pools(configuration: model.FleetConfiguration) -> int:
    """Returns how many pools may run tasks."""
    return sum(not pool.is_spare for pool in configuration.pools.values())


def is_within_quota(
    configuration: model.FleetConfiguration,
    account: str,
    running: abc.Mapping[str, model.Resources],
    need: model.Resources,
) -> bool:
    """Returns whether an account may have more running in one pool."""
    found = configuration.accounts.get(account)
    if found is None:
        return True
    part = pool_quota(found.quota, count_active_pools(configuration))
    used = running.get(account, model.Resources())
    return fits_quota(part, found.quota, used, need)


def share_usage_by_account(
    configuration: model.FleetConfiguration,
    running: abc.Mapping[str, model.Resources],
) -> dict[str, float]:
    """Returns what accounts have running, as a factor of their shares."""
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
