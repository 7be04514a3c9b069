"""What accepted jobs hold in memory, and the limits on it.

Callers decide how large a job is, and a job stays in memory until its state
need not be shown any more. A later owner of the pool loads all of them, so the
limits must fit the smallest host that may become one.
"""

import collections
import typing

from chervillead import verdicts
from chervillead.jobs import job_state
from chervillead.jobs import model

# Memory of a job with its entries in the indexes of its owner.
JOB_BYTES = 4500
# Memory of a step, and of the state of its tasks in one occurrence.
STEP_BYTES = 530
OPEN_STEP_BYTES = 450
DEPENDENCY_BYTES = 24

POOL_FULL = "pool-full"
ACCOUNT_FULL = "account-full"
HOST_FULL = "host-full"


class Limits(typing.NamedTuple):
    """Limits on the memory of accepted jobs, in bytes.

    A job is accepted while less than the limits is held, whatever its size.

    Attributes:
        pool_bytes: Jobs of one pool.
        account_bytes: Jobs of one client account in one pool.
        host_bytes: Jobs of all pools that one host owns.
    """

    pool_bytes: int = 32 * 1024 * 1024
    account_bytes: int = 16 * 1024 * 1024
    host_bytes: int = 40 * 1024 * 1024


def job_bytes(spec: model.JobSpec) -> int:
    """Returns about how much memory an owner needs for a job, in bytes."""
    open_steps = min(
        len(spec.steps) * spec.occurrences,
        max(job_state.MAX_OPEN_STEPS, len(spec.steps)),
    )
    texts = len(spec.payload) + sum(
        len(step.image) + len(step.required_label) + len(step.data_rack)
        for step in spec.steps
    )
    dependencies = sum(len(step.depends_on) for step in spec.steps)
    return (
        JOB_BYTES
        + texts
        + STEP_BYTES * len(spec.steps)
        + OPEN_STEP_BYTES * open_steps
        + DEPENDENCY_BYTES * dependencies
    )


class HeldJobs:
    """Memory of the jobs of one partition, by pool and client account."""

    def __init__(self) -> None:
        self._bytes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @property
    def total_bytes(self) -> int:
        """Memory of all jobs, in bytes."""
        return self._bytes.total()

    def add(self, spec: model.JobSpec) -> None:
        """Counts a job."""
        self._bytes[spec.pool, spec.account] += job_bytes(spec)

    def remove(self, spec: model.JobSpec) -> None:
        """Stops counting a job."""
        key = spec.pool, spec.account
        self._bytes[key] -= job_bytes(spec)
        if not self._bytes[key]:
            del self._bytes[key]

    def check(
        self,
        spec: model.JobSpec,
        limits: Limits,
        *,
        host_bytes: int,
        retry_after_s: float,
    ) -> verdicts.Refusal | None:
        """Returns why there is no memory for a new job, or None.

        Args:
            spec: The job, which must not be known.
            limits: The limits.
            host_bytes: Memory of the jobs of all pools that the host owns.
            retry_after_s: When a refused caller should return.
        """
        of_account = self._bytes[spec.pool, spec.account]
        of_pool = sum(
            held for (pool, _), held in self._bytes.items() if pool == spec.pool
        )
        for reason, held, limit, holder in (
            (ACCOUNT_FULL, of_account, limits.account_bytes, "the account"),
            (POOL_FULL, of_pool, limits.pool_bytes, "the pool"),
            (HOST_FULL, host_bytes, limits.host_bytes, "the owner"),
        ):
            if held >= limit:
                return verdicts.not_run(
                    reason,
                    429,
                    f"the jobs of {holder} hold {held} bytes; further ones are "
                    f"accepted below {limit}",
                    retry_after_s=retry_after_s,
                )
        return None
