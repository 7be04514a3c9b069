"""Resource quotas of client accounts.

The quota of an account applies to the sum over all pools. The owner of each
pool enforces an equal part of it, so no owner has to ask another before it
starts a task, and the quota holds during a network partition between owners.
"""

from collections import abc

from chervillead.jobs import model


def pool_quota(quota: model.Resources, pools: int) -> model.Resources:
    """Returns the part of a quota that one pool may use.

    Args:
        quota: The quota of a client account.
        pools: Number of pools that share it.
    """
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
    """Returns whether a further request stays within one pool's quota.

    Args:
        part: The pool's part of the quota.
        quota: The whole quota; an amount of 0 means no limit.
        running: Resources of the account's running tasks in the pool.
        need: Resources of the further tasks.
    """
    total = running.plus(need)
    return all(
        not quota_amount or used <= allowed
        for quota_amount, allowed, used in zip(quota, part, total, strict=True)
    )


def count_active_pools(configuration: model.FleetConfiguration) -> int:
    """Returns the number of pools that run tasks, without spare pools."""
    return sum(not pool.is_spare for pool in configuration.pools.values())


def is_within_quota(
    configuration: model.FleetConfiguration,
    account: str,
    running: abc.Mapping[str, model.Resources],
    need: model.Resources,
) -> bool:
    """Returns whether a client account may use more of one pool.

    Args:
        configuration: The configuration; an account that it doesn't have is
            not limited.
        account: Name of the client account.
        running: Resources of running tasks in the pool, by account.
        need: Resources that the account requests in addition.
    """
    client_account = configuration.accounts.get(account)
    if client_account is None or not any(client_account.quota):
        return True
    part = pool_quota(client_account.quota, count_active_pools(configuration))
    used = running.get(account, model.Resources())
    return fits_quota(part, client_account.quota, used, need)


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
