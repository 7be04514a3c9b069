"""Maps each pool to the store partition that holds its jobs.

The mapping depends only on the pool's name, so that hosts with different
configurations agree on it.
"""

import xxhash

JOBS_TOPIC = "keyed.jobs"
OWNERS_GROUP = "pool-owners"
# The owner of this partition also sends the commands for hosts of all pools.
HOSTS_PARTITION = 0


def partition_of(pool: str, partitions: int) -> int:
    """Returns the partition that holds the jobs of a pool."""
    return xxhash.xxh64_intdigest(pool.encode()) % partitions
