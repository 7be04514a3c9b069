"""What a client account may have running.

The cap of an account holds over all pools. Each pool's owner works within an
equal part of it, so no owner has to ask another before a start and no cut
between them can break the cap.
"""

from collections import abc

from chervillead.jobs import model


def cap_part(cap: model.Resources, pools: int) -> model.Resources:
    """Returns the part of a cap that one pool may use; 0 means no limit."""
    parts = max(1, pools)
    return model.Resources(
        cap.millicores // parts,
        cap.memory_mb // parts,
        cap.accelerators // parts,
    )


def allows(
    part: model.Resources,
    cap: model.Resources,
    running: model.Resources,
    need: model.Resources,
) -> bool:
    """Returns whether one more task stays within an account's part.

    Args:
        part: The pool's part of the cap.
        cap: The whole cap; where it is 0 there is no limit.
        running: What the account has running in the pool.
        need: What the task needs.
    """
    total = running.plus(need)
    return all(
        not whole or used <= allowed
        for whole, allowed, used in zip(cap, part, total, strict=True)
    )


def working_pools(configuration: model.FleetConfiguration) -> int:
    """Returns how many pools may run tasks."""
    return sum(not pool.is_spare for pool in configuration.pools.values())


def within_cap(
    configuration: model.FleetConfiguration,
    account: str,
    running: abc.Mapping[str, model.Resources],
    need: model.Resources,
) -> bool:
    """Returns whether an account may have more running in one pool."""
    found = configuration.accounts.get(account)
    if found is None:
        return True
    part = cap_part(found.cap, working_pools(configuration))
    used = running.get(account, model.Resources())
    return allows(part, found.cap, used, need)


def account_loads(
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
